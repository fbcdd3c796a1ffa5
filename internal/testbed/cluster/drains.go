package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"robindrum/internal/drain"
)

// DrainOptions are how schedules of drains are played.
type DrainOptions struct {
	Binary, Dir string
	Lease       time.Duration
	// IgnoreBudget has each asker keep the budget by itself, by what it has asked for: what is to be broken then.
	IgnoreBudget bool
	Steps        int // of a schedule of releases; 0: 16
}

// DrainResult is what came of one schedule.
type DrainResult struct {
	Seed               uint64
	Requested, Granted int
	MaxUnavailable     int // gateways that orders kept out at once, as an outside observer saw them
	OverBudget         int // looks at which more were out by order than may be
	LateRequests       int // requests to a drained endpoint later than a second
	Requests           int64
	Failed             int64
	Observations       int
	FirstViolation     string
	Err                error
}

// Violated tells whether a promise was broken.
func (v *DrainResult) Violated() bool {
	return v.OverBudget+v.LateRequests > 0 || v.Failed > 0 || v.Err != nil
}

func (v *DrainResult) String() string {
	s := fmt.Sprintf("seed %d: %d orders, %d granted; most out by order %d of 2, over the budget at %d of %d looks; %d requests, %d failed, %d late to a drained endpoint",
		v.Seed, v.Requested, v.Granted, v.MaxUnavailable, v.OverBudget, v.Observations, v.Requests, v.Failed, v.LateRequests)
	if v.FirstViolation != "" {
		s += "\n  " + v.FirstViolation
	}
	if v.Err != nil {
		s += fmt.Sprintf("\n  %v", v.Err)
	}
	return s
}

// Add adds another verdict's numbers, Sum says them.
func (v *DrainResult) Add(o *DrainResult) {
	v.Requested, v.Granted, v.OverBudget, v.LateRequests, v.Observations = v.Requested+o.Requested, v.Granted+o.Granted, v.OverBudget+o.OverBudget, v.LateRequests+o.LateRequests, v.Observations+o.Observations
	v.Requests, v.Failed, v.MaxUnavailable = v.Requests+o.Requests, v.Failed+o.Failed, max(v.MaxUnavailable, o.MaxUnavailable)
}

// Summary says the numbers of several.
func (v *DrainResult) Summary() string {
	return fmt.Sprintf("orders by hand %d, slots granted %d; most out %d (%d may be), over the budget at %d of %d looks; requests %d, failed %d; late to a drained endpoint %d",
		v.Requested, v.Granted, v.MaxUnavailable, drainBudget, v.OverBudget, v.Observations, v.Requests, v.Failed, v.LateRequests)
}

// Numbers of a schedule of drains.
const (
	drainGateways = 5
	drainBudget   = 2
	drainSteps    = 12
)

