// Measure runs the benchmarks and fault schedules that the results pages report, on loopback and in bounded time:
//
//	go run ./tools/measure proxy     requests per second and CPU per request: robindrum, robindrum-node, httputil.ReverseProxy
//	go run ./tools/measure push      time from the push that removes an endpoint to the last request sent to it
//	go run ./tools/measure flood     memory and CPU under 200 endpoint list updates per second for 10 s
//	go run ./tools/measure size      memory and CPU by the number of clusters and endpoints
//	go run ./tools/measure zone      loss and return of a zone in simulated time: tiers, none, plain failover
//	go run ./tools/measure zone-big  the same with 200 gateways and 72 servers
//	go run ./tools/measure overload  bursts and overloads in simulated time with five kinds of admission control
//	go run ./tools/measure duties    seeded faults against fleets of processes: leases held twice, time without a lease holder
//	go run ./tools/measure releases  seeded releases and drains amid faults: gateways unavailable at once, with budgets and without
//	go run ./tools/measure worth     a good and a bad version on 20 processes: as a release, by a loop, all at once
//	go run ./tools/measure drains    seeded drains amid faults: gateways unavailable at once, with budgets kept by the quorum or by each requester alone
//	go run ./tools/measure herd      load on a control plane that returns to 20 gateways: a subscription for each, or a shared one
//	go run ./tools/measure quorum    traffic at the voters and hand-over time with 10, 50 and 200 members
//	go run ./tools/measure path      request latency with and without a fleet; a minute without a quorum
//	go run ./tools/measure capacity [PART] [-full] [-sizes N,N]  the figures of docs/CAPACITY.md, extrapolated by linear fits; the
//	                                 parts are members, quorum, orders, subscription, gateway, node, module and limits
//
// To run an experiment on loopback, use robindrum lab run --engine loopback instead.
//
// The measured programs run in separate processes; the load generator and the simulated servers run in this process.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"strings"
)

// Upper limits of the flag values, so that each command ends in bounded time. childCommand is the command that startProcess
// passes to a child process.
const (
	maxRequests  = 200000
	maxRounds    = 20
	maxUpdates   = 5000
	childCommand = "child"
)

// options holds the flags and arguments that the commands share.
type options struct {
	requests  int
	rounds    int
	updates   int
	schedules int
	firstSeed uint64
	previous  string
	parallel  int
	arguments []string // that follow the command name
}

// command is a command of the program.
type command struct {
	name string
	run  func(o options) error
}

// commands returns the commands in the order in which the usage error lists them.
func commands() []command {
	return []command{
		{"proxy", func(o options) error { return measureProxy(o.requests, o.rounds) }},
		{"push", func(o options) error { return measurePushes(o.updates) }},
		{"flood", func(options) error { return measureFlood() }},
		{"size", func(options) error { return measureSizes() }},
		{"zone", func(options) error { return measureZoneLoss(false) }},
		{"zone-big", func(options) error { return measureZoneLoss(true) }},
		{"overload", func(options) error { return measureOverload() }},
		{"duties", func(o options) error { return measureDuties(o.schedules, o.parallel, o.firstSeed, o.previous) }},
		{"drains", func(o options) error { return measureDrains(o.schedules, o.parallel, o.firstSeed) }},
		{"releases", func(o options) error { return measureReleases(o.schedules, o.parallel, o.firstSeed) }},
		{"worth", func(options) error { return measureRollouts() }},
		{"herd", func(options) error { return measureReconnects() }},
		{"quorum", func(options) error { return measureQuorumTraffic() }},
		{"path", func(o options) error { return measurePath(o.requests, o.rounds) }},
		{"capacity", func(o options) error { return measureCapacity(o.arguments) }},
	}
}

func main() {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	o := parseOptions()
	if err := run(flag.Arg(0), o); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// parseOptions parses the command line and exits if a flag is malformed.
func parseOptions() options {
	requests := flag.Int("requests", 20000, "requests per round of proxy and path, at most 200000")
	rounds := flag.Int("rounds", 5, "rounds of proxy and path, at most 20")
	updates := flag.Int("updates", 1000, "updates of push, at most 5000")
	schedules := flag.Int("schedules", 300, "schedules of duties, drains and releases, at most 2000")
	first := flag.Uint64("first", 1, "first seed of duties, drains and releases")
	previous := flag.String("previous", "", "path of another robindrum binary, which the first process of each schedule of duties runs")
	parallel := flag.Int("at", max(runtime.NumCPU()/2, 1), "schedules of duties, drains and releases that run concurrently")
	flag.Parse()
	o := options{
		requests:  min(*requests, maxRequests),
		rounds:    min(*rounds, maxRounds),
		updates:   min(*updates, maxUpdates),
		schedules: *schedules,
		firstSeed: *first,
		previous:  *previous,
		parallel:  *parallel,
	}
	if flag.NArg() > 0 {
		o.arguments = flag.Args()[1:]
	}
	return o
}

// run runs the command with the given name, or the measured process if the program was started by startProcess.
func run(name string, o options) error {
	if name == childCommand {
		return runChild(flag.Arg(1), flag.Args()[2:])
	}
	all := commands()
	names := make([]string, 0, len(all))
	for _, c := range all {
		if c.name == name {
			return c.run(o)
		}
		names = append(names, c.name)
	}
	last := len(names) - 1
	return errors.New("command must be " + strings.Join(names[:last], ", ") + " or " + names[last])
}
