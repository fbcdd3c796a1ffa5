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

// leaseLength is short enough to watch.
const leaseLength = 2 * time.Second

// LeaseLoss plays the loss of a lease's holder: three processes of the program, which share one subscription to a control
// plane and one duty that posts to a receiver. The holder is frozen and goes on later. The error is what went wrong.
func LeaseLoss(ctx context.Context, binary string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "robindrum-try-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	a, err := cluster.NewAuditor("receiver")
	if err != nil {
		return err
	}
	defer a.Close()
	began := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%6.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	say("three gateways start: each votes; one of them is to follow the control plane for all, and one to post to a receiver")
	s, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: dir, Gateways: 3, SharedSubscription: true, Lease: leaseLength, DirectAfter: 5 * time.Second, Heartbeat: 200 * time.Millisecond,
		Posts: map[string]*cluster.ExternalService{"beat": &a.ExternalService}})
	if err != nil {
		return err
	}
	defer s.Close()
	const within = 30 * time.Second
	posts := func(n int) error {
		n += len(a.Acts())
		return cluster.Await(ctx, "posts", within, func() bool { return len(a.Acts()) >= n })
	}
	var holder *cluster.Node
	if err := cluster.Await(ctx, "a holder of the subscription, and posts", within, func() bool {
		holder = s.SubscriptionLeader()
		last, _ := a.Last()
		return holder != nil && last.Token > 0
	}); err != nil {
		return err
	}
	streams, _ := s.ControlPlane.Streams()
	last, _ := a.Last()
	say("%s holds the subscription, and all three have its list; the control plane sees %d stream; %s posts under token %d", holder.Name, streams, last.Member, last.Token)
	load := s.StartLoad(50)
	fail := func(err error) error {
		load.Stop()
		return err
	}
	poster := holder
	for _, n := range s.Nodes {
		if n.Name == last.Member {
			poster = n
		}
	}
	if err := posts(50); err != nil {
		return fail(err)
	}
	frozen := map[*cluster.Node]bool{holder: true, poster: true}
	if len(frozen) == 2 { // a majority has to be left
		delete(frozen, holder)
	}
	for n := range frozen {
		n.Freeze()
		say("%s is frozen in the middle of what it does (SIGSTOP); the others serve on", n.Name)
	}
	at := time.Now()
	if err := cluster.Await(ctx, "another poster", within, func() bool { l, _ := a.Last(); return l.Token > last.Token }); err != nil {
		return fail(err)
	}
	next, _ := a.Last()
	say("%s posts under token %d, %.1f s later: a lease lasts %v", next.Member, next.Token, time.Since(at).Seconds(), leaseLength)
	if err := cluster.Await(ctx, "a holder of the subscription", within, func() bool { h := s.SubscriptionLeader(); return h != nil && !frozen[h] }); err != nil {
		return fail(err)
	}
	holder = s.SubscriptionLeader()
	at = time.Now()
	if _, err := s.Push(0, 1); err != nil {
		return fail(err)
	}
	if err := s.AwaitVersion(ctx, within); err != nil {
		return fail(err)
	}
	say("%s holds the subscription; the control plane removes a server, and every gateway that runs knows after %.2f s", holder.Name, time.Since(at).Seconds())
	for n := range frozen {
		n.Thaw()
		say("%s goes on; its lease is over by its own clock", n.Name)
	}
	if err := s.AwaitVersion(ctx, within); err != nil {
		return fail(err)
	}
	if err := cluster.Await(ctx, "one stream", within, func() bool { n, _ := s.ControlPlane.Streams(); return n == 1 }); err != nil {
		return fail(err)
	}
	say("all three have the newest list, on one stream again")
	if err := posts(50); err != nil {
		return fail(err)
	}
	why := load.Stop()
	f := cluster.Audit(a.Acts())
	fmt.Fprintf(out, "\nrequests %d, failed %d %s\nposts %d under %d tokens: refused by their token %d, accepted out of order %d, begun beyond the lease %d\n",
		load.Requests.Load(), load.Failed.Load(), why, f.Acts, f.Tokens, f.Rejected, f.StaleAccepted, f.AfterLease)
	switch {
	case f.Violated():
		return errors.New(f.FirstViolation)
	case why != "":
		return fmt.Errorf("a request failed: %s", why)
	}
	return nil
}
