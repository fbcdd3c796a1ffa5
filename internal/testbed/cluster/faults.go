package cluster

import (
	"context"
	"fmt"
	"os"
	"time"
)

// inject injects a fault and blocks until it has taken effect. The caller heals links, and thaws and restarts processes.
func (r *scheduleRun) inject(ctx context.Context, fault Fault) error {
	injector, ok := map[Fault]func(context.Context) error{
		KillHolder:               r.killHolder,
		FreezeShort:              r.freezeHolderShortly,
		FreezeLong:               r.freezeHolderLong,
		PartitionHolder:          r.partitionHolder,
		PartitionHolderOutbound:  r.partitionHolderOutbound,
		PartitionHolderInbound:   r.partitionHolderInbound,
		PartitionHolderFromVoter: r.partitionHolderFromVoter,
		DelayHolder:              r.delayHolder,
		DelayPost:                r.delayPost,
		KillLeader:               r.killLeader,
		FreezeLeader:             r.freezeLeader,
		PartitionLeader:          r.partitionLeader,
		KillMajority:             r.killMajority,
		KillAllVoters:            r.killAllVoters,
		EraseVoter:               r.eraseVoter,
		DegradeNetwork:           r.degradeNetwork,
		SplitFleet:               r.splitFleet,
		FlapMember:               r.flapMember,
	}[fault]
	if !ok {
		return fmt.Errorf("unknown fault %q", fault)
	}
	if err := injector(ctx); err != nil {
		return err
	}
	return ctx.Err()
}

// partitioned is the state of a link that delivers nothing.
var partitioned = LinkState{Partitioned: true}

// flapCount is the number of times that FlapMember partitions a member.
const flapCount = 4

// handoverTimeout returns the maximum duration of a fault of the holder if no other member takes over the lease.
func (r *scheduleRun) handoverTimeout() time.Duration { return 4 * r.options.Lease }

func (r *scheduleRun) killHolder(ctx context.Context) error {
	holder, token := r.holder()
	holder.Kill()
	r.awaitNewerToken(ctx, token, recoveryTimeout)
	return nil
}

func (r *scheduleRun) freezeHolderShortly(ctx context.Context) error {
	holder, _ := r.holder()
	holder.Freeze()
	_ = sleep(ctx, r.options.Lease/3)
	holder.Thaw()
	return nil
}

// freezeHolderLong freezes the holder in the middle of a post: directly after the auditor has received it.
func (r *scheduleRun) freezeHolderLong(ctx context.Context) error {
	holder, token := r.holder()
	_, accepted := r.auditor.Last()
	select {
	case <-accepted:
	case <-time.After(r.options.Lease):
	}
	holder.Freeze()
	r.awaitNewerToken(ctx, token, r.handoverTimeout())
	holder.Thaw()
	_ = sleep(ctx, r.options.Lease/4) // for the interrupted post to continue
	return nil
}

func (r *scheduleRun) partitionHolder(ctx context.Context) error {
	holder, token := r.holder()
	r.cluster.Isolate(holder, partitioned)
	r.awaitNewerToken(ctx, token, r.handoverTimeout())
	_ = sleep(ctx, r.options.Lease/4)
	return nil
}

func (r *scheduleRun) partitionHolderOutbound(ctx context.Context) error {
	holder, token := r.holder()
	for _, other := range r.cluster.Nodes {
		r.cluster.SetLink(holder.Name, other.Name, partitioned)
	}
	r.awaitNewerToken(ctx, token, r.handoverTimeout())
	return nil
}

func (r *scheduleRun) partitionHolderInbound(ctx context.Context) error {
	holder, token := r.holder()
	for _, other := range r.cluster.Nodes {
		r.cluster.SetLink(other.Name, holder.Name, partitioned)
	}
	r.awaitNewerToken(ctx, token, r.handoverTimeout())
	return nil
}

