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
	// Apart has each asker keep the budget by itself, by what it has asked for: what is to be broken then.
	Apart bool
	Steps int // of a schedule of releases; 0: 16
}

// DrainVerdict is what came of one schedule.
type DrainVerdict struct {
	Seed           uint64
	Asked, Granted int
	MaxUnavailable int // gateways that orders kept out at once, as an outside observer saw them
	Over           int // looks at which more were out by order than may be
	Late           int // requests to a drained endpoint later than a second
	Requests       int64
	Failed         int64
	Looks          int
	First          string
	Err            error
}

// Broken tells whether a promise was broken.
func (v *DrainVerdict) Broken() bool { return v.Over+v.Late > 0 || v.Failed > 0 || v.Err != nil }

func (v *DrainVerdict) String() string {
	s := fmt.Sprintf("seed %d: %d orders, %d granted; most out by order %d of 2, over the budget at %d of %d looks; %d requests, %d failed, %d late to a drained endpoint",
		v.Seed, v.Asked, v.Granted, v.MaxUnavailable, v.Over, v.Looks, v.Requests, v.Failed, v.Late)
	if v.First != "" {
		s += "\n  " + v.First
	}
	if v.Err != nil {
		s += fmt.Sprintf("\n  %v", v.Err)
	}
	return s
}

// Add adds another verdict's numbers, Sum says them.
func (v *DrainVerdict) Add(o *DrainVerdict) {
	v.Asked, v.Granted, v.Over, v.Late, v.Looks = v.Asked+o.Asked, v.Granted+o.Granted, v.Over+o.Over, v.Late+o.Late, v.Looks+o.Looks
	v.Requests, v.Failed, v.MaxUnavailable = v.Requests+o.Requests, v.Failed+o.Failed, max(v.MaxUnavailable, o.MaxUnavailable)
}

// Sum says the numbers of several.
func (v *DrainVerdict) Sum() string {
	return fmt.Sprintf("orders by hand %d, slots granted %d; most out %d (%d may be), over the budget at %d of %d looks; requests %d, failed %d; late to a drained endpoint %d",
		v.Asked, v.Granted, v.MaxUnavailable, drainBudget, v.Over, v.Looks, v.Requests, v.Failed, v.Late)
}

// Numbers of a schedule of drains.
const (
	drainGateways = 5
	drainBudget   = 2
	drainSteps    = 12
)

// PlayDrains plays one: askers at five gateways under load, who drain and undrain by chance, while processes are killed, frozen and
// cut off; an observer asks every process each 100 ms what keeps it out.
func PlayDrains(ctx context.Context, seed uint64, opt DrainOptions) (v DrainVerdict) {
	v.Seed = seed
	budgets := fmt.Sprintf("[{name: g, most: %d}, {name: e, cluster: \"*\", most: 1}]", drainBudget)
	if opt.Apart {
		budgets = "[{name: g, most: 99}, {name: e, cluster: \"*\", most: 99}]"
	}
	s, err := NewSite(ctx, SiteOptions{Binary: opt.Binary, Dir: opt.Dir, Gateways: drainGateways, Lease: opt.Lease, Budgets: budgets, Seed: seed})
	if err != nil {
		v.Err = err
		return v
	}
	defer s.Close()
	rng := rand.New(rand.NewPCG(seed, 0xd4a1))
	load := s.Load(20)
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
			if opt.Apart && t.Gateway != "" {
				if own[by] >= drainBudget {
					break
				}
				own[by]++
			}
			o, err := n.Order("drain", drain.Request{ID: fmt.Sprint(seed, "-", step), Target: t, Owner: n.Name, Grace: time.Second, Notice: 250 * time.Millisecond})
			if v.Asked++; err != nil || o.State == drain.Rejected {
				break
			}
			open = append(open, asked{o.ID, by, t})
			if origin >= 0 {
				if Await(ctx, "an endpoint to be out", 5*time.Second, func() bool { m, _ := n.Orders(); return m[o.ID].State == drain.Drained }) == nil {
					drained, drainedAt = origin, time.Now()
				}
			}
		case k < 7 && len(open) > 0: // a way back
			i := rng.IntN(len(open))
			o := open[i]
			if n.Up() {
				until := time.Now() // it may be told of before this asker is
				if _, err := n.Order("undrain", drain.Request{ID: o.id}); err == nil {
					open = append(open[:i], open[i+1:]...)
					if o.drain.Gateway != "" {
						own[o.by]--
					} else if drained >= 0 {
						v.Late += s.Origins[drained].Between(drainedAt.Add(time.Second), until)
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
			s.Alone(n, Way{Cut: true})
			_ = sleep(ctx, opt.Lease)
			s.Heal()
		}
		_ = sleep(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
	}
	if drained >= 0 {
		v.Late += s.Origins[drained].Between(drainedAt.Add(time.Second), time.Now())
	}
	// All back: everything can be undone, by anyone.
	for _, o := range open {
		if err := Await(ctx, "an order to be cancelled", back, func() bool { _, err := s.Nodes[0].Order("undrain", drain.Request{ID: o.id}); return err == nil }); err != nil {
			v.Err = err
			return v
		}
	}
	v.Err = Await(ctx, "every gateway to be back", back, func() bool {
		for _, n := range s.Nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	if m, err := s.Nodes[0].Orders(); err == nil {
		for _, o := range m {
			if o.Token > 0 {
				v.Granted++
			}
		}
	}
	stop()
	if why := load.Stop(); why != "" && v.First == "" {
		v.First = why
	}
	v.Requests, v.Failed = load.Asked.Load(), load.Failed.Load()
	return v
}

// Watch observes until what it gives is called.
func (s *Site) Watch(v *DrainVerdict, most int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { s.observe(ctx, v, most) })
	return func() { cancel(); work.Wait() }
}

// observe counts, from outside, how many gateways are out by planned means: those that say that an order keeps them out, and under
// supervisors those that do not answer though nobody has killed or frozen them, as they start anew.
func (s *Site) observe(ctx context.Context, v *DrainVerdict, most int) {
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
		v.Looks++
		v.MaxUnavailable = max(v.MaxUnavailable, len(out))
		if len(out) > most {
			if v.Over++; v.First == "" {
				v.First = fmt.Sprintf("%d gateways are out by order: %v", len(out), out)
			}
		}
	}
}

// CampaignDrains plays schedules, so many at once, and tells of each as it ends.
func CampaignDrains(ctx context.Context, seeds []uint64, at int, opt DrainOptions, each func(DrainVerdict)) {
	spread(ctx, seeds, at, func(seed uint64) DrainVerdict { return PlayDrains(ctx, seed, opt) }, each)
}

// spread plays seeds, so many at once.
func spread[V any](ctx context.Context, seeds []uint64, at int, play func(seed uint64) V, each func(V)) {
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
