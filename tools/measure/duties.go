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

// dutiesLease is the length of the leases under faults.
const dutiesLease = 600 * time.Millisecond

// seedList returns consecutive seeds.
func seedList(first uint64, count int) []uint64 {
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// dutiesSum adds up the verdicts of schedules.
type dutiesSum struct {
	finding    cluster.AuditResult
	broken     int // schedules
	operations int // on leases
	unlinear   int // schedules whose history is not linearizable
	undecided  int // schedules whose history was not decided in time
	gaps       map[cluster.Fault][]time.Duration
}

// add adds a verdict and prints it if something broke or nothing acted for long.
func (s *dutiesSum) add(v cluster.ScheduleResult) {
	if v.Violated() {
		s.broken++
		fmt.Println(&v)
	}
	s.finding.Add(v.AuditResult)
	s.operations += v.Operations
	for fault, gaps := range v.Gaps {
		s.gaps[fault] = append(s.gaps[fault], gaps...)
		if longest := slices.Max(gaps); longest > 10*dutiesLease {
			fmt.Printf("seed %d: %v without an act: %s, of %v\n", v.Seed, longest, fault, v.Faults)
		}
	}
	if v.NotLinearizable {
		s.unlinear++
	}
	if v.Undecided {
		s.undecided++
	}
}

func (s *dutiesSum) print() {
	fmt.Printf("acts %d, holders %d, refused by their token %d\n", s.finding.Acts, s.finding.Tokens, s.finding.Rejected)
	fmt.Printf("accepted out of order %d, two under one token %d, begun beyond the lease %d\n", s.finding.StaleAccepted, s.finding.SharedTokens, s.finding.AfterLease)
	fmt.Printf("lease operations %d, histories not linearizable %d, not decided in time %d\n", s.operations, s.unlinear, s.undecided)
	fmt.Printf("schedules with something broken %d\n\n", s.broken)
	fmt.Println("without an act, over leases: n, p50, p99, max")
	for _, fault := range cluster.Faults {
		gaps := s.gaps[fault]
		if len(gaps) == 0 {
			continue
		}
		slices.Sort(gaps)
		quantile := func(q float64) float64 {
			index := min(int(q*float64(len(gaps))), len(gaps)-1)
			return gaps[index].Seconds() / dutiesLease.Seconds()
		}
		fmt.Printf("%-70s %4d %6.2f %6.2f %6.2f\n", fault, len(gaps), quantile(0.5), quantile(0.99), quantile(1))
	}
}

// duties plays seeded schedules of faults against fleets of the built program, and then a few with each safeguard off, which the
// audit has to find.
func duties(schedules, parallel int, firstSeed uint64, previous string) error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	withFault, err := cluster.Build(ctx, b.dir, "faultinjection")
	if err != nil {
		return err
	}
	began := time.Now()
	schedules = min(schedules, maxSchedules)
	sum := &dutiesSum{gaps: map[cluster.Fault][]time.Duration{}}
	options := cluster.PlayOptions{Binary: b.binary, Dir: b.dir, Lease: dutiesLease, History: true, PreviousBinary: previous}
	cluster.RunSchedules(ctx, seedList(firstSeed, schedules), parallel, options, sum.add)
	fmt.Printf("%d schedules in %v on %d processors, %d at once; lease %v\n", schedules, time.Since(began).Round(time.Second), runtime.NumCPU(), parallel, dutiesLease)
	sum.print()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	flapped, longest, err := cluster.MeasureFlapping(ctx, b.binary, b.dir, 60)
	if err != nil {
		return err
	}
	fmt.Printf("\nthe holder cut off for half of each second for a minute, lease 2s: %d acts, %d holders, longest without one %v; out of order %d, beyond the lease %d\n",
		flapped.Acts, flapped.Tokens, longest.Round(time.Millisecond), flapped.StaleAccepted, flapped.AfterLease)
	if err := checkAudit(ctx, b, withFault); err != nil {
		return err
	}
	if sum.broken > 0 {
		return fmt.Errorf("%d schedules broke something", sum.broken)
	}
	return nil
}

