package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/drain"
	"robindrum/internal/quorum"
)

// Exit codes of waiting for a drain request.
const (
	exitOverdue   = 3 // the deadline has passed with requests in flight
	exitCancelled = 4
)

const (
	defaultAdmin = "127.0.0.1:9901"
	adminUsage   = "admin `address` of any process of the fleet"

	drainPollInterval = 200 * time.Millisecond
)

// exitCode is an error that sets the exit code of the process. Its cause has already been printed.
type exitCode int

// Error returns the exit code as text.
func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

// Unwrap returns errReported, so that run does not print the error.
func (c exitCode) Unwrap() error { return errReported }

// drainClient sends drain requests to the admin address of a process of the fleet, and prints their state.
type drainClient struct {
	addr   string
	wait   bool
	asJSON bool
}

func (d *drainClient) addFlags(c *cobra.Command, waitUsage string, persistent bool) {
	f := c.Flags()
	if persistent {
		f = c.PersistentFlags()
	}
	f.StringVarP(&d.addr, "admin", "a", defaultAdmin, adminUsage)
	f.BoolVar(&d.wait, "wait", false, waitUsage)
	f.BoolVar(&d.asJSON, "json", false, "print JSON, one object per line")
}

func drainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "drain",
		Short: "Take gateways or endpoints out of service, within the fleet's disruption budgets",
		Long: "Take a gateway, an endpoint, or all gateways or endpoints of a zone out of service.\n\nThe fleet's quorum grants the request when the disruption budgets allow it; until then the request is pending.\n" +
			"Targets that are unavailable for other reasons also count against the budgets.\nA drained target stays out of service, even if it is restarted, until robindrum undrain.\n\n" +
			"Exit codes with --wait: 0 no requests are in flight, 1 rejected or failed, 3 overdue, 4 cancelled.",
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	client := &drainClient{}
	client.addFlags(c, "wait until the target is drained or overdue, and print each change", true)
	request := &drain.Request{}
	f := c.PersistentFlags()
	f.StringVar(&request.ID, "id", "", "name of the drain request, random if empty; submitting a name again has no effect")
	f.StringVar(&request.Owner, "owner", os.Getenv("USER"), "who requests the drain")
	f.StringVar(&request.Reason, "reason", "", "why")
	f.DurationVar(&request.Grace, "grace", 30*time.Second, "how long requests in flight may take to finish")
	f.DurationVar(&request.Notice, "notice", 2*time.Second, "first part of the grace period, in which a gateway still accepts requests but reports that it is not ready")
	f.BoolVar(&request.WaitForAll, "wait-for-all", false, "keep waiting for a gateway's requests in flight when the grace period is over; otherwise the gateway then answers them itself")
	for _, kind := range drainTargets {
		c.AddCommand(drainTargetCommand(client, request, kind))
	}
	return c
}

// drainTarget describes a subcommand of drain, which drains one kind of target.
type drainTarget struct {
	use         string
	short       string
	args        cobra.PositionalArgs
	ofEndpoints bool // drains of endpoints have no notice
	target      func(args []string) drain.Target
}

var drainTargets = []drainTarget{
	{
		use:    "gateway MEMBER",
		short:  "Drain a gateway, given its member name",
		args:   cobra.ExactArgs(1),
		target: func(args []string) drain.Target { return drain.Target{Gateway: args[0]} },
	},
	{
		use:         "endpoint CLUSTER ADDRESS",
		short:       "Drain an endpoint of a cluster at every gateway",
		args:        cobra.ExactArgs(2),
		ofEndpoints: true,
		target:      func(args []string) drain.Target { return drain.Target{Cluster: args[0], Endpoint: args[1]} },
	},
	{
		use:   "gateways ZONE [SITE]",
		short: "Drain all gateways of a zone, or none if they cannot all be drained together",
		args:  cobra.RangeArgs(1, 2),
		target: func(args []string) drain.Target {
			if len(args) == 1 {
				return drain.Target{Zone: args[0]}
			}
			return drain.Target{Zone: args[0], Site: args[1]}
		},
	},
	{
		use:         "zone CLUSTER ZONE",
		short:       "Drain all endpoints of a cluster in a zone, or none if they cannot all be drained together",
		args:        cobra.ExactArgs(2),
		ofEndpoints: true,
		target:      func(args []string) drain.Target { return drain.Target{Cluster: args[0], Zone: args[1]} },
	},
}

