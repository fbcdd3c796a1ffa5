package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"robindrum/internal/testbed/cluster"
)

// maxSchedules bounds the schedules of one command.
const maxSchedules = 2000

// scheduleLease is the lease length in schedules of faults.
const scheduleLease = 600 * time.Millisecond

// seedList returns count consecutive seeds.
func seedList(first uint64, count int) []uint64 {
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// scheduleTotals adds up the results of schedules.
type scheduleTotals struct {
	audit           cluster.AuditResult
	failed          int // schedules with a violation
	operations      int // on leases
	notLinearizable int // schedules with a history that is not linearizable
	undecided       int // schedules with a history that was not checked in time
	gaps            map[cluster.Fault][]time.Duration
}

// add adds the result of a schedule. It prints results with a violation and gaps of more than ten lease lengths without an accepted post.
func (s *scheduleTotals) add(result cluster.ScheduleResult) {
	if result.Violated() {
		s.failed++
		fmt.Println(&result)
	}
	s.audit.Add(result.AuditResult)
	s.operations += result.Operations
	for fault, gaps := range result.Gaps {
		s.gaps[fault] = append(s.gaps[fault], gaps...)
		if longest := slices.Max(gaps); longest > 10*scheduleLease {
			fmt.Printf("seed %d: %v without a post after fault %s; all faults: %v\n", result.Seed, longest, fault, result.Faults)
		}
	}
	if result.NotLinearizable {
		s.notLinearizable++
	}
	if result.Undecided {
		s.undecided++
	}
}

func (s *scheduleTotals) print() {
	fmt.Printf("posts %d, fencing tokens %d, rejected by token %d\n", s.audit.Posts, s.audit.Tokens, s.audit.Rejected)
	fmt.Printf("accepted out of order %d, members sharing a token %d, begun after the lease ended %d\n", s.audit.StaleAccepted, s.audit.SharedTokens, s.audit.AfterLease)
	fmt.Printf("lease operations %d, histories not linearizable %d, not checked in time %d\n", s.operations, s.notLinearizable, s.undecided)
	fmt.Printf("schedules with violations %d\n\n", s.failed)
	fmt.Println("time without a post, in lease lengths: n, p50, p99, max")
	for _, fault := range cluster.Faults {
		gaps := s.gaps[fault]
		if len(gaps) == 0 {
			continue
		}
		slices.Sort(gaps)
		quantile := func(q float64) float64 {
			index := min(int(q*float64(len(gaps))), len(gaps)-1)
			return gaps[index].Seconds() / scheduleLease.Seconds()
		}
		fmt.Printf("%-70s %4d %6.2f %6.2f %6.2f\n", fault, len(gaps), quantile(0.5), quantile(0.99), quantile(1))
	}
}

// measureDuties runs seeded schedules of faults against fleets of the built program. Then it runs a few schedules with a safeguard
// disabled, in which the audit must find violations.
func measureDuties(schedules, parallel int, firstSeed uint64, previous string) error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	faultBinary, err := cluster.Build(ctx, b.dir, "faultinjection")
	if err != nil {
		return err
	}
	began := time.Now()
	schedules = min(schedules, maxSchedules)
	totals := &scheduleTotals{gaps: map[cluster.Fault][]time.Duration{}}
	options := cluster.ScheduleOptions{Binary: b.binary, Dir: b.dir, Lease: scheduleLease, History: true, PreviousBinary: previous}
	cluster.RunSchedules(ctx, seedList(firstSeed, schedules), parallel, options, totals.add)
	fmt.Printf("%d schedules in %v on %d processors, %d at once; lease %v\n", schedules, time.Since(began).Round(time.Second), runtime.NumCPU(), parallel, scheduleLease)
	totals.print()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	flapped, longest, err := cluster.MeasureFlapping(ctx, b.binary, b.dir, 60)
	if err != nil {
		return err
	}
	fmt.Printf("\nlease holder isolated for half of each second for a minute, lease 2s: %d posts, %d fencing tokens, longest time without an accepted post %v; accepted out of order %d, begun after the lease ended %d\n",
		flapped.Posts, flapped.Tokens, longest.Round(time.Millisecond), flapped.StaleAccepted, flapped.AfterLease)
	if err := checkAudit(ctx, b, faultBinary); err != nil {
		return err
	}
	if totals.failed > 0 {
		return fmt.Errorf("%d schedules had violations", totals.failed)
	}
	return nil
}

