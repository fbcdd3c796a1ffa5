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

// Exit codes of drain requests that were waited for.
const (
	exitOverdue   = 3 // the deadline has passed with requests in flight
	exitCancelled = 4
)

const (
	defaultAdmin = "127.0.0.1:9901"
	adminUsage   = "any process's admin `address`"

	drainPollInterval = 200 * time.Millisecond
)

// exitCode is the process's exit code as an error. What the user has to know was printed before.
type exitCode int

// Error names the code.
func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

// Unwrap returns errReported.
func (c exitCode) Unwrap() error { return errReported }

// drainClient sends drain requests to the admin address of a process of the fleet, and prints what becomes of them.
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
	f.BoolVar(&d.asJSON, "json", false, "print JSON, a line each")
}

func drainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "drain",
		Short: "Take gateways or endpoints out of service, as the fleet's budgets allow",
		Long: "Take a gateway, an endpoint, or a zone of either out of service. The fleet's quorum grants it when the budgets allow, counting what is out by itself;\n" +
			"until then the request is pending. The target stays out until robindrum undrain, also when it is restarted.\n" +
			"With --wait, exit codes: 0 nothing is in flight any more, 1 refused or failed, 3 overdue, 4 cancelled.",
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	client := &drainClient{}
	client.addFlags(c, "wait until it is done, and print each change", true)
	request := &drain.Request{}
	f := c.PersistentFlags()
	f.StringVar(&request.ID, "id", "", "the drain request's name; submitted again it is the same request; left out: a random one")
	f.StringVar(&request.Owner, "owner", os.Getenv("USER"), "who asks")
	f.StringVar(&request.Reason, "reason", "", "why")
	f.DurationVar(&request.Grace, "grace", 30*time.Second, "how long requests in flight may take to finish")
	f.DurationVar(&request.Notice, "notice", 2*time.Second, "of it, how long a gateway still accepts requests, with its readiness off")
	f.BoolVar(&request.WaitForAll, "wait-for-all", false, "go on waiting for a gateway's requests in flight when the grace is over; else it answers them then, by class")
	for _, kind := range drainTargets {
		c.AddCommand(drainTargetCommand(client, request, kind))
	}
	return c
}

// drainTarget is a subcommand of drain: a kind of target and its arguments.
type drainTarget struct {
	use         string
	short       string
	args        cobra.PositionalArgs
	ofEndpoints bool // their drains have no notice
	target      func(args []string) drain.Target
}

var drainTargets = []drainTarget{
	{
		use:    "gateway MEMBER",
		short:  "A gateway, by its member's name",
		args:   cobra.ExactArgs(1),
		target: func(args []string) drain.Target { return drain.Target{Gateway: args[0]} },
	},
	{
		use:         "endpoint CLUSTER ADDRESS",
		short:       "An endpoint of a cluster, at every gateway",
		args:        cobra.ExactArgs(2),
		ofEndpoints: true,
		target:      func(args []string) drain.Target { return drain.Target{Cluster: args[0], Endpoint: args[1]} },
	},
	{
		use:   "gateways ZONE [SITE]",
		short: "All gateways of a zone, together or none",
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
		short:       "All endpoints of a zone of a cluster, together or none",
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
		Short: "Bring back what a drain request has taken out, or drop a request that has not begun",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cancelled, err := client.post(c, "undrain", &drain.Request{ID: args[0]})
			if err != nil {
				return err
			}
			return client.finish(c, cancelled, drain.Ended)
		},
	}
	client.addFlags(c, "wait until it is in service again", false)
	return c
}

func ordersCommand() *cobra.Command {
	client := &drainClient{}
	c := &cobra.Command{
		Use:   "orders",
		Short: "Print the drain requests, what they wait for, and the budgets",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if client.asJSON {
				return ask(c, http.MethodGet, client.addr, "/fleet/orders", c.OutOrStdout())
			}
			list, err := client.list(c)
			if err != nil {
				return err
			}
			return printDrains(c.OutOrStdout(), &list)
		},
	}
	c.PersistentFlags().StringVarP(&client.addr, "admin", "a", defaultAdmin, adminUsage)
	c.Flags().BoolVar(&client.asJSON, "json", false, "print the quorum's answer unchanged")
	c.AddCommand(
		grantingCommand(client, "halt", "Have nothing new taken out; what is out stays, and may come back"),
		grantingCommand(client, "resume", "Lift a halt"),
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

// drain submits a request, with a random ID where it has none, and waits for it where that is asked for.
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

// finish prints the request, or with --wait its changes until it is in one of the states.
func (d *drainClient) finish(c *cobra.Command, request drain.Request, wanted ...drain.State) error {
	if d.wait {
		return d.watch(c, request, wanted)
	}
	return d.print(c.OutOrStdout(), request)
}

// post posts a request to one of the fleet's operations and returns it as the quorum has it.
func (d *drainClient) post(c *cobra.Command, operation string, request *drain.Request) (drain.Request, error) {
	var answer drain.Request
	text, err := json.Marshal(request)
	if err != nil {
		return answer, err
	}
	err = send(c, http.MethodPost, d.addr, "/fleet/"+operation, bytes.NewReader(text), &answer)
	return answer, err
}

func (d *drainClient) list(c *cobra.Command) (quorum.DrainList, error) {
	var list quorum.DrainList
	err := ask(c, http.MethodGet, d.addr, "/fleet/orders", &list)
	return list, err
}
