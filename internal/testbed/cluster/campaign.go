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

// Faults are all, in order.
var Faults = []Fault{KillHolder, FreezeShort, FreezeLong, PartitionHolder, PartitionHolderOutbound, PartitionHolderInbound, PartitionHolderFromVoter, DelayHolder, DelayAct, KillLeader, FreezeLeader, PartitionLeader,
	KillMajority, KillAllVoters, EraseVoter, DegradeNetwork, SplitFleet, FlapMember}

// Schedule is what a seed draws.
type Schedule struct {
	Seed   uint64
	Nodes  int
	Faults []Fault
}

// DrawSchedule gives a seed's schedule: three to seven processes, four faults.
func DrawSchedule(seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c6ed))
	s := Schedule{Seed: seed, Nodes: 3 + rng.IntN(5)}
	for range 4 {
		s.Faults = append(s.Faults, Faults[rng.IntN(len(Faults))])
	}
	return s
}

// PlayOptions are how schedules are played.
type PlayOptions struct {
	Binary         string
	Dir            string
	AcceptAll      bool // the receiver takes all
	Lease          time.Duration
	PreviousBinary string // another program, which the first process runs: an earlier version; empty: none does
	History        bool   // clients ask for a lease of their own, and what they were told is checked
}

// ScheduleResult is what came of one schedule.
type ScheduleResult struct {
	Schedule
	AuditResult
	// Gaps are how long the receiver was without an act it took, by fault, over what lies between two acts.
	Gaps map[Fault][]time.Duration
	// NotLinearizable: the history of lease operations has no order that explains it; Undecided: the check did not end in time.
	NotLinearizable, Undecided bool
	Operations                 int
	Err                        error // the fleet did not come back within the time it has
}

// Violated tells whether a promise was broken.
func (v *ScheduleResult) Violated() bool {
	return v.AuditResult.Violated() || v.NotLinearizable || v.Err != nil
}

func (v *ScheduleResult) String() string {
	s := fmt.Sprintf("seed %d: %d processes, %d acts, %d holders, %d refused; accepted out of order %d, two under a token %d, begun beyond the lease %d",
		v.Seed, v.Nodes, v.Acts, v.Tokens, v.Rejected, v.StaleAccepted, v.SharedTokens, v.AfterLease)
	if v.Operations > 0 {
		s += fmt.Sprintf("; %d operations, linearizable %v", v.Operations, !v.NotLinearizable)
	}
	if v.Undecided {
		s += " (not decided in time)"
	}
	if v.FirstViolation != "" {
		s += "\n  " + v.FirstViolation
	}
	if v.Err != nil {
		s += fmt.Sprintf("\n  %v", v.Err)
	}
	return s
}

// recoveryTimeout is how long a fleet may take until its duty runs again after all is healed. Danger for a verdict that is the same each
// time: the machine may be busy; what it takes is measured apart.
const recoveryTimeout = 30 * time.Second

// scheduleRun is one schedule under way.
type scheduleRun struct {
	cluster *Cluster
	auditor *Auditor
	opt     PlayOptions
	rng     *rand.Rand
}

// Play plays one schedule.
func Play(ctx context.Context, s Schedule, opt PlayOptions) (v ScheduleResult) {
	v = ScheduleResult{Schedule: s, Gaps: map[Fault][]time.Duration{}}
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
	a.AcceptAll = opt.AcceptAll
	binaries := map[int]string{}
	if opt.PreviousBinary != "" {
		binaries[0] = opt.PreviousBinary
	}
	c, err := New(Options{Binary: opt.Binary, Binaries: binaries, Dir: dir, Nodes: s.Nodes, Lease: opt.Lease, Heartbeat: opt.Lease / 6, Posts: map[string]*ExternalService{"audit": &a.ExternalService}, Seed: s.Seed})
	if err != nil {
		v.Err = err
		return v
	}
	defer c.Close()
	if err := c.Start(); err != nil {
		v.Err = err
		return v
	}
	p := &scheduleRun{cluster: c, auditor: a, opt: opt, rng: rand.New(rand.NewPCG(s.Seed, 0x9e3))}
	if err := p.awaitActs(ctx); err != nil {
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
		err := p.inject(ctx, f)
		c.Heal()
		if err == nil {
			err = p.repair()
		}
		if err == nil {
			err = p.awaitActs(ctx)
		}
		if err == nil {
			err = p.awaitAllVoters(ctx)
		}
		if err != nil {
			v.Err = fmt.Errorf("fault %d, %s: %w", i+1, f, err)
			break
		}
		v.Gaps[f] = append(v.Gaps[f], longestGap(a.Acts(), max(n-1, 0)))
	}
	stop()
	clients.Wait()
	v.AuditResult = Audit(a.Acts())
	var ops []operation
	for _, h := range all {
		ops = append(ops, h.operations...)
	}
	if len(ops) > 0 {
		v.Operations = len(ops)
		slices.SortFunc(ops, func(x, y operation) int { return int(x.calledAt - y.calledAt) })
		ok, decided := linearizable(ops, 20*time.Second)
		v.NotLinearizable, v.Undecided = !ok, !decided
	}
	return v
}

