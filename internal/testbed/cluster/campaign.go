package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Fault is one thing that a schedule does to a fleet.
type Fault string

// The faults there are. A holder is who holds the audited duty, a leader who leads the quorum.
const (
	KillHolder    Fault = "holder killed"
	FreezeShort   Fault = "holder frozen for less than its lease"
	FreezeLong    Fault = "holder frozen for longer than its lease, in the middle of an act"
	CutHolder     Fault = "holder cut off from all voters, not from the receiver"
	CutOut        Fault = "holder cut off one way, what it sends"
	CutIn         Fault = "holder cut off one way, what it gets"
	CutOneVoter   Fault = "holder cut off from one voter"
	SlowHolder    Fault = "holder so slow that a renewal takes most of its lease"
	LateAct       Fault = "holder's act held on its way until another one has the duty"
	KillLeader    Fault = "leader killed"
	FreezeLeader  Fault = "leader frozen"
	CutLeader     Fault = "leader cut off"
	LoseMajority  Fault = "a majority of voters killed"
	KillAllVoters Fault = "all voters killed at once"
	EmptyVoter    Fault = "a voter comes back with an empty folder"
	Lossy         Fault = "all ways lose, double and hold back"
	Split         Fault = "the fleet split in two"
	Flap          Fault = "a member cut off and back, again and again"
)

// Faults are all, in order.
var Faults = []Fault{KillHolder, FreezeShort, FreezeLong, CutHolder, CutOut, CutIn, CutOneVoter, SlowHolder, LateAct, KillLeader, FreezeLeader, CutLeader,
	LoseMajority, KillAllVoters, EmptyVoter, Lossy, Split, Flap}

// Schedule is what a seed draws.
type Schedule struct {
	Seed   uint64
	Nodes  int
	Faults []Fault
}

// Draw gives a seed's schedule: three to seven processes, four faults.
func Draw(seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c6ed))
	s := Schedule{Seed: seed, Nodes: 3 + rng.IntN(5)}
	for range 4 {
		s.Faults = append(s.Faults, Faults[rng.IntN(len(Faults))])
	}
	return s
}

// PlayOptions are how schedules are played.
type PlayOptions struct {
	Binary   string
	Dir      string
	Unfenced bool // the receiver takes all
	Lease    time.Duration
	Previous string // another program, which the first process runs: an earlier version; empty: none does
	History  bool   // clients ask for a lease of their own, and what they were told is checked
}

// Verdict is what came of one schedule.
type Verdict struct {
	Schedule
	Finding
	// Gaps are how long the receiver was without an act it took, by fault, over what lies between two acts.
	Gaps map[Fault][]time.Duration
	// Unlinear: the history of lease operations has no order that explains it; Undecided: the check did not end in time.
	Unlinear, Undecided bool
	Operations          int
	Err                 error // the fleet did not come back within the time it has
}

// Broken tells whether a promise was broken.
func (v *Verdict) Broken() bool { return v.Finding.Broken() || v.Unlinear || v.Err != nil }

func (v *Verdict) String() string {
	s := fmt.Sprintf("seed %d: %d processes, %d acts, %d holders, %d refused; accepted out of order %d, two under a token %d, begun beyond the lease %d",
		v.Seed, v.Nodes, v.Acts, v.Holders, v.Refused, v.Disorder, v.Two, v.Beyond)
	if v.Operations > 0 {
		s += fmt.Sprintf("; %d operations, linearizable %v", v.Operations, !v.Unlinear)
	}
	if v.Undecided {
		s += " (not decided in time)"
	}
	if v.First != "" {
		s += "\n  " + v.First
	}
	if v.Err != nil {
		s += fmt.Sprintf("\n  %v", v.Err)
	}
	return s
}

// back is how long a fleet may take until its duty runs again after all is healed. Danger for a verdict that is the same each
// time: the machine may be busy; what it takes is measured apart.
const back = 30 * time.Second

// play is one schedule under way.
type play struct {
	c   *Cluster
	a   *Auditor
	opt PlayOptions
	rng *rand.Rand
}