func (r *scheduleRun) partitionHolderFromVoter(ctx context.Context) error {
	holder, _ := r.holder()
	r.cluster.SetLinkBothWays(holder.Name, r.drawVoter().Name, partitioned)
	_ = sleep(ctx, 2*r.options.Lease)
	return nil
}

// delayHolder makes a round trip of the holder take 0.8 to 0.9 of its lease.
func (r *scheduleRun) delayHolder(ctx context.Context) error {
	holder, _ := r.holder()
	lease := r.options.Lease
	r.cluster.Isolate(holder, LinkState{Delay: lease * 2 / 5, Jitter: lease / 20})
	_ = sleep(ctx, 3*lease)
	return nil
}

// delayPost holds back posts that the holder has sent until another member holds the lease.
func (r *scheduleRun) delayPost(ctx context.Context) error {
	holder, token := r.holder()
	r.cluster.SetLink(holder.Name, r.auditor.Name, partitioned)
	_ = sleep(ctx, r.options.Lease/10) // for posts to be sent
	r.cluster.Isolate(holder, partitioned)
	r.awaitNewerToken(ctx, token, r.handoverTimeout())
	r.cluster.SetLink(holder.Name, r.auditor.Name, LinkState{})
	_ = sleep(ctx, r.options.Lease/4)
	return nil
}

func (r *scheduleRun) killLeader(ctx context.Context) error {
	r.leader().Kill()
	_ = sleep(ctx, 2*r.options.Lease)
	return nil
}

func (r *scheduleRun) freezeLeader(ctx context.Context) error {
	r.leader().Freeze()
	_ = sleep(ctx, 3*r.options.Lease)
	return nil
}

func (r *scheduleRun) partitionLeader(ctx context.Context) error {
	r.cluster.Isolate(r.leader(), partitioned)
	_ = sleep(ctx, 3*r.options.Lease)
	return nil
}

func (r *scheduleRun) killMajority(ctx context.Context) error {
	voters := r.cluster.voterNodes()
	for _, voter := range voters[:len(voters)/2+1] {
		voter.Kill()
	}
	_ = sleep(ctx, 2*r.options.Lease)
	return nil
}

func (r *scheduleRun) killAllVoters(context.Context) error {
	for _, voter := range r.cluster.voterNodes() {
		voter.Kill()
	}
	return nil
}

func (r *scheduleRun) eraseVoter(context.Context) error {
	voter := r.drawVoter()
	voter.Kill()
	return os.RemoveAll(voter.VoterDir())
}

func (r *scheduleRun) degradeNetwork(ctx context.Context) error {
	lease := r.options.Lease
	for _, node := range r.cluster.Nodes {
		r.cluster.Isolate(node, LinkState{Delay: lease / 100, Jitter: lease / 20, Loss: 0.1, Duplication: 0.2})
	}
	_ = sleep(ctx, 3*lease)
	return nil
}

// splitFleet partitions the nodes with even numbers from those with odd numbers.
func (r *scheduleRun) splitFleet(ctx context.Context) error {
	for _, a := range r.cluster.Nodes {
		for _, b := range r.cluster.Nodes {
			if a.Number%2 != b.Number%2 {
				r.cluster.SetLink(a.Name, b.Name, partitioned)
			}
		}
	}
	_ = sleep(ctx, 3*r.options.Lease)
	return nil
}

func (r *scheduleRun) flapMember(ctx context.Context) error {
	member := r.cluster.Nodes[r.random.IntN(len(r.cluster.Nodes))]
	for range flapCount {
		r.cluster.Isolate(member, partitioned)
		_ = sleep(ctx, r.options.Lease/2)
		r.cluster.Isolate(member, LinkState{})
		_ = sleep(ctx, r.options.Lease/4)
	}
	return nil
}

func (r *scheduleRun) drawVoter() *Node {
	voters := r.cluster.voterNodes()
	return voters[r.random.IntN(len(voters))]
}
