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
	// leaseLength is short, so that a takeover can be watched.
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

// LeaseLoss demonstrates the loss of a lease: three processes of the program share a subscription to a control plane and a leader-only
// task that posts to a receiver. The task's leader, and if it is the same one that of the subscription, is frozen and continues later.
// It blocks until all processes have ended, and returns an error that says what went wrong.
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
	s.say("three gateways start: each votes; one of them is to follow the control plane for all, and one to post to a receiver")
	s.site, err = cluster.NewSite(ctx, cluster.SiteOptions{
		Binary:             binary,
		Dir:                dir,
		Gateways:           leaseGateways,
		SharedSubscription: true,
		Lease:              leaseLength,
		DirectAfter:        subscribeAfter,
		Heartbeat:          leaderHeartbeats,
		Posts:              map[string]*cluster.ExternalService{"beat": &auditor.ExternalService},
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

// awaitLeaders waits until the subscription and the posts have a leader, and returns that of the subscription.
func (s *leaseScene) awaitLeaders(ctx context.Context) (*cluster.Node, error) {
	var leader *cluster.Node
	err := cluster.Await(ctx, "a holder of the subscription, and posts", leaseTimeout, func() bool {
		leader = s.site.SubscriptionLeader()
		last, _ := s.auditor.Last()
		return leader != nil && last.Token > 0
	})
	if err != nil {
		return nil, err
	}
	streams, _ := s.site.ControlPlane.Streams()
	last, _ := s.auditor.Last()
	s.say("%s holds the subscription, and all three have its list; the control plane sees %d stream; %s posts under token %d",
		leader.Name, streams, last.Member, last.Token)
	return leader, nil
}

// awaitPosts waits for some more posts.
func (s *leaseScene) awaitPosts(ctx context.Context) error {
	target := len(s.auditor.Acts()) + postsBetween
	return cluster.Await(ctx, "posts", leaseTimeout, func() bool { return len(s.auditor.Acts()) >= target })
}

// freezeLeaders freezes the leaders and waits until another gateway posts. If two gateways lead, only the one that posts is frozen, as
// a majority has to run.
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
	s.say("%s is frozen in the middle of what it does (SIGSTOP); the others serve on", poster.Name)
	frozenAt := time.Now()
	err := cluster.Await(ctx, "another poster", leaseTimeout, func() bool {
		act, _ := s.auditor.Last()
		return act.Token > last.Token
	})
	if err != nil {
		return err
	}
	next, _ := s.auditor.Last()
	s.say("%s posts under token %d, %.1f s later: a lease lasts %v", next.Member, next.Token, time.Since(frozenAt).Seconds(), leaseLength)
	return nil
}

// observeTakeover waits until a gateway that runs leads the subscription, and pushes an endpoint list.
func (s *leaseScene) observeTakeover(ctx context.Context) error {
	err := cluster.Await(ctx, "a holder of the subscription", leaseTimeout, func() bool {
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
	s.say("%s holds the subscription; the control plane removes a server, and every gateway that runs knows after %.2f s",
		leader.Name, time.Since(pushedAt).Seconds())
	return nil
}

// thaw has the frozen gateway continue, and waits until all use one stream again.
func (s *leaseScene) thaw(ctx context.Context) error {
	for n := range s.frozen {
		n.Thaw()
		s.say("%s goes on; its lease is over by its own clock", n.Name)
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
	s.say("all three have the newest list, on one stream again")
	return s.awaitPosts(ctx)
}

// audit stops the load, checks the posts and prints the outcome.
func (s *leaseScene) audit(out io.Writer) error {
	failure := s.load.Stop()
	result := cluster.Audit(s.auditor.Acts())
	fmt.Fprintf(out, "\nrequests %d, failed %d %s\nposts %d under %d tokens: refused by their token %d, accepted out of order %d, begun beyond the lease %d\n",
		s.load.Requests.Load(), s.load.Failed.Load(), failure, result.Acts, result.Tokens, result.Rejected, result.StaleAccepted, result.AfterLease)
	switch {
	case result.Violated():
		return errors.New(result.FirstViolation)
	case failure != "":
		return fmt.Errorf("a request failed: %s", failure)
	}
	return nil
}