// Play plays one schedule.
func Play(ctx context.Context, s Schedule, opt PlayOptions) (v Verdict) {
	v = Verdict{Schedule: s, Gaps: map[Fault][]time.Duration{}}
	if opt.Lease == 0 {
		opt.Lease = 600 * time.Millisecond
	}
	dir, err := os.MkdirTemp(opt.Dir, fmt.Sprintf("seed-%d-", s.Seed))
	if err != nil {
		v.Err = err
		return v
	}
	defer func() { _ = os.RemoveAll(dir) }()
	a, err := NewAuditor("receiver")
	if err != nil {
		v.Err = err
		return v
	}
	defer a.Close()
	a.Unfenced = opt.Unfenced
	binaries := map[int]string{}
	if opt.Previous != "" {
		binaries[0] = opt.Previous
	}
	c, err := New(Options{Binary: opt.Binary, Binaries: binaries, Dir: dir, Nodes: s.Nodes, Lease: opt.Lease, Beat: opt.Lease / 6, Posts: map[string]*End{"audit": &a.End}, Seed: s.Seed})
	if err != nil {
		v.Err = err
		return v
	}
	defer c.Close()
	if err := c.Start(); err != nil {
		v.Err = err
		return v
	}
	p := &play{c: c, a: a, opt: opt, rng: rand.New(rand.NewPCG(s.Seed, 0x9e3))}
	if err := p.acts(ctx); err != nil {
		v.Err = fmt.Errorf("at the start: %w", err)
		return v
	}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	var all []*historyClient
	if opt.History {
		for k := range 3 {
			h, err := c.newClient(k, s.Seed)
			if err != nil {
				v.Err = err
				return v
			}
			all = append(all, h)
			clients.Go(func() { h.run(asking) })
		}
	}
	for i, f := range s.Faults {
		n := len(a.Acts())
		err := p.do(ctx, f)
		c.Heal()
		if err == nil {
			err = p.repair()
		}
		if err == nil {
			err = p.acts(ctx)
		}
		if err == nil {
			err = p.whole(ctx)
		}
		if err != nil {
			v.Err = fmt.Errorf("fault %d, %s: %w", i+1, f, err)
			break
		}
		v.Gaps[f] = append(v.Gaps[f], gap(a.Acts(), max(n-1, 0)))
	}
	stop()
	clients.Wait()
	v.Finding = Audit(a.Acts())
	var ops []asked
	for _, h := range all {
		ops = append(ops, h.ops...)
	}
	if len(ops) > 0 {
		v.Operations = len(ops)
		slices.SortFunc(ops, func(x, y asked) int { return int(x.call - y.call) })
		ok, decided := linearizable(ops, 20*time.Second)
		v.Unlinear, v.Undecided = !ok, !decided
	}
	return v
}

// gap is the longest time between two acts that were taken, from the last one before index on.
func gap(acts []Act, from int) (longest time.Duration) {
	last := time.Duration(0)
	for i, a := range acts {
		if !a.Accepted {
			continue
		}
		if i > from && last > 0 {
			longest = max(longest, a.At-last)
		}
		last = a.At
	}
	return longest
}

// acts waits until three more acts are taken.
func (p *play) acts(ctx context.Context) error {
	t := time.NewTimer(back)
	defer t.Stop()
	for range 3 {
		_, news := p.a.Last()
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			return fmt.Errorf("no act for %v", back)
		}
	}
	return nil
}

// handed waits until an act under a newer token is taken, or for so long.
func (p *play) handed(ctx context.Context, token uint64, within time.Duration) bool {
	t := time.NewTimer(within)
	defer t.Stop()
	for {
		a, news := p.a.Last()
		if a.Token > token {
			return true
		}
		select {
		case <-news:
		case <-ctx.Done():
			return false
		case <-t.C:
			return false
		}
	}
}

