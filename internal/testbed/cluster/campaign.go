package cluster

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	defaultPlayLease = 600 * time.Millisecond
	// heartbeatsPerLease is the ratio of a fleet's lease to its voters' heartbeat.
	heartbeatsPerLease = 6
	historyClients     = 3
	// maxDecisionTime bounds the check of a history.
	maxDecisionTime = 20 * time.Second
	// actsOfRecovery is how many acts must be accepted until a fleet counts as recovered.
	actsOfRecovery = 3
)

// PlayOptions configure how schedules are played.
type PlayOptions struct {
	Binary string
	// Dir is where temporary directories are created.
	Dir   string
	Lease time.Duration // 0: 600 ms
	// PreviousBinary is the program of the first process, of an earlier version; empty: Binary.
	PreviousBinary string
	// AcceptAll turns the auditor's fence off.
	AcceptAll bool
	// History has clients of the quorum use a lease of their own, and checks that their history is linearizable.
	History bool
}

// scheduleRun is a schedule that is being played.
type scheduleRun struct {
	cluster *Cluster
	auditor *Auditor
	options PlayOptions
	random  *rand.Rand
}

// Play plays a schedule with a fleet of its own, and blocks until all its processes have ended. It ends early when ctx does.
func Play(ctx context.Context, schedule Schedule, options PlayOptions) ScheduleResult {
	result := ScheduleResult{Schedule: schedule, Gaps: map[Fault][]time.Duration{}}
	options.Lease = cmp.Or(options.Lease, defaultPlayLease)
	dir, err := os.MkdirTemp(options.Dir, fmt.Sprintf("seed-%d-", schedule.Seed))
	if err != nil {
		result.Err = err
		return result
	}
	defer func() { _ = os.RemoveAll(dir) }()
	run, err := startRun(dir, schedule, options)
	if err != nil {
		result.Err = err
		return result
	}
	defer run.close()
	run.play(ctx, &result)
	return result
}

// startRun starts an auditor and a fleet that posts to it.
func startRun(dir string, schedule Schedule, options PlayOptions) (*scheduleRun, error) {
	auditor, err := NewAuditor("receiver")
	if err != nil {
		return nil, err
	}
	auditor.AcceptAll = options.AcceptAll
	binaries := map[int]string{}
	if options.PreviousBinary != "" {
		binaries[0] = options.PreviousBinary
	}
	cluster, err := New(Options{
		Binary:    options.Binary,
		Binaries:  binaries,
		Dir:       dir,
		Nodes:     schedule.Nodes,
		Lease:     options.Lease,
		Heartbeat: options.Lease / heartbeatsPerLease,
		Posts:     map[string]*ExternalService{"audit": &auditor.ExternalService},
		Seed:      schedule.Seed,
	})
	if err != nil {
		auditor.Close()
		return nil, err
	}
	run := &scheduleRun{
		cluster: cluster,
		auditor: auditor,
		options: options,
		random:  rand.New(rand.NewPCG(schedule.Seed, faultStream)),
	}
	if err := cluster.Start(); err != nil {
		run.close()
		return nil, err
	}
	return run, nil
}

func (r *scheduleRun) close() {
	r.cluster.Close()
	r.auditor.Close()
}

// play injects the schedule's faults and fills in the result.
func (r *scheduleRun) play(ctx context.Context, result *ScheduleResult) {
	if err := r.awaitActs(ctx); err != nil {
		result.Err = fmt.Errorf("at the start: %w", err)
		return
	}
	stopHistory := func() []operation { return nil }
	if r.options.History {
		stop, err := r.startHistory(ctx, result.Seed)
		if err != nil {
			result.Err = err
			return
		}
		stopHistory = stop
	}
	for i, fault := range result.Faults {
		before := len(r.auditor.Acts())
		if err := r.injectAndRecover(ctx, fault); err != nil {
			result.Err = fmt.Errorf("fault %d, %s: %w", i+1, fault, err)
			break
		}
		result.Gaps[fault] = append(result.Gaps[fault], longestGap(r.auditor.Acts(), max(before-1, 0)))
	}
	operations := stopHistory()
	result.AuditResult = Audit(r.auditor.Acts())
	result.addHistory(operations)
}

// startHistory starts clients that use a lease of their own. stop ends them, waits for them, and returns their operations.
func (r *scheduleRun) startHistory(ctx context.Context, seed uint64) (stop func() []operation, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	var clients []*historyClient
	stop = func() []operation {
		cancel()
		running.Wait()
		var operations []operation
		for _, client := range clients {
			operations = append(operations, client.operations...)
		}
		return operations
	}
	for number := range historyClients {
		client, err := r.cluster.newClient(number, seed)
		if err != nil {
			stop()
			return nil, err
		}
		clients = append(clients, client)
		running.Go(func() { client.run(ctx) })
	}
	return stop, nil
}

