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

// print prints a drain request. For one that was rejected it returns an exit code.
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

// watch prints a drain request's changes until it is in one of the wanted states or has ended. While the fleet does not answer it goes
// on asking.
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

// outcome reports whether a request that is waited for in one of the wanted states goes no further, and the command's exit code then.
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

// printDrains prints all drain requests and the budgets.
func printDrains(out io.Writer, list *quorum.DrainList) error {
	if !list.Fresh {
		fmt.Fprintf(out, "NO LEADER: as voter %s knew them last. Nothing new is taken out; what is out stays out\n", list.Voter)
	}
	if list.Halted {
		fmt.Fprintln(out, "HALTED: nothing new is taken out")
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ORDER\tTARGET\tSTATE\tFOR\tIN HAND\tTOKEN\tOWNER\tREASON")
	for _, r := range list.Requests {
		age := max(list.Now-r.StateSince, 0)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			r.ID, r.Target, r.State, seconds(age.Seconds()), r.InFlight, r.Token, r.Owner, bothReasons(&r))
	}
	fmt.Fprintln(t, "\nBUDGET\tOF\tOUT\tMAY BE OUT\tWHICH")
	for _, b := range list.Budgets {
		fmt.Fprintf(t, "%s, %s\t%d\t%d\t%d\t%s\n", b.Name, b.Scope, b.Total, len(b.Unavailable), b.Allowed, strings.Join(b.Unavailable, " "))
	}
	return t.Flush()
}

// bothReasons returns the reason that the operator gave, and that of the request's state.
func bothReasons(r *drain.Request) string {
	if r.StateReason == "" {
		return r.Reason
	}
	return strings.TrimSpace(r.Reason + " (" + r.StateReason + ")")
}

// sleep waits for a while, or until the context is done, whose error it then returns.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