// repair starts what is down and thaws what is frozen.
func (p *play) repair() error {
	for _, n := range p.c.Nodes {
		if pr := n.Process(); pr != nil && pr.Running() {
			n.Thaw()
			continue
		}
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// whole waits until every voter votes: one with an empty folder does when the leader has taken it in, and until then the
// next fault would be one more than a majority stands.
func (p *play) whole(ctx context.Context) error {
	voters := p.c.Nodes[:p.c.opt.Voters]
	return Await(ctx, "all voters", back, func() bool {
		for _, n := range voters {
			s, err := n.Fleet()
			if err != nil || s.Vote == nil || s.Vote.Unassigned || len(s.Vote.Voters) != len(voters) || s.Vote.State != "leader" && s.Vote.State != "follower" || s.Vote.Leader == "" {
				return false
			}
		}
		return true
	})
}

// holder is who took the last act; leader who leads, or a voter by chance where nobody is known to.
func (p *play) holder() (*Node, uint64) {
	a, _ := p.a.Last()
	for _, n := range p.c.Nodes {
		if n.Name == a.Member {
			return n, a.Token
		}
	}
	return p.c.Nodes[0], a.Token
}

func (p *play) leader() *Node {
	if n := p.c.Leader(); n != nil {
		return n
	}
	return p.c.Nodes[p.rng.IntN(p.c.opt.Voters)]
}

// do causes a fault, and waits until it has had its effect.
func (p *play) do(ctx context.Context, f Fault) error {
	c, lease := p.c, p.opt.Lease
	h, token := p.holder()
	long := 4 * lease
	voters := c.Nodes[:c.opt.Voters]
	switch f {
	case KillHolder:
		h.Kill()
		p.handed(ctx, token, back)
	case FreezeShort:
		h.Freeze()
		_ = sleep(ctx, lease/3)
		h.Thaw()
	case FreezeLong:
		// In the middle of an act: right behind one that came.
		_, news := p.a.Last()
		select {
		case <-news:
		case <-time.After(lease):
		}
		h.Freeze()
		p.handed(ctx, token, long)
		h.Thaw()
		_ = sleep(ctx, lease/4) // it goes on
	case CutHolder:
		c.Alone(h, Way{Cut: true})
		p.handed(ctx, token, long)
		_ = sleep(ctx, lease/4)
	case CutOut, CutIn:
		for _, o := range c.Nodes {
			if f == CutOut {
				c.Set(h.Name, o.Name, Way{Cut: true})
			} else {
				c.Set(o.Name, h.Name, Way{Cut: true})
			}
		}
		p.handed(ctx, token, long)
	case CutOneVoter:
		c.Between(h.Name, voters[p.rng.IntN(len(voters))].Name, Way{Cut: true})
		_ = sleep(ctx, 2*lease)
	case SlowHolder:
		c.Alone(h, Way{Delay: lease * 2 / 5, Jitter: lease / 20}) // there and back: 0.8 to 0.9 of it
		_ = sleep(ctx, 3*lease)
	case LateAct:
		c.Set(h.Name, "receiver", Way{Cut: true})
		_ = sleep(ctx, lease/10) // acts are sent meanwhile, and held
		c.Alone(h, Way{Cut: true})
		p.handed(ctx, token, long)
		c.Set(h.Name, "receiver", Way{})
		_ = sleep(ctx, lease/4)
	case KillLeader:
		p.leader().Kill()
		_ = sleep(ctx, 2*lease)
	case FreezeLeader:
		n := p.leader()
		n.Freeze()
		_ = sleep(ctx, 3*lease)
	case CutLeader:
		c.Alone(p.leader(), Way{Cut: true})
		_ = sleep(ctx, 3*lease)
	case LoseMajority:
		for _, n := range voters[:len(voters)/2+1] {
			n.Kill()
		}
		_ = sleep(ctx, 2*lease)
	case KillAllVoters:
		for _, n := range voters {
			n.Kill()
		}
	case EmptyVoter:
		n := voters[p.rng.IntN(len(voters))]
		n.Kill()
		if err := os.RemoveAll(n.Votes()); err != nil {
			return err
		}
	case Lossy:
		for _, a := range c.Nodes {
			c.Alone(a, Way{Delay: lease / 100, Jitter: lease / 20, Loss: 0.1, Double: 0.2})
		}
		_ = sleep(ctx, 3*lease)
	case Split:
		for i, a := range c.Nodes {
			for j, b := range c.Nodes {
				if i%2 != j%2 {
					c.Set(a.Name, b.Name, Way{Cut: true})
				}
			}
		}
		_ = sleep(ctx, 3*lease)
	case Flap:
		n := c.Nodes[p.rng.IntN(len(c.Nodes))]
		for range 4 {
			c.Alone(n, Way{Cut: true})
			_ = sleep(ctx, lease/2)
			c.Alone(n, Way{})
			_ = sleep(ctx, lease/4)
		}
	default:
		return fmt.Errorf("no such fault: %q", f)
	}
	return ctx.Err()
}

// FlapForLong has a member cut off for half of each second, so many times, and gives the audit with the longest time without an act.
func FlapForLong(ctx context.Context, binary, dir string, times int) (f Finding, longest time.Duration, err error) {
	a, err := NewAuditor("receiver")
	if err != nil {
		return f, 0, err
	}
	defer a.Close()
	if dir, err = os.MkdirTemp(dir, "flap-"); err != nil {
		return f, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	const lease = 2 * time.Second
	c, err := New(Options{Binary: binary, Dir: dir, Nodes: 5, Lease: lease, Beat: lease / 6, Posts: map[string]*End{"audit": &a.End}})
	if err != nil {
		return f, 0, err
	}
	defer c.Close()
	if err := c.Start(); err != nil {
		return f, 0, err
	}
	p := &play{c: c, a: a, opt: PlayOptions{Lease: lease}}
	if err := p.acts(ctx); err != nil {
		return f, 0, err
	}
	from := len(a.Acts())
	for range times {
		n, _ := p.holder()
		c.Alone(n, Way{Cut: true})
		_ = sleep(ctx, 500*time.Millisecond)
		c.Heal()
		_ = sleep(ctx, 500*time.Millisecond)
	}
	err = p.acts(ctx)
	return Audit(a.Acts()), gap(a.Acts(), from-1), err
}

// Campaign plays schedules, so many at once, and tells of each as it ends.
func Campaign(ctx context.Context, seeds []uint64, at int, opt PlayOptions, each func(Verdict)) {
	spread(ctx, seeds, at, func(seed uint64) Verdict { return Play(ctx, Draw(seed), opt) }, each)
}

// Folder makes a folder for a campaign's processes, on the file system of the working folder.
func Folder() (string, func(), error) {
	dir, err := os.MkdirTemp("", "robindrum-cluster-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// Build builds robindrum into a folder, with tags.
func Build(ctx context.Context, dir string, tags ...string) (string, error) {
	return build(ctx, filepath.Join(dir, "robindrum"+tagged(tags)), tags)
}