func drainTargetCommand(client *drainClient, request *drain.Request, kind drainTarget) *cobra.Command {
	return &cobra.Command{
		Use:   kind.use,
		Short: kind.short,
		Args:  kind.args,
		RunE: func(c *cobra.Command, args []string) error {
			request.Target = kind.target(args)
			if kind.ofEndpoints {
				request.Notice = 0
			}
			return client.drain(c, request)
		},
	}
}

func undrainCommand() *cobra.Command {
	client := &drainClient{}
	c := &cobra.Command{
		Use:   "undrain ORDER",
		Short: "Return a drained target to service, or cancel a drain request that has not begun",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cancelled, err := client.post(c, "undrain", &drain.Request{ID: args[0]})
			if err != nil {
				return err
			}
			return client.finish(c, cancelled, drain.Ended)
		},
	}
	client.addFlags(c, "wait until the target is in service again", false)
	return c
}

func ordersCommand() *cobra.Command {
	client := &drainClient{}
	c := &cobra.Command{
		Use:   "orders",
		Short: "Print the drain requests, their states, and the disruption budgets",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if client.asJSON {
				return callAdmin(c, http.MethodGet, client.addr, "/fleet/orders", c.OutOrStdout())
			}
			list, err := client.list(c)
			if err != nil {
				return err
			}
			return printDrains(c.OutOrStdout(), &list)
		},
	}
	c.PersistentFlags().StringVarP(&client.addr, "admin", "a", defaultAdmin, adminUsage)
	c.Flags().BoolVar(&client.asJSON, "json", false, "print the quorum's JSON response unchanged")
	c.AddCommand(
		grantingCommand(client, "halt", "Stop granting drain requests; drained targets stay drained and can be undrained"),
		grantingCommand(client, "resume", "Resume granting drain requests after a halt"),
	)
	return c
}

// grantingCommand returns the command that halts or resumes the granting of drain requests.
func grantingCommand(client *drainClient, name, short string) *cobra.Command {
	return &cobra.Command{
		Use:   name,
		Short: short,
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := client.post(c, name, &drain.Request{})
			return err
		},
	}
}

// drain submits a request, with a random ID if it has none, and waits for it if --wait is set.
func (d *drainClient) drain(c *cobra.Command, request *drain.Request) error {
	if request.ID == "" {
		var id [4]byte
		_, _ = rand.Read(id[:]) // never fails
		request.ID = hex.EncodeToString(id[:])
	}
	submitted, err := d.post(c, "drain", request)
	if err != nil {
		return err
	}
	return d.finish(c, submitted, drain.Drained, drain.Overdue)
}

// finish prints the request or, with --wait, its changes until it is in one of the wanted states.
func (d *drainClient) finish(c *cobra.Command, request drain.Request, wanted ...drain.State) error {
	if d.wait {
		return d.watch(c, request, wanted)
	}
	return d.print(c.OutOrStdout(), request)
}

// post sends a request to an operation of the fleet's admin API and returns the request as the quorum has recorded it.
func (d *drainClient) post(c *cobra.Command, operation string, request *drain.Request) (drain.Request, error) {
	var answer drain.Request
	text, err := json.Marshal(request)
	if err != nil {
		return answer, err
	}
	err = callAdminWithBody(c, http.MethodPost, d.addr, "/fleet/"+operation, bytes.NewReader(text), &answer)
	return answer, err
}

func (d *drainClient) list(c *cobra.Command) (quorum.DrainList, error) {
	var list quorum.DrainList
	err := callAdmin(c, http.MethodGet, d.addr, "/fleet/orders", &list)
	return list, err
}