// longestGap is the longest time between two acts that were taken, from the last one before index on.
func longestGap(acts []Act, from int) (longest time.Duration) {
	last := time.Duration(0)
	for i, a := range acts {
		if !a.Accepted {
			continue
		}
		if i > from && last > 0 {
			longest = max(longest, a.ReceivedAt-last)
		}
		last = a.ReceivedAt
	}
	return longest
}

// awaitActs waits until three more acts are taken.
func (p *scheduleRun) awaitActs(ctx context.Context) error {
	t := time.NewTimer(recoveryTimeout)
	defer t.Stop()
	for range 3 {
		_, news := p.auditor.Last()
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			return fmt.Errorf("no act for %v", recoveryTimeout)
		}
	}
	return nil
}

// awaitNewerToken waits until an act under a newer token is taken, or for so long.
func (p *scheduleRun) awaitNewerToken(ctx context.Context, token uint64, within time.Duration) bool {
	t := time.NewTimer(within)
	defer t.Stop()
	for {
		a, news := p.auditor.Last()
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
func (p *scheduleRun) repair() error {
	for _, n := range p.cluster.Nodes {
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

// awaitAllVoters waits until every voter votes: one with an empty folder does when the leader has taken it in, and until then the
// next fault would be one more than a majority stands.
func (p *scheduleRun) awaitAllVoters(ctx context.Context) error {
	voters := p.cluster.Nodes[:p.cluster.opt.Voters]
	return Await(ctx, "all voters", recoveryTimeout, func() bool {
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
func (p *scheduleRun) holder() (*Node, uint64) {
	a, _ := p.auditor.Last()
	for _, n := range p.cluster.Nodes {
		if n.Name == a.Member {
			return n, a.Token
		}
	}
	return p.cluster.Nodes[0], a.Token
}

func (p *scheduleRun) leader() *Node {
	if n := p.cluster.Leader(); n != nil {
		return n
	}
	return p.cluster.Nodes[p.rng.IntN(p.cluster.opt.Voters)]
}

// inject causes a fault, and waits until it has had its effect.
func (p *scheduleRun) inject(ctx context.Context, f Fault) error {
	c, lease := p.cluster, p.opt.Lease
	h, token := p.holder()
	long := 4 * lease
	voters := c.Nodes[:c.opt.Voters]
	switch f {
	case KillHolder:
		h.Kill()
		p.awaitNewerToken(ctx, token, recoveryTimeout)
	case FreezeShort:
		h.Freeze()
		_ = sleep(ctx, lease/3)
		h.Thaw()
	case FreezeLong:
		// In the middle of an act: right behind one that came.
		_, news := p.auditor.Last()
		select {
		case <-news:
		case <-time.After(lease):
		}
		h.Freeze()
		p.awaitNewerToken(ctx, token, long)
		h.Thaw()
		_ = sleep(ctx, lease/4) // it goes on
	case PartitionHolder:
		c.Isolate(h, LinkState{Partitioned: true})
		p.awaitNewerToken(ctx, token, long)
		_ = sleep(ctx, lease/4)
	case PartitionHolderOutbound, PartitionHolderInbound:
		for _, o := range c.Nodes {
			if f == PartitionHolderOutbound {
				c.Set(h.Name, o.Name, LinkState{Partitioned: true})
			} else {
				c.Set(o.Name, h.Name, LinkState{Partitioned: true})
			}
		}
		p.awaitNewerToken(ctx, token, long)
	case PartitionHolderFromVoter:
		c.SetBoth(h.Name, voters[p.rng.IntN(len(voters))].Name, LinkState{Partitioned: true})
		_ = sleep(ctx, 2*lease)
	case DelayHolder:
		c.Isolate(h, LinkState{Delay: lease * 2 / 5, Jitter: lease / 20}) // there and back: 0.8 to 0.9 of it
		_ = sleep(ctx, 3*lease)
	case DelayAct:
		c.Set(h.Name, "receiver", LinkState{Partitioned: true})
		_ = sleep(ctx, lease/10) // acts are sent meanwhile, and held
		c.Isolate(h, LinkState{Partitioned: true})
		p.awaitNewerToken(ctx, token, long)
		c.Set(h.Name, "receiver", LinkState{})
		_ = sleep(ctx, lease/4)
	case KillLeader:
		p.leader().Kill()
		_ = sleep(ctx, 2*lease)
	case FreezeLeader:
		n := p.leader()
		n.Freeze()
		_ = sleep(ctx, 3*lease)
	case PartitionLeader:
		c.Isolate(p.leader(), LinkState{Partitioned: true})
		_ = sleep(ctx, 3*lease)
	case KillMajority:
		for _, n := range voters[:len(voters)/2+1] {
			n.Kill()
		}
		_ = sleep(ctx, 2*lease)
	case KillAllVoters:
		for _, n := range voters {
			n.Kill()
		}
	case EraseVoter:
		n := voters[p.rng.IntN(len(voters))]
		n.Kill()
		if err := os.RemoveAll(n.VoterDir()); err != nil {
			return err
		}
	case DegradeNetwork:
		for _, a := range c.Nodes {
			c.Isolate(a, LinkState{Delay: lease / 100, Jitter: lease / 20, Loss: 0.1, Duplication: 0.2})
		}
		_ = sleep(ctx, 3*lease)
	case SplitFleet:
		for i, a := range c.Nodes {
			for j, b := range c.Nodes {
				if i%2 != j%2 {
					c.Set(a.Name, b.Name, LinkState{Partitioned: true})
				}
			}
		}
		_ = sleep(ctx, 3*lease)
	case FlapMember:
		n := c.Nodes[p.rng.IntN(len(c.Nodes))]
		for range 4 {
			c.Isolate(n, LinkState{Partitioned: true})
			_ = sleep(ctx, lease/2)
			c.Isolate(n, LinkState{})
			_ = sleep(ctx, lease/4)
		}
	default:
		return fmt.Errorf("no such fault: %q", f)
	}
	return ctx.Err()
}

// MeasureFlapping has a member cut off for half of each second, so many times, and gives the audit with the longest time without an act.
func MeasureFlapping(ctx context.Context, binary, dir string, times int) (f AuditResult, longest time.Duration, err error) {
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
	c, err := New(Options{Binary: binary, Dir: dir, Nodes: 5, Lease: lease, Heartbeat: lease / 6, Posts: map[string]*ExternalService{"audit": &a.ExternalService}})
	if err != nil {
		return f, 0, err
	}
	defer c.Close()
	if err := c.Start(); err != nil {
		return f, 0, err
	}
	p := &scheduleRun{cluster: c, auditor: a, opt: PlayOptions{Lease: lease}}
	if err := p.awaitActs(ctx); err != nil {
		return f, 0, err
	}
	from := len(a.Acts())
	for range times {
		n, _ := p.holder()
		c.Isolate(n, LinkState{Partitioned: true})
		_ = sleep(ctx, 500*time.Millisecond)
		c.Heal()
		_ = sleep(ctx, 500*time.Millisecond)
	}
	err = p.awaitActs(ctx)
	return Audit(a.Acts()), longestGap(a.Acts(), from-1), err
}

// RunSchedules plays schedules, so many at once, and tells of each as it ends.
func RunSchedules(ctx context.Context, seeds []uint64, at int, opt PlayOptions, each func(ScheduleResult)) {
	runSeeds(ctx, seeds, at, func(seed uint64) ScheduleResult { return Play(ctx, DrawSchedule(seed), opt) }, each)
}

// TempDir makes a folder for a campaign's processes, on the file system of the working folder.
func TempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "robindrum-cluster-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// Build builds robindrum into a folder, with tags.
func Build(ctx context.Context, dir string, tags ...string) (string, error) {
	return build(ctx, filepath.Join(dir, "robindrum"+tagSuffix(tags)), tags)
}
