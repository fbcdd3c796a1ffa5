package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Fault names a fault that a schedule injects. Its text is for reports.
type Fault string

// The faults that a schedule can inject. The holder is the lease holder of the audited task, the leader that of the quorum.
const (
	KillHolder               Fault = "holder killed"
	FreezeShort              Fault = "holder frozen for less than its lease"
	FreezeLong               Fault = "holder frozen for longer than its lease, in the middle of an act"
	PartitionHolder          Fault = "holder cut off from all voters, not from the receiver"
	PartitionHolderOutbound  Fault = "holder cut off one way, what it sends"
	PartitionHolderInbound   Fault = "holder cut off one way, what it gets"
	PartitionHolderFromVoter Fault = "holder cut off from one voter"
	DelayHolder              Fault = "holder so slow that a renewal takes most of its lease"
	DelayAct                 Fault = "holder's act held on its way until another one has the duty"
	KillLeader               Fault = "leader killed"
	FreezeLeader             Fault = "leader frozen"
	PartitionLeader          Fault = "leader cut off"
	KillMajority             Fault = "a majority of voters killed"
	KillAllVoters            Fault = "all voters killed at once"
	EraseVoter               Fault = "a voter comes back with an empty folder"
	DegradeNetwork           Fault = "all ways lose, double and hold back"
	SplitFleet               Fault = "the fleet split in two"
	FlapMember               Fault = "a member cut off and back, again and again"
)

// Faults lists all faults. DrawSchedule draws indexes of it, so its order determines the schedule of a seed.
var Faults = []Fault{
	KillHolder, FreezeShort, FreezeLong, PartitionHolder, PartitionHolderOutbound, PartitionHolderInbound, PartitionHolderFromVoter,
	DelayHolder, DelayAct, KillLeader, FreezeLeader, PartitionLeader, KillMajority, KillAllVoters, EraseVoter, DegradeNetwork,
	SplitFleet, FlapMember,
}

// Schedule is a fleet's size and the faults that are injected one after the other.
type Schedule struct {
	Seed   uint64
	Nodes  int
	Faults []Fault
}

// The bounds of a drawn schedule.
const (
	minScheduleNodes = 3
	maxScheduleNodes = 7
	scheduleFaults   = 4
)

// The second words of the seeds of random numbers, so that a schedule's different draws are independent of each other.
const (
	scheduleStream = 0x5c6ed
	faultStream    = 0x9e3
	drainStream    = 0xd4a1
	releaseStream  = 0x4e1e
)

// recoveryTimeout is how long a fleet may take after all faults are healed until it works again. It is long enough for a busy
// machine, so that a seed's result does not depend on the load.
const recoveryTimeout = 30 * time.Second

// DrawSchedule returns the schedule of a seed: three to seven processes and four faults.
func DrawSchedule(seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	schedule := Schedule{Seed: seed, Nodes: minScheduleNodes + random.IntN(maxScheduleNodes-minScheduleNodes+1)}
	for range scheduleFaults {
		schedule.Faults = append(schedule.Faults, Faults[random.IntN(len(Faults))])
	}
	return schedule
}

// ScheduleResult is the outcome of a schedule.
type ScheduleResult struct {
	Schedule
	AuditResult
	// Gaps are the longest times without an accepted act, by fault.
	Gaps map[Fault][]time.Duration
	// Operations is the length of the history of lease operations.
	Operations int
	// NotLinearizable reports that no order explains the history, Undecided that the check did not end in time.
	NotLinearizable bool
	Undecided       bool
	// Err is why the fleet did not recover in time, or why the schedule could not be played.
	Err error
}

// Violated reports whether a guarantee was violated.
func (r *ScheduleResult) Violated() bool {
	return r.AuditResult.Violated() || r.NotLinearizable || r.Err != nil
}

// String describes the result for a report.
func (r *ScheduleResult) String() string {
	s := fmt.Sprintf("seed %d: %d processes, %d acts, %d holders, %d refused; accepted out of order %d, two under a token %d, begun beyond the lease %d",
		r.Seed, r.Nodes, r.Acts, r.Tokens, r.Rejected, r.StaleAccepted, r.SharedTokens, r.AfterLease)
	if r.Operations > 0 {
		s += fmt.Sprintf("; %d operations, linearizable %v", r.Operations, !r.NotLinearizable)
	}
	if r.Undecided {
		s += " (not decided in time)"
	}
	return s + describeFailure(r.FirstViolation, r.Err)
}

// describeFailure returns the last lines of a result's description.
func describeFailure(firstViolation string, err error) string {
	s := ""
	if firstViolation != "" {
		s += "\n  " + firstViolation
	}
	if err != nil {
		s += fmt.Sprintf("\n  %v", err)
	}
	return s
}

// RunSchedules plays the schedules of seeds, at most parallel at once. It calls report with each result, by one goroutine at a
// time, and returns when all have ended. It starts no further ones once ctx has ended.
func RunSchedules(ctx context.Context, seeds []uint64, parallel int, options PlayOptions, report func(ScheduleResult)) {
	runSeeds(ctx, seeds, parallel, func(seed uint64) ScheduleResult { return Play(ctx, DrawSchedule(seed), options) }, report)
}

// runSeeds calls play for each seed, at most parallel at once, and report with each result, by one goroutine at a time.
func runSeeds[Result any](ctx context.Context, seeds []uint64, parallel int, play func(seed uint64) Result, report func(Result)) {
	next := make(chan uint64)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range parallel {
		workers.Go(func() {
			for seed := range next {
				result := play(seed)
				mu.Lock()
				report(result)
				mu.Unlock()
			}
		})
	}
	for _, seed := range seeds {
		select {
		case next <- seed:
		case <-ctx.Done():
		}
	}
	close(next)
	workers.Wait()
}
