package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"robindrum/internal/testbed/cluster"
)

const (
	// leaseLength is short, so that the demonstration does not wait long for a hand-over.
	leaseLength      = 2 * time.Second
	leaseGateways    = 3
	leaseLoad        = 50 // requests per second and gateway
	leaseTimeout     = 30 * time.Second
	postsBetween     = 50 // steps of the scene
	subscribeAfter   = 5 * time.Second
	leaderHeartbeats = 200 * time.Millisecond
)

// leaseScene is the demonstration of the loss of a lease.
type leaseScene struct {
	narrator
	auditor *cluster.Auditor
	site    *cluster.Site
	load    *cluster.Load
	frozen  map[*cluster.Node]bool
}

// LeaseLoss demonstrates the loss of a lease. Three processes share a subscription to a control plane and a leader-only task that posts
// to a receiver. The process that leads the task is frozen and continues later; it may lead the subscription, too. LeaseLoss blocks until
// all processes have ended. It returns an error if a process does not start, a hand-over takes too long, the audit of the posts finds a
// violation or a request fails.
func LeaseLoss(ctx context.Context, binary string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "robindrum-try-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	auditor, err := cluster.NewAuditor("receiver")
	if err != nil {
		return err
	}
	defer auditor.Close()
	s := &leaseScene{narrator: narrator{out: out, began: time.Now()}, auditor: auditor}
	s.say("three gateways start, all voters: one of them leads the subscription to the control plane, and one the task that posts to a receiver")
	s.site, err = cluster.NewSite(ctx, cluster.SiteOptions{
		Binary:             binary,
		Dir:                dir,
		Gateways:           leaseGateways,
		SharedSubscription: true,
		Lease:              leaseLength,
		DirectAfter:        subscribeAfter,
		Heartbeat:          leaderHeartbeats,
		PostTasks:          map[string]*cluster.ExternalService{"beat": &auditor.ExternalService},
	})
	if err != nil {
		return err
	}
	defer s.site.Close()
	leader, err := s.awaitLeaders(ctx)
	if err != nil {
		return err
	}
	s.load = s.site.StartLoad(leaseLoad)
	defer s.load.Stop()
	if err := s.freezeLeaders(ctx, leader); err != nil {
		return err
	}
	if err := s.observeTakeover(ctx); err != nil {
		return err
	}
	if err := s.thaw(ctx); err != nil {
		return err
	}
	return s.audit(out)
}

// awaitLeaders waits until the subscription and the task that posts have a leader, and returns the leader of the subscription.
func (s *leaseScene) awaitLeaders(ctx context.Context) (*cluster.Node, error) {
	var leader *cluster.Node
	err := cluster.Await(ctx, "a subscription leader, and posts", leaseTimeout, func() bool {
		leader = s.site.SubscriptionLeader()
		last, _ := s.auditor.Last()
		return leader != nil && last.Token > 0
	})
	if err != nil {
		return nil, err
	}
	streams, _ := s.site.ControlPlane.Streams()
	last, _ := s.auditor.Last()
	s.say("%s leads the subscription, and all three have its list; the control plane sees %d stream; %s posts with token %d",
		leader.Name, streams, last.Member, last.Token)
	return leader, nil
}

// awaitPosts waits until there are postsBetween more posts.
func (s *leaseScene) awaitPosts(ctx context.Context) error {
	target := len(s.auditor.Posts()) + postsBetween
	return cluster.Await(ctx, "posts", leaseTimeout, func() bool { return len(s.auditor.Posts()) >= target })
}

// freezeLeaders freezes the gateway that posts and waits until another one posts. If a different gateway leads the subscription, that
// one is not frozen, because a majority of the voters must run.
func (s *leaseScene) freezeLeaders(ctx context.Context, subscriptionLeader *cluster.Node) error {
	last, _ := s.auditor.Last()
	poster := subscriptionLeader
	for _, n := range s.site.Nodes {
		if n.Name == last.Member {
			poster = n
		}
	}
	if err := s.awaitPosts(ctx); err != nil {
		return err
	}
	s.frozen = map[*cluster.Node]bool{poster: true}
	poster.Freeze()
	s.say("%s is frozen (SIGSTOP) while it works; the others continue to serve", poster.Name)
	frozenAt := time.Now()
	err := cluster.Await(ctx, "another gateway to post", leaseTimeout, func() bool {
		act, _ := s.auditor.Last()
		return act.Token > last.Token
	})
	if err != nil {
		return err
	}
	next, _ := s.auditor.Last()
	s.say("%s posts with token %d, %.1f s later; a lease lasts %v", next.Member, next.Token, time.Since(frozenAt).Seconds(), leaseLength)
	return nil
}

// observeTakeover waits until a gateway that is not frozen leads the subscription. Then it pushes an endpoint list and waits until the
// gateways use it.
func (s *leaseScene) observeTakeover(ctx context.Context) error {
	err := cluster.Await(ctx, "a subscription leader that is not frozen", leaseTimeout, func() bool {
		leader := s.site.SubscriptionLeader()
		return leader != nil && !s.frozen[leader]
	})
	if err != nil {
		return err
	}
	leader := s.site.SubscriptionLeader()
	pushedAt := time.Now()
	if _, err := s.site.Push(0, 1); err != nil {
		return err
	}
	if err := s.site.AwaitVersion(ctx, leaseTimeout); err != nil {
		return err
	}
	s.say("%s leads the subscription; the control plane removes a server, and all running gateways are updated after %.2f s",
		leader.Name, time.Since(pushedAt).Seconds())
	return nil
}

// thaw lets the frozen gateway continue and waits until all gateways share one stream again.
func (s *leaseScene) thaw(ctx context.Context) error {
	for n := range s.frozen {
		n.Thaw()
		s.say("%s continues; by its own clock, its lease has expired", n.Name)
	}
	if err := s.site.AwaitVersion(ctx, leaseTimeout); err != nil {
		return err
	}
	err := cluster.Await(ctx, "one stream", leaseTimeout, func() bool {
		streams, _ := s.site.ControlPlane.Streams()
		return streams == 1
	})
	if err != nil {
		return err
	}
	s.say("all three have the newest list and share one stream again")
	return s.awaitPosts(ctx)
}

// audit stops the load, checks the posts and prints the result.
func (s *leaseScene) audit(out io.Writer) error {
	failure := s.load.Stop()
	result := cluster.Audit(s.auditor.Posts())
	fmt.Fprintf(out, "\nrequests %d, failed %d %s\nposts %d under %d tokens: rejected by token %d, accepted out of order %d, begun after the lease ended %d\n",
		s.load.Requests.Load(), s.load.Failed.Load(), failure, result.Posts, result.Tokens, result.Rejected, result.StaleAccepted, result.AfterLease)
	switch {
	case result.Violated():
		return errors.New(result.FirstViolation)
	case failure != "":
		return fmt.Errorf("a request failed: %s", failure)
	}
	return nil
}
