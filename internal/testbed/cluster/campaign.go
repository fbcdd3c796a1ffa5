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
	defaultScheduleLease = 600 * time.Millisecond
	// heartbeatsPerLease is the ratio of the lease duration to the voters' heartbeat interval.
	heartbeatsPerLease = 6
	historyClients     = 3
	// maxDecisionTime is the maximum time for the check of a history.
	maxDecisionTime = 20 * time.Second
	// recoveryPosts is the number of posts that must be accepted for a fleet to count as recovered.
	recoveryPosts = 3
)

// ScheduleOptions configure the runs of schedules.
type ScheduleOptions struct {
	Binary string
	// Dir is where temporary directories are created.
	Dir   string
	Lease time.Duration // 0: 600 ms
	// PreviousBinary is the program of the first node, from an earlier version; empty: Binary.
	PreviousBinary string
	// AcceptAll makes the auditor accept posts with stale fencing tokens.
	AcceptAll bool
	// History starts clients of the quorum that use a separate lease, and checks that their history is linearizable.
	History bool
}

// scheduleRun is a run of a schedule.
type scheduleRun struct {
	cluster *Cluster
	auditor *Auditor
	options ScheduleOptions
	random  *rand.Rand
}

// RunSchedule runs a schedule on a new fleet, and returns when all processes of the fleet have ended. It ends early if ctx ends.
func RunSchedule(ctx context.Context, schedule Schedule, options ScheduleOptions) ScheduleResult {
	result := ScheduleResult{Schedule: schedule, Gaps: map[Fault][]time.Duration{}}
	options.Lease = cmp.Or(options.Lease, defaultScheduleLease)
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
	run.injectFaults(ctx, &result)
	return result
}

// startRun starts an auditor and a fleet with a post task that sends to it.
func startRun(dir string, schedule Schedule, options ScheduleOptions) (*scheduleRun, error) {
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
		PostTasks: map[string]*ExternalService{"audit": &auditor.ExternalService},
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

// injectFaults injects the schedule's faults one after the other and fills in the result.
func (r *scheduleRun) injectFaults(ctx context.Context, result *ScheduleResult) {
	if err := r.awaitPosts(ctx); err != nil {
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
		before := len(r.auditor.Posts())
		if err := r.injectAndRecover(ctx, fault); err != nil {
			result.Err = fmt.Errorf("fault %d, %s: %w", i+1, fault, err)
			break
		}
		result.Gaps[fault] = append(result.Gaps[fault], longestGap(r.auditor.Posts(), max(before-1, 0)))
	}
	operations := stopHistory()
	result.AuditResult = Audit(r.auditor.Posts())
	result.addHistory(operations)
}

// startHistory starts clients that use a separate lease. stop ends them, waits for them, and returns their operations.
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

// addHistory checks a history for linearizability, unless it is empty.
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

// injectAndRecover injects a fault, heals the links, restarts and thaws processes, and waits until the fleet has recovered.
func (r *scheduleRun) injectAndRecover(ctx context.Context, fault Fault) error {
	err := r.inject(ctx, fault)
	r.cluster.Heal()
	if err != nil {
		return err
	}
	if err := r.repair(); err != nil {
		return err
	}
	if err := r.awaitPosts(ctx); err != nil {
		return err
	}
	return r.awaitAllVoters(ctx)
}

// repair starts the nodes whose processes have ended and thaws the others.
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

// awaitPosts waits until recoveryPosts further posts are accepted.
func (r *scheduleRun) awaitPosts(ctx context.Context) error {
	timeout := time.NewTimer(recoveryTimeout)
	defer timeout.Stop()
	for range recoveryPosts {
		_, accepted := r.auditor.Last()
		select {
		case <-accepted:
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			return fmt.Errorf("fewer than %d posts accepted within %v", recoveryPosts, recoveryTimeout)
		}
	}
	return nil
}

// awaitNewerToken waits until a post under a newer token is accepted, but no longer than limit.
func (r *scheduleRun) awaitNewerToken(ctx context.Context, token uint64, limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		post, accepted := r.auditor.Last()
		if post.Token > token {
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

// awaitAllVoters waits until every voter votes. A voter with an empty directory votes only after the leader has added it, and a fault
// before that could leave the fleet without a majority.
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

// votesAmong reports whether a voter's status says that it votes, and knows the leader and the given number of voters.
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

// holder returns the node whose post was accepted last, and the post's token. If there is none, it returns the first node.
func (r *scheduleRun) holder() (*Node, uint64) {
	post, _ := r.auditor.Last()
	for _, n := range r.cluster.Nodes {
		if n.Name == post.Member {
			return n, post.Token
		}
	}
	return r.cluster.Nodes[0], post.Token
}

// leader returns the leader of the quorum, or a random voter if there is none.
func (r *scheduleRun) leader() *Node {
	if leader := r.cluster.Leader(); leader != nil {
		return leader
	}
	return r.drawVoter()
}

// longestGap returns the longest time between two consecutive accepted posts, of which the later has an index above from.
func longestGap(posts []Post, from int) time.Duration {
	longest := time.Duration(0)
	last := time.Duration(0)
	for i, post := range posts {
		if !post.Accepted {
			continue
		}
		if i > from && last > 0 {
			longest = max(longest, post.ReceivedAt-last)
		}
		last = post.ReceivedAt
	}
	return longest
}

// The fleet and the timing of MeasureFlapping.
const (
	flappingNodes    = 5
	flappingLease    = 2 * time.Second
	flappingHalfTime = 500 * time.Millisecond
)

// MeasureFlapping isolates the lease holder for half a second of each second, for the given number of seconds. It returns the audit's
// result and the longest time without an accepted post.
func MeasureFlapping(ctx context.Context, binary, parentDir string, times int) (AuditResult, time.Duration, error) {
	dir, err := os.MkdirTemp(parentDir, "flap-")
	if err != nil {
		return AuditResult{}, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	run, err := startRun(dir, Schedule{Nodes: flappingNodes}, ScheduleOptions{Binary: binary, Lease: flappingLease})
	if err != nil {
		return AuditResult{}, 0, err
	}
	defer run.close()
	if err := run.awaitPosts(ctx); err != nil {
		return AuditResult{}, 0, err
	}
	before := len(run.auditor.Posts())
	for range times {
		holder, _ := run.holder()
		run.cluster.Isolate(holder, partitioned)
		_ = sleep(ctx, flappingHalfTime)
		run.cluster.Heal()
		_ = sleep(ctx, flappingHalfTime)
	}
	err = run.awaitPosts(ctx)
	posts := run.auditor.Posts()
	return Audit(posts), longestGap(posts, before-1), err
}
