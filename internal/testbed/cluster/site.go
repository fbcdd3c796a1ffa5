package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/origin"
)

// Site is gateways of one site, before the same servers and under the same control plane.
type Site struct {
	*Cluster
	ControlPlane *controlplane.Server
	Origins      []*origin.Origin
	dir          string
	version      int
	zones        []string // of the servers in turn
}

// SiteOptions are what a Site is made of.
type SiteOptions struct {
	Binary, Dir        string
	Gateways           int
	SharedSubscription bool   // one subscription for all
	Variant            string // of xDS; empty: the program's default
	Lease              time.Duration
	DirectAfter        time.Duration
	Heartbeat          time.Duration // of the holder of the subscription
	Seed               uint64
	Posts              map[string]*ExternalService
	Sites              []string // of the gateways in turn; nil: one
	Budgets            string   // of the file; empty: what is taken without
	Zones              []string // of the gateways, and of the servers, in turn; nil: none
	ExtraConfig        string   // more sections of every gateway's file
	Versions           map[string]string
	Version            string
	OnLogLine          func(node int, line string) // of the logs; nil: nobody looks
}

// NewSite starts one, and waits until every gateway is ready.
func NewSite(ctx context.Context, o SiteOptions) (*Site, error) {
	s := &Site{zones: o.Zones}
	var err error
	if s.dir, err = os.MkdirTemp(o.Dir, "site-"); err != nil {
		return nil, err
	}
	fail := func(err error) (*Site, error) {
		s.Close()
		return nil, err
	}
	if s.ControlPlane, err = controlplane.Start(""); err != nil {
		return fail(err)
	}
	for range 3 {
		org, err := origin.Start("", nil)
		if err != nil {
			return fail(err)
		}
		s.Origins = append(s.Origins, org)
	}
	if _, err := s.Push(0, 1, 2); err != nil {
		return fail(err)
	}
	fleet := ""
	if o.SharedSubscription {
		fleet = fmt.Sprintf("  subscription: {own_after: %v, spread: %v, heartbeat: %v}\n", o.DirectAfter, o.DirectAfter, o.Heartbeat)
	}
	if o.Budgets != "" {
		fleet += "  budgets: " + o.Budgets + "\n"
	}
	sites := o.Sites
	if len(sites) == 0 {
		sites = []string{"s"}
	}
	plane := &ExternalService{Name: "plane", Address: s.ControlPlane.Addr}
	if s.Cluster, err = New(Options{Binary: o.Binary, Dir: s.dir, Nodes: o.Gateways, Sites: sites, Lease: o.Lease, Heartbeat: o.Lease / 6, XDS: plane, Variant: o.Variant, Seed: o.Seed, Posts: o.Posts,
		Versions: o.Versions, Version: o.Version, OnLogLine: o.OnLogLine,
		ExtraFleetConfig: func(int) string { return fleet },
		ExtraConfig: func(i int) string {
			text := "clusters: []\nroutes: [{match: {prefix: /}, cluster: c}]\n" + o.ExtraConfig
			if len(o.Zones) > 0 {
				text += "zone: " + o.Zones[i%len(o.Zones)] + "\n"
			}
			return text
		}}); err != nil {
		return fail(err)
	}
	if err := s.Start(); err != nil {
		return fail(err)
	}
	return s, s.AwaitVersion(ctx, recoveryTimeout)
}

// Close ends it.
func (s *Site) Close() {
	if s.Cluster != nil {
		s.Cluster.Close()
	}
	if s.ControlPlane != nil {
		s.ControlPlane.GoAway()
	}
	for _, o := range s.Origins {
		o.Kill()
	}
	_ = os.RemoveAll(s.dir)
}

// Push has the control plane name these servers under a new version.
func (s *Site) Push(origins ...int) (time.Time, error) {
	s.version++
	var l []controlplane.Endpoint
	for _, i := range origins {
		e := controlplane.Endpoint{Addr: s.Origins[i].Addr}
		if len(s.zones) > 0 {
			e.Zone = s.zones[i%len(s.zones)]
		}
		l = append(l, e)
	}
	return s.ControlPlane.Push(strconv.Itoa(s.version), false, controlplane.Resource{Name: "c", Body: controlplane.Cluster("c", "")},
		controlplane.Resource{Name: "c", Body: controlplane.Assignment("c", l...)})
}

// usesVersion tells whether a gateway that is up uses the newest version.
func (s *Site) usesVersion(n *Node) bool {
	if !n.Up() {
		return true
	}
	st, err := n.Status()
	return err == nil && st.Ready && len(st.Clusters) == 1 && st.Clusters[0].Version == strconv.Itoa(s.version)
}

