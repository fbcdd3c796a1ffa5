package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/drain"
	"robindrum/internal/quorum"
)

// print prints a drain request. It returns an exit code if the request was rejected, unless it prints JSON.
func (d *drainClient) print(out io.Writer, r drain.Request) error {
	if d.asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	line := fmt.Sprintf("order %s: %s, %s", r.ID, r.Target, r.State)
	if r.Token > 0 {
		line += fmt.Sprintf(", token %d", r.Token)
	}
	if r.State.Unavailable() {
		line += fmt.Sprintf(", %d in hand", r.InFlight)
	}
	if r.StateReason != "" {
		line += ": " + r.StateReason
	}
	if _, err := fmt.Fprintln(out, line); err != nil {
		return err
	}
	if r.State == drain.Rejected {
		return exitCode(1)
	}
	return nil
}

// watch prints a drain request's changes until it is in one of the wanted states or has ended. It keeps polling while the fleet does not
// answer.
func (d *drainClient) watch(c *cobra.Command, request drain.Request, wanted []drain.State) error {
	var printed drain.Request
	for {
		changed := request.State != printed.State || request.StateReason != printed.StateReason || request.InFlight != printed.InFlight
		if changed {
			if err := d.print(c.OutOrStdout(), request); err != nil {
				return err
			}
			printed = request
		}
		if reached, err := outcome(request.State, wanted); reached {
			return err
		}
		if err := sleep(c.Context(), drainPollInterval); err != nil {
			return err
		}
		list, err := d.list(c)
		if err != nil {
			continue
		}
		for _, listed := range list.Requests {
			if listed.ID == request.ID {
				request = listed
			}
		}
	}
}

// outcome reports whether to stop waiting for a request that is in the given state, and returns the command's exit code as an error.
func outcome(state drain.State, wanted []drain.State) (reached bool, err error) {
	if slices.Contains(wanted, state) {
		if state == drain.Overdue {
			return true, exitCode(exitOverdue)
		}
		return true, nil
	}
	waitsForEnd := slices.Contains(wanted, drain.Ended)
	if state == drain.Ended || state == drain.Cancelled && !waitsForEnd {
		return true, exitCode(exitCancelled)
	}
	return false, nil
}

// printDrains prints all drain requests and the disruption budgets.
func printDrains(out io.Writer, list *quorum.DrainList) error {
	if !list.Fresh {
		fmt.Fprintf(out, "NO LEADER: last state known to voter %s. No drain requests are granted; drained targets stay drained\n", list.Voter)
	}
	if list.Halted {
		fmt.Fprintln(out, "HALTED: no drain requests are granted")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ORDER\tTARGET\tSTATE\tFOR\tIN HAND\tTOKEN\tOWNER\tREASON")
	for _, r := range list.Requests {
		age := max(list.Now-r.StateSince, 0)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			r.ID, r.Target, r.State, seconds(age.Seconds()), r.InFlight, r.Token, r.Owner, bothReasons(&r))
	}
	fmt.Fprintln(table, "\nBUDGET\tOF\tOUT\tMAY BE OUT\tWHICH")
	for _, b := range list.Budgets {
		fmt.Fprintf(table, "%s, %s\t%d\t%d\t%d\t%s\n", b.Name, b.Scope, b.Total, len(b.Unavailable), b.Allowed, strings.Join(b.Unavailable, " "))
	}
	return table.Flush()
}

// bothReasons returns the operator's reason and the reason of the request's state.
func bothReasons(r *drain.Request) string {
	if r.StateReason == "" {
		return r.Reason
	}
	return strings.TrimSpace(r.Reason + " (" + r.StateReason + ")")
}

// sleep waits for a duration. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
