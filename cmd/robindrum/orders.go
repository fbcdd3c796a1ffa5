package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/drain"
	"robindrum/internal/quorum"
)

// Exit codes of orders that were waited for.
const (
	exitOverdue   = 3 // its time is over, and it has something in hand
	exitCancelled = 4
)

// exitCode is an error that says how the process is to end; the user has had its words.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }
func (c exitCode) Unwrap() error { return errReported }

func drainCommand() *cobra.Command {
	var addr, owner string
	var wait, plain bool
	o := drain.Request{}
	c := &cobra.Command{Use: "drain", Short: "Take gateways or endpoints out of service, as the fleet's budgets allow", Args: noArgs,
		Long: "Take a gateway, an endpoint, or a zone of either out of service. The fleet's quorum grants it when the budgets allow, counting what is out by itself;\n" +
			"until then it waits in line. It stays out until robindrum undrain, also when it is restarted or its order's asker is gone.\n" +
			"With --wait, exit codes: 0 nothing is in hand any more, 1 refused or failed, 3 overdue, 4 cancelled.",
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	run := func(c *cobra.Command) error {
		if o.ID == "" {
			var b [4]byte
			_, _ = rand.Read(b[:]) // never fails
			o.ID = hex.EncodeToString(b[:])
		}
		o.Owner = owner
		x, err := tell(c, addr, "drain", &o)
		if err != nil {
			return err
		}
		if wait {
			return follow(c, addr, x, plain, func(s drain.State) bool { return s == drain.Drained || s == drain.Overdue })
		}
		return printOrder(c.OutOrStdout(), x, plain)
	}
	f := c.PersistentFlags()
	f.StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "any process's admin `address`")
	f.StringVar(&o.ID, "id", "", "the order's name: asked for again it is the same order; left out: one is drawn")
	f.StringVar(&owner, "owner", os.Getenv("USER"), "who asks")
	f.StringVar(&o.Reason, "reason", "", "why")
	f.DurationVar(&o.Grace, "grace", 30*time.Second, "how long what is in hand is waited for")
	f.DurationVar(&o.Notice, "notice", 2*time.Second, "of it, how long a gateway still takes what comes, with its readiness off")
	f.BoolVar(&o.WaitForAll, "wait-for-all", false, "wait on for what a gateway has in hand when the grace is over; else it is answered then, by class")
	f.BoolVar(&wait, "wait", false, "wait until it is done, and print each change")
	f.BoolVar(&plain, "json", false, "print JSON, a line each")
	c.AddCommand(&cobra.Command{Use: "gateway MEMBER", Short: "A gateway, by its member's name", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		o.Target = drain.Target{Gateway: args[0]}
		return run(c)
	}}, &cobra.Command{Use: "endpoint CLUSTER ADDRESS", Short: "An endpoint of a cluster, at every gateway", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		o.Target, o.Notice = drain.Target{Cluster: args[0], Endpoint: args[1]}, 0
		return run(c)
	}}, &cobra.Command{Use: "gateways ZONE [SITE]", Short: "All gateways of a zone, together or none", Args: cobra.RangeArgs(1, 2), RunE: func(c *cobra.Command, args []string) error {
		if o.Target = (drain.Target{Zone: args[0]}); len(args) > 1 {
			o.Target.Site = args[1]
		}
		return run(c)
	}}, &cobra.Command{Use: "zone CLUSTER ZONE", Short: "All endpoints of a zone of a cluster, together or none", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		o.Target, o.Notice = drain.Target{Cluster: args[0], Zone: args[1]}, 0
		return run(c)
	}})
	return c
}

func undrainCommand() *cobra.Command {
	var addr string
	var wait, plain bool
	c := &cobra.Command{Use: "undrain ORDER", Short: "Have what an order has taken out come back, or drop an order that has not begun", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			x, err := tell(c, addr, "undrain", &drain.Request{ID: args[0]})
			if err != nil {
				return err
			}
			if wait {
				return follow(c, addr, x, plain, func(s drain.State) bool { return s == drain.Ended })
			}
			return printOrder(c.OutOrStdout(), x, plain)
		}}
	c.Flags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "any process's admin `address`")
	c.Flags().BoolVar(&wait, "wait", false, "wait until it is in service again")
	c.Flags().BoolVar(&plain, "json", false, "print JSON, a line each")
	return c
}

