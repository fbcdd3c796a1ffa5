package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is a kind of fault that a schedule injects. Its text is printed in reports.
type Fault string

// The faults that a schedule can inject. "holder" is the lease holder of the audited post task, "leader" the leader of the quorum.
const (
	KillHolder               Fault = "holder killed"
	FreezeShort              Fault = "holder frozen for less than its lease"
	FreezeLong               Fault = "holder frozen for longer than its lease, in the middle of a post"
	PartitionHolder          Fault = "holder partitioned from all members, not from the receiver"
	PartitionHolderOutbound  Fault = "holder partitioned in one direction, outbound"
	PartitionHolderInbound   Fault = "holder partitioned in one direction, inbound"
	PartitionHolderFromVoter Fault = "holder partitioned from one voter"
	DelayHolder              Fault = "holder delayed so that a renewal takes most of its lease"
	DelayPost                Fault = "holder's post delayed until another member holds the lease"
	KillLeader               Fault = "leader killed"
	FreezeLeader             Fault = "leader frozen"
	PartitionLeader          Fault = "leader partitioned"
	KillMajority             Fault = "majority of voters killed"
	KillAllVoters            Fault = "all voters killed at once"
	EraseVoter               Fault = "voter restarted with an empty directory"
	DegradeNetwork           Fault = "all links lose, duplicate and delay"
	SplitFleet               Fault = "fleet split in two"
	FlapMember               Fault = "member partitioned and healed repeatedly"
)

// Faults lists all faults. DrawSchedule draws indexes into it, so its order determines the schedule of a seed.
var Faults = []Fault{
	KillHolder, FreezeShort, FreezeLong, PartitionHolder, PartitionHolderOutbound, PartitionHolderInbound, PartitionHolderFromVoter,
	DelayHolder, DelayPost, KillLeader, FreezeLeader, PartitionLeader, KillMajority, KillAllVoters, EraseVoter, DegradeNetwork,
	SplitFleet, FlapMember,
}

// Schedule is the size of a fleet and the faults that are injected into it one after the other.
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

// The second seed words of random numbers. They make draws for different purposes with the same seed independent of each other.
const (
	scheduleStream = 0x5c6ed
	faultStream    = 0x9e3
	drainStream    = 0xd4a1
	releaseStream  = 0x4e1e
)

// recoveryTimeout is the maximum time that a fleet may take to recover after all faults are healed. It is long enough for a busy
// machine, so that a seed's result does not depend on the machine's load.
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
	// Gaps are the longest times without an accepted post, by fault.
	Gaps map[Fault][]time.Duration
	// Operations is the number of lease operations in the history.
	Operations int
	// NotLinearizable is set if the history is not linearizable, Undecided if the check did not finish in time.
	NotLinearizable bool
	Undecided       bool
	// Err is the reason why the fleet did not recover in time, or why the schedule could not be run.
	Err error
}

// Violated reports whether a guarantee was violated.
func (r *ScheduleResult) Violated() bool {
	return r.AuditResult.Violated() || r.NotLinearizable || r.Err != nil
}

// String describes the result for a report.
func (r *ScheduleResult) String() string {
	s := fmt.Sprintf("seed %d: %d processes, %d posts, %d tokens, %d rejected; %d accepted with a stale token, %d changes of the member under one token, %d sent after the lease",
		r.Seed, r.Nodes, r.Posts, r.Tokens, r.Rejected, r.StaleAccepted, r.SharedTokens, r.AfterLease)
	if r.Operations > 0 {
		s += fmt.Sprintf("; %d operations, linearizable %v", r.Operations, !r.NotLinearizable)
	}
	if r.Undecided {
		s += " (check did not finish in time)"
	}
	return s + describeFailure(r.FirstViolation, r.Err)
}

// describeFailure returns the first violation and the error, if any, as lines of a result's description.
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

// RunSchedules runs the schedules of seeds, at most parallel at once, and returns when all have ended. It calls report with each
// result; the calls do not overlap. It starts no further schedules after ctx has ended.
func RunSchedules(ctx context.Context, seeds []uint64, parallel int, options ScheduleOptions, report func(ScheduleResult)) {
	runSeeds(ctx, seeds, parallel, func(seed uint64) ScheduleResult { return RunSchedule(ctx, DrawSchedule(seed), options) }, report)
}

// runSeeds calls runSeed for each seed, at most parallel at once, and report with each result. Calls of report do not overlap.
func runSeeds[Result any](ctx context.Context, seeds []uint64, parallel int, runSeed func(seed uint64) Result, report func(Result)) {
	next := make(chan uint64)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range parallel {
		workers.Go(func() {
			for seed := range next {
				result := runSeed(seed)
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