// AwaitVersion waits until every gateway that is up uses the newest version.
func (s *Site) AwaitVersion(ctx context.Context, within time.Duration) error {
	return Await(ctx, "version "+strconv.Itoa(s.version)+" at every gateway", within, func() bool {
		for _, n := range s.Nodes {
			if !s.usesVersion(n) {
				return false
			}
		}
		return true
	})
}

// SubscriptionLeader is who holds the subscription; nil: nobody.
func (s *Site) SubscriptionLeader() *Node { return s.Cluster.TaskLeader("xds/s") }

// Load asks every gateway for something, again and again.
type Load struct {
	Requests, Failed atomic.Int64
	OnResponse       func(took time.Duration, ok bool) // nil: nobody looks; called by many goroutines
	mu               sync.Mutex
	firstFailure     string // of what failed
	cancel           context.CancelFunc
	goroutines       sync.WaitGroup
}

// StartLoad asks each gateway so often a second, until Stop.
func (s *Site) StartLoad(rate int) *Load { return s.StartObservedLoad(rate, nil) }

// StartObservedLoad is Load that tells of each answer.
func (s *Site) StartObservedLoad(rate int, answered func(took time.Duration, ok bool)) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{cancel: cancel, OnResponse: answered}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxIdleConns: 1024}}
	for _, n := range s.Nodes {
		var ready atomic.Int64 // in which epoch it was ready; 0: it is not
		ready.Store(int64(n.Epoch()))
		l.goroutines.Go(func() { // as whoever stands before the gateways looks at them
			tick := time.NewTicker(50 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				if epoch := n.Epoch(); n.Ready() {
					ready.Store(int64(epoch))
				} else {
					ready.Store(0)
				}
			}
		})
		l.goroutines.Go(func() {
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				if !n.Up() || ready.Load() != int64(n.Epoch()) { // a client cannot tell a frozen gateway from a slow one: whoever stands before it does
					continue
				}
				l.request(client, n)
			}
		})
	}
	go func() {
		l.goroutines.Wait()
		client.CloseIdleConnections()
	}()
	return l
}

func (l *Load) request(client *http.Client, n *Node) {
	l.Requests.Add(1)
	start, epoch, began := n.Starts(), n.Epoch(), time.Now()
	why := ""
	resp, err := client.Get("http://" + n.Web + "/")
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		// A freeze may be longer than a notice: what came before it is refused behind it, and is answered then.
		if resp.StatusCode != http.StatusOK && (resp.StatusCode != http.StatusServiceUnavailable || n.Epoch() == epoch) {
			why = resp.Status
		}
	}
	if err != nil {
		why = err.Error()
	}
	if l.OnResponse != nil {
		l.OnResponse(time.Since(began), why == "")
	}
	if why != "" && n.Up() && n.Starts() == start {
		l.Failed.Add(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.firstFailure == "" {
			l.firstFailure = n.Name + ": " + strings.TrimSpace(why)
		}
	}
}

// Stop ends it, and gives what failed first.
func (l *Load) Stop() string {
	l.cancel()
	l.goroutines.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstFailure
}

// ReconnectResult is what a control plane sees when it returns.
type ReconnectResult struct {
	Shared                     bool
	Gateways                   int
	Streams                    int           // opened at the return and in the time after it
	FirstSecond                int           // of them within a second
	Requests                   int           // discovery requests of the same time
	Recovery                   time.Duration // from the return until every gateway uses what it returned with
	LoadRequests, LoadFailures int64
	FirstFailure               string
}

// MeasureReconnect has the control plane away for so long and back with a new version.
func (s *Site) MeasureReconnect(ctx context.Context, shared bool, away time.Duration) (r ReconnectResult, err error) {
	r = ReconnectResult{Shared: shared, Gateways: len(s.Nodes)}
	load := s.StartLoad(20)
	s.ControlPlane.GoAway()
	if err := sleep(ctx, away); err != nil {
		load.Stop()
		return r, err
	}
	_, streams := s.ControlPlane.Streams()
	requests := len(s.ControlPlane.Requests())
	if _, err := s.Push(0, 1); err != nil {
		load.Stop()
		return r, err
	}
	if err := s.ControlPlane.Return(); err != nil {
		load.Stop()
		return r, err
	}
	began := time.Now()
	err = s.AwaitVersion(ctx, 2*recoveryTimeout)
	r.Recovery = time.Since(began)
	_ = sleep(ctx, time.Second-r.Recovery)
	_, ever := s.ControlPlane.Streams()
	r.FirstSecond = ever - streams
	_ = sleep(ctx, 3*time.Second-time.Since(began))
	_, ever = s.ControlPlane.Streams()
	r.Streams, r.Requests = ever-streams, len(s.ControlPlane.Requests())-requests
	r.FirstFailure = load.Stop()
	r.LoadRequests, r.LoadFailures = load.Requests.Load(), load.Failed.Load()
	return r, err
}