// PlayDrains plays one: askers at five gateways under load, who drain and undrain by chance, while processes are killed, frozen and
// cut off; an observer asks every process each 100 ms what keeps it out.
func PlayDrains(ctx context.Context, seed uint64, opt DrainOptions) (v DrainResult) {
	v.Seed = seed
	budgets := fmt.Sprintf("[{name: g, most: %d}, {name: e, cluster: \"*\", most: 1}]", drainBudget)
	if opt.IgnoreBudget {
		budgets = "[{name: g, most: 99}, {name: e, cluster: \"*\", most: 99}]"
	}
	s, err := NewSite(ctx, SiteOptions{Binary: opt.Binary, Dir: opt.Dir, Gateways: drainGateways, Lease: opt.Lease, Budgets: budgets, Seed: seed})
	if err != nil {
		v.Err = err
		return v
	}
	defer s.Close()
	rng := rand.New(rand.NewPCG(seed, 0xd4a1))
	load := s.StartLoad(20)
	defer load.Stop()
	stop := s.Watch(&v, drainBudget)
	defer func() { stop() }()

	type asked struct {
		id    string
		by    int
		drain drain.Target
	}
	var open []asked
	own := map[int]int{} // by asker, of gateways
	var drainedAt time.Time
	drained := -1
	for step := range drainSteps {
		by := rng.IntN(drainGateways)
		n := s.Nodes[by]
		switch k := rng.IntN(10); {
		case k < 5 && n.Up(): // a drain
			t := drain.Target{Gateway: s.Nodes[rng.IntN(drainGateways)].Name}
			origin := -1
			if rng.IntN(4) == 0 && drained < 0 {
				origin = rng.IntN(len(s.Origins))
				t = drain.Target{Cluster: "c", Endpoint: s.Origins[origin].Addr}
			}
			if opt.IgnoreBudget && t.Gateway != "" {
				if own[by] >= drainBudget {
					break
				}
				own[by]++
			}
			o, err := n.SendDrain("drain", drain.Request{ID: fmt.Sprint(seed, "-", step), Target: t, Owner: n.Name, Grace: time.Second, Notice: 250 * time.Millisecond})
			if v.Requested++; err != nil || o.State == drain.Rejected {
				break
			}
			open = append(open, asked{o.ID, by, t})
			if origin >= 0 {
				if Await(ctx, "an endpoint to be out", 5*time.Second, func() bool { m, _ := n.DrainRequests(); return m[o.ID].State == drain.Drained }) == nil {
					drained, drainedAt = origin, time.Now()
				}
			}
		case k < 7 && len(open) > 0: // a way back
			i := rng.IntN(len(open))
			o := open[i]
			if n.Up() {
				until := time.Now() // it may be told of before this asker is
				if _, err := n.SendDrain("undrain", drain.Request{ID: o.id}); err == nil {
					open = append(open[:i], open[i+1:]...)
					if o.drain.Gateway != "" {
						own[o.by]--
					} else if drained >= 0 {
						v.LateRequests += s.Origins[drained].Between(drainedAt.Add(time.Second), until)
						drained = -1
					}
				}
			}
		case k == 7:
			n.Kill()
			_ = sleep(ctx, opt.Lease/2)
			if v.Err = n.Start(); v.Err != nil {
				return v
			}
		case k == 8 && n.Up():
			n.Freeze()
			_ = sleep(ctx, opt.Lease)
			n.Thaw()
		default:
			s.Isolate(n, LinkState{Partitioned: true})
			_ = sleep(ctx, opt.Lease)
			s.Heal()
		}
		_ = sleep(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
	}
	if drained >= 0 {
		v.LateRequests += s.Origins[drained].Between(drainedAt.Add(time.Second), time.Now())
	}
	// All back: everything can be undone, by anyone.
	for _, o := range open {
		if err := Await(ctx, "an order to be cancelled", recoveryTimeout, func() bool { _, err := s.Nodes[0].SendDrain("undrain", drain.Request{ID: o.id}); return err == nil }); err != nil {
			v.Err = err
			return v
		}
	}
	v.Err = Await(ctx, "every gateway to be back", recoveryTimeout, func() bool {
		for _, n := range s.Nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	if m, err := s.Nodes[0].DrainRequests(); err == nil {
		for _, o := range m {
			if o.Token > 0 {
				v.Granted++
			}
		}
	}
	stop()
	if why := load.Stop(); why != "" && v.FirstViolation == "" {
		v.FirstViolation = why
	}
	v.Requests, v.Failed = load.Requests.Load(), load.Failed.Load()
	return v
}

// Watch observes until what it gives is called.
func (s *Site) Watch(v *DrainResult, most int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { s.observe(ctx, v, most) })
	return func() { cancel(); work.Wait() }
}

// observe counts, from outside, how many gateways are out by planned means: those that say that an order keeps them out, and under
// supervisors those that do not answer though nobody has killed or frozen them, as they start anew.
func (s *Site) observe(ctx context.Context, v *DrainResult, most int) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		out := map[string]string{}
		for _, n := range s.Nodes {
			if !n.Up() {
				continue
			}
			all.Go(func() {
				epoch := n.Epoch()
				st, err := n.Status()
				if err != nil && len(s.opt.Versions) > 0 && n.Up() && n.Epoch() == epoch {
					st.DrainID = err.Error()
				} else if err != nil {
					return
				}
				if st.DrainID != "" {
					mu.Lock()
					out[n.Name] = st.DrainID
					mu.Unlock()
				}
			})
		}
		all.Wait()
		v.Observations++
		v.MaxUnavailable = max(v.MaxUnavailable, len(out))
		if len(out) > most {
			if v.OverBudget++; v.FirstViolation == "" {
				v.FirstViolation = fmt.Sprintf("%d gateways are out by order: %v", len(out), out)
			}
		}
	}
}

// RunDrainSchedules plays schedules, so many at once, and tells of each as it ends.
func RunDrainSchedules(ctx context.Context, seeds []uint64, at int, opt DrainOptions, each func(DrainResult)) {
	runSeeds(ctx, seeds, at, func(seed uint64) DrainResult { return PlayDrains(ctx, seed, opt) }, each)
}

// runSeeds plays seeds, so many at once.
func runSeeds[V any](ctx context.Context, seeds []uint64, at int, play func(seed uint64) V, each func(V)) {
	next := make(chan uint64)
	var work sync.WaitGroup
	var mu sync.Mutex
	for range at {
		work.Go(func() {
			for seed := range next {
				v := play(seed)
				mu.Lock()
				each(v)
				mu.Unlock()
			}
		})
	}
	for _, s := range seeds {
		select {
		case next <- s:
		case <-ctx.Done():
		}
	}
	close(next)
	work.Wait()
}