func ordersCommand() *cobra.Command {
	var addr string
	var plain bool
	c := &cobra.Command{Use: "orders", Short: "What is out by order, what waits, and how the budgets stand", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
		if plain {
			return ask(c, http.MethodGet, addr, "/fleet/orders", c.OutOrStdout())
		}
		var l quorum.DrainList
		if err := ask(c, http.MethodGet, addr, "/fleet/orders", &l); err != nil {
			return err
		}
		return showOrders(c.OutOrStdout(), &l)
	}}
	c.PersistentFlags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "any process's admin `address`")
	c.Flags().BoolVar(&plain, "json", false, "print what the quorum says as it is")
	for name, what := range map[string]string{"halt": "Have nothing new taken out; what is out stays, and may come back", "resume": "Lift a halt"} {
		c.AddCommand(&cobra.Command{Use: name, Short: what, Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
			_, err := tell(c, addr, name, &drain.Request{})
			return err
		}})
	}
	return c
}

// tell posts an order.
func tell(c *cobra.Command, addr, what string, o *drain.Request) (x drain.Request, err error) {
	text, err := json.Marshal(o)
	if err != nil {
		return x, err
	}
	err = send(c, http.MethodPost, addr, "/fleet/"+what, bytes.NewReader(text), &x)
	return x, err
}

func printOrder(out io.Writer, o drain.Request, plain bool) error {
	if plain {
		return json.NewEncoder(out).Encode(o)
	}
	line := fmt.Sprintf("order %s: %s, %s", o.ID, o.Target, o.State)
	if o.Token > 0 {
		line += fmt.Sprintf(", token %d", o.Token)
	}
	if o.State.Unavailable() {
		line += fmt.Sprintf(", %d in hand", o.InFlight)
	}
	if o.StateReason != "" {
		line += ": " + o.StateReason
	}
	_, err := fmt.Fprintln(out, line)
	if o.State == drain.Rejected && err == nil {
		err = exitCode(1)
	}
	return err
}

// follow prints an order's changes until it is where it was to go, or ends.
func follow(c *cobra.Command, addr string, o drain.Request, plain bool, there func(drain.State) bool) error {
	last := drain.Request{}
	for {
		if o.State != last.State || o.StateReason != last.StateReason || o.InFlight != last.InFlight {
			if err := printOrder(c.OutOrStdout(), o, plain); err != nil {
				return err
			}
			last = o
		}
		switch {
		case there(o.State) && o.State == drain.Overdue:
			return exitCode(exitOverdue)
		case there(o.State):
			return nil
		case o.State == drain.Ended, o.State == drain.Cancelled && !there(drain.Ended):
			return exitCode(exitCancelled)
		}
		select {
		case <-c.Context().Done():
			return c.Context().Err()
		case <-time.After(200 * time.Millisecond):
		}
		var l quorum.DrainList
		if err := ask(c, http.MethodGet, addr, "/fleet/orders", &l); err != nil {
			continue // the order goes on without whoever looks
		}
		for _, x := range l.Requests {
			if x.ID == o.ID {
				o = x
			}
		}
	}
}

func showOrders(out io.Writer, l *quorum.DrainList) error {
	if !l.Fresh {
		fmt.Fprintf(out, "NO LEADER: as voter %s knew them last. Nothing new is taken out; what is out stays out\n", l.Voter)
	}
	if l.Halted {
		fmt.Fprintln(out, "HALTED: nothing new is taken out")
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ORDER\tTARGET\tSTATE\tFOR\tIN HAND\tTOKEN\tOWNER\tREASON")
	for _, o := range l.Requests {
		why := o.Reason
		if o.StateReason != "" {
			why = strings.TrimSpace(o.Reason + " (" + o.StateReason + ")")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", o.ID, o.Target, o.State, seconds(max(l.Now-o.StateSince, 0).Seconds()), o.InFlight, o.Token, o.Owner, why)
	}
	fmt.Fprintln(t, "\nBUDGET\tOF\tOUT\tMAY BE OUT\tWHICH")
	for _, b := range l.Budgets {
		fmt.Fprintf(t, "%s, %s\t%d\t%d\t%d\t%s\n", b.Name, b.Scope, b.Total, len(b.Unavailable), b.Allowed, strings.Join(b.Unavailable, " "))
	}
	return t.Flush()
}