// checkAudit runs schedules with one safeguard disabled at a time and returns an error if the audit finds no violation.
func checkAudit(ctx context.Context, b *build, faultBinary string) error {
	const auditSeeds = 5
	safeguards := []struct {
		disabled  string
		fault     cluster.Fault
		binary    string
		acceptAll bool
	}{
		{"the receiver accepts every token", cluster.DelayPost, b.binary, true},
		{"a lease holder continues after its lease has ended", cluster.FreezeLong, faultBinary, false},
	}
	for _, safeguard := range safeguards {
		audit := cluster.AuditResult{}
		options := cluster.ScheduleOptions{Binary: safeguard.binary, Dir: b.dir, Lease: scheduleLease, AcceptAll: safeguard.acceptAll}
		for seed := range uint64(auditSeeds) {
			schedule := cluster.Schedule{Seed: seed, Nodes: 3, Faults: []cluster.Fault{safeguard.fault, safeguard.fault}}
			result := cluster.RunSchedule(ctx, schedule, options)
			if result.Err != nil {
				return result.Err
			}
			audit.Add(result.AuditResult)
		}
		fmt.Printf("\nsafeguard disabled: %s (%d schedules): accepted out of order %d, begun after the lease ended %d\n  %s\n", safeguard.disabled, auditSeeds, audit.StaleAccepted, audit.AfterLease, audit.FirstViolation)
		if !audit.Violated() {
			return fmt.Errorf("the audit found no violation with a safeguard disabled: %s", safeguard.disabled)
		}
	}
	return nil
}

// runBudgetSchedules runs seeded schedules with disruption budgets that the quorum enforces, and then a few without, in which the
// observer must find violations. play runs schedules, calls each with every result, and returns a summary and the number of observations
// with more unavailable gateways than the budget allows.
func runBudgetSchedules(seeds, parallel int, firstSeed uint64, play func(ctx context.Context, scheduleSeeds []uint64, options cluster.DrainOptions, each func(result fmt.Stringer, failed bool)) (summary string, overBudget int)) error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	printMachine()
	for _, ignoreBudget := range []bool{false, true} {
		count := min(seeds, maxSchedules)
		if ignoreBudget {
			count = min(count, 10)
		}
		scheduleSeeds := seedList(firstSeed, count)
		began, failed := time.Now(), 0
		summary, overBudget := play(ctx, scheduleSeeds, cluster.DrainOptions{Binary: b.binary, Dir: b.dir, Lease: 600 * time.Millisecond, IgnoreBudget: ignoreBudget}, func(result fmt.Stringer, violated bool) {
			if violated {
				if failed++; failed <= 5 || !ignoreBudget {
					fmt.Println(result)
				}
			}
		})
		fmt.Printf("budgets kept by %s: %d schedules in %v, %d at once; schedules with violations %d\n  %s\n", map[bool]string{false: "the quorum", true: "each requester alone, or not at all"}[ignoreBudget], count,
			time.Since(began).Round(time.Second), parallel, failed, summary)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case !ignoreBudget && failed > 0:
			return fmt.Errorf("%d schedules had violations", failed)
		case ignoreBudget && overBudget == 0:
			return fmt.Errorf("the observer found no violation without budgets enforced by the quorum")
		}
	}
	return nil
}

// measureReleases runs seeded schedules of releases and drains amid faults.
func measureReleases(seeds, parallel int, firstSeed uint64) error {
	return runBudgetSchedules(seeds, parallel, firstSeed, func(ctx context.Context, scheduleSeeds []uint64, options cluster.DrainOptions, each func(fmt.Stringer, bool)) (string, int) {
		total := cluster.ReleaseResult{}
		cluster.RunReleaseSchedules(ctx, scheduleSeeds, parallel, options, func(result cluster.ReleaseResult) {
			each(&result, result.Violated())
			total.Add(&result.DrainResult)
			total.Releases, total.Done, total.RolledBack, total.Starts, total.RepeatedStarts = total.Releases+result.Releases, total.Done+result.Done, total.RolledBack+result.RolledBack, total.Starts+result.Starts, total.RepeatedStarts+result.RepeatedStarts
		})
		return fmt.Sprintf("%s\n  releases %d, done %d, rolled back %d; starts of versions %d, repeated %d", total.Summary(), total.Releases, total.Done, total.RolledBack, total.Starts, total.RepeatedStarts), total.OverBudget
	})
}

// measureDrains runs seeded schedules of drains amid faults.
func measureDrains(seeds, parallel int, firstSeed uint64) error {
	return runBudgetSchedules(seeds, parallel, firstSeed, func(ctx context.Context, scheduleSeeds []uint64, options cluster.DrainOptions, each func(fmt.Stringer, bool)) (string, int) {
		total := cluster.DrainResult{}
		cluster.RunDrainSchedules(ctx, scheduleSeeds, parallel, options, func(result cluster.DrainResult) {
			each(&result, result.Violated())
			total.Add(&result)
		})
		return total.Summary(), total.OverBudget
	})
}