// addHistory checks a history, if there is one.
func (r *ScheduleResult) addHistory(operations []operation) {
	r.Operations = len(operations)
	if len(operations) == 0 {
		return
	}
	slices.SortFunc(operations, func(a, b operation) int { return cmp.Compare(a.calledAt, b.calledAt) })
	ok, decided := linearizable(operations, maxDecisionTime)
	r.NotLinearizable = !ok
	r.Undecided = !decided
}

// injectAndRecover injects a fault, repairs what it broke, and waits until the fleet has recovered.
func (r *scheduleRun) injectAndRecover(ctx context.Context, fault Fault) error {
	err := r.inject(ctx, fault)
	r.cluster.Heal()
	if err != nil {
		return err
	}
	if err := r.repair(); err != nil {
		return err
	}
	if err := r.awaitActs(ctx); err != nil {
		return err
	}
	return r.awaitAllVoters(ctx)
}

// repair starts the processes that have ended and thaws the others.
func (r *scheduleRun) repair() error {
	for _, n := range r.cluster.Nodes {
		if p := n.Process(); p != nil && p.Running() {
			n.Thaw()
			continue
		}
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitActs waits until some more acts are accepted.
func (r *scheduleRun) awaitActs(ctx context.Context) error {
	timeout := time.NewTimer(recoveryTimeout)
	defer timeout.Stop()
	for range actsOfRecovery {
		_, accepted := r.auditor.Last()
		select {
		case <-accepted:
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			return fmt.Errorf("no act for %v", recoveryTimeout)
		}
	}
	return nil
}

// awaitNewerToken waits until an act under a newer token is accepted, at most for limit.
func (r *scheduleRun) awaitNewerToken(ctx context.Context, token uint64, limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		act, accepted := r.auditor.Last()
		if act.Token > token {
			return
		}
		select {
		case <-accepted:
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		}
	}
}

// awaitAllVoters waits until every voter votes. A voter with an empty directory does so once the leader has added it; until then,
// the next fault could cost the fleet its majority.
func (r *scheduleRun) awaitAllVoters(ctx context.Context) error {
	voters := r.cluster.voterNodes()
	return Await(ctx, "all voters", recoveryTimeout, func() bool {
		for _, voter := range voters {
			if !voter.votesAmong(len(voters)) {
				return false
			}
		}
		return true
	})
}

// votesAmong reports whether a voter says that it votes, knows this many voters, and knows the leader.
func (n *Node) votesAmong(voters int) bool {
	status, err := n.Fleet()
	if err != nil || status.Vote == nil {
		return false
	}
	vote := status.Vote
	if vote.Unassigned || vote.Leader == "" || len(vote.Voters) != voters {
		return false
	}
	return vote.State == voterLeads || vote.State == voterFollows
}

// holder returns the node whose act was accepted last, and its token. Without one it returns the first node.
func (r *scheduleRun) holder() (*Node, uint64) {
	act, _ := r.auditor.Last()
	for _, n := range r.cluster.Nodes {
		if n.Name == act.Member {
			return n, act.Token
		}
	}
	return r.cluster.Nodes[0], act.Token
}

// leader returns the leader of the quorum, or a random voter if there is none.
func (r *scheduleRun) leader() *Node {
	if leader := r.cluster.Leader(); leader != nil {
		return leader
	}
	return r.drawVoter()
}

// longestGap returns the longest time between two accepted acts, of which the second has a higher index than from.
func longestGap(acts []Act, from int) time.Duration {
	longest := time.Duration(0)
	last := time.Duration(0)
	for i, act := range acts {
		if !act.Accepted {
			continue
		}
		if i > from && last > 0 {
			longest = max(longest, act.ReceivedAt-last)
		}
		last = act.ReceivedAt
	}
	return longest
}

// The fleet and the rhythm of MeasureFlapping.
const (
	flappingNodes    = 5
	flappingLease    = 2 * time.Second
	flappingHalfTime = 500 * time.Millisecond
)

// MeasureFlapping isolates the holder for half of each second, that many times. It returns the audit and the longest time without
// an accepted act.
func MeasureFlapping(ctx context.Context, binary, parentDir string, times int) (AuditResult, time.Duration, error) {
	dir, err := os.MkdirTemp(parentDir, "flap-")
	if err != nil {
		return AuditResult{}, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	run, err := startRun(dir, Schedule{Nodes: flappingNodes}, PlayOptions{Binary: binary, Lease: flappingLease})
	if err != nil {
		return AuditResult{}, 0, err
	}
	defer run.close()
	if err := run.awaitActs(ctx); err != nil {
		return AuditResult{}, 0, err
	}
	before := len(run.auditor.Acts())
	for range times {
		holder, _ := run.holder()
		run.cluster.Isolate(holder, partitioned)
		_ = sleep(ctx, flappingHalfTime)
		run.cluster.Heal()
		_ = sleep(ctx, flappingHalfTime)
	}
	err = run.awaitActs(ctx)
	acts := run.auditor.Acts()
	return Audit(acts), longestGap(acts, before-1), err
}