// checkAudit plays schedules with a safeguard off each; an audit that finds nothing in them is an error.
func checkAudit(ctx context.Context, b *build, withFault string) error {
	const auditSeeds = 5
	safeguards := []struct {
		off      string
		fault    cluster.Fault
		binary   string
		unfenced bool
	}{
		{"the receiver takes every token", cluster.DelayAct, b.binary, true},
		{"a holder goes on when its lease is over", cluster.FreezeLong, withFault, false},
	}
	for _, s := range safeguards {
		found := cluster.AuditResult{}
		options := cluster.PlayOptions{Binary: s.binary, Dir: b.dir, Lease: dutiesLease, AcceptAll: s.unfenced}
		for seed := range uint64(auditSeeds) {
			schedule := cluster.Schedule{Seed: seed, Nodes: 3, Faults: []cluster.Fault{s.fault, s.fault}}
			verdict := cluster.Play(ctx, schedule, options)
			if verdict.Err != nil {
				return verdict.Err
			}
			found.Add(verdict.AuditResult)
		}
		fmt.Printf("\nsafeguard off, %s (%d schedules): accepted out of order %d, begun beyond the lease %d\n  %s\n", s.off, auditSeeds, found.StaleAccepted, found.AfterLease, found.FirstViolation)
		if !found.Violated() {
			return fmt.Errorf("with a safeguard off (%s) nothing was found: the audit is blind", s.off)
		}
	}
	return nil
}

// campaigns plays seeded schedules within budgets that the quorum enforces, and some without, in which the observer has to find
// something. play returns a summary and the number of observations at which more gateways were out than the budget allows.
func campaigns(seeds, at int, first uint64, play func(ctx context.Context, list []uint64, opt cluster.DrainOptions, each func(v fmt.Stringer, broken bool)) (sum string, over int)) error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	printMachine()
	for _, apart := range []bool{false, true} {
		n := min(seeds, maxSchedules)
		if apart {
			n = min(n, 10)
		}
		list := seedList(first, n)
		began, broken := time.Now(), 0
		sum, over := play(ctx, list, cluster.DrainOptions{Binary: b.binary, Dir: b.dir, Lease: 600 * time.Millisecond, IgnoreBudget: apart}, func(v fmt.Stringer, bad bool) {
			if bad {
				if broken++; broken <= 5 || !apart {
					fmt.Println(v)
				}
			}
		})
		fmt.Printf("budgets kept by %s: %d schedules in %v, %d at once; schedules broken %d\n  %s\n", map[bool]string{false: "the quorum", true: "each asker alone, or nobody"}[apart], n,
			time.Since(began).Round(time.Second), at, broken, sum)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case !apart && broken > 0:
			return fmt.Errorf("%d schedules broke something", broken)
		case apart && over == 0:
			return fmt.Errorf("without the quorum's budgets nothing was found: the observer is blind")
		}
	}
	return nil
}

// releases plays seeded schedules of releases amid faults.
func releases(seeds, at int, first uint64) error {
	return campaigns(seeds, at, first, func(ctx context.Context, list []uint64, opt cluster.DrainOptions, each func(fmt.Stringer, bool)) (string, int) {
		sum := cluster.ReleaseResult{}
		cluster.RunReleaseSchedules(ctx, list, at, opt, func(v cluster.ReleaseResult) {
			each(&v, v.Violated())
			sum.Add(&v.DrainResult)
			sum.Releases, sum.Done, sum.RolledBack, sum.Starts, sum.RepeatedStarts = sum.Releases+v.Releases, sum.Done+v.Done, sum.RolledBack+v.RolledBack, sum.Starts+v.Starts, sum.RepeatedStarts+v.RepeatedStarts
		})
		return fmt.Sprintf("%s\n  releases %d, done %d, back %d; starts of versions %d, %d twice", sum.Summary(), sum.Releases, sum.Done, sum.RolledBack, sum.Starts, sum.RepeatedStarts), sum.OverBudget
	})
}

// drains plays seeded schedules of drains amid faults.
func drains(seeds, at int, first uint64) error {
	return campaigns(seeds, at, first, func(ctx context.Context, list []uint64, opt cluster.DrainOptions, each func(fmt.Stringer, bool)) (string, int) {
		sum := cluster.DrainResult{}
		cluster.RunDrainSchedules(ctx, list, at, opt, func(v cluster.DrainResult) {
			each(&v, v.Violated())
			sum.Add(&v)
		})
		return sum.Summary(), sum.OverBudget
	})
}
