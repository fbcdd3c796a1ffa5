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
	Plane   *controlplane.Server
	Origins []*origin.Origin
	dir     string
	version int
	zones   []string // of the servers in turn
}

// SiteOptions are what a Site is made of.
type SiteOptions struct {
	Binary, Dir string
	Gateways    int
	Shared      bool   // one subscription for all
	Variant     string // of xDS; empty: the program's default
	Lease       time.Duration
	OwnAfter    time.Duration
	Heartbeat   time.Duration // of the holder of the subscription
	Seed        uint64
	Posts       map[string]*End
	Sites       []string // of the gateways in turn; nil: one
	Budgets     string   // of the file; empty: what is taken without
	Zones       []string // of the gateways, and of the servers, in turn; nil: none
	File        string   // more sections of every gateway's file
	Versions    map[string]string
	Version     string
	Lines       func(node int, line string) // of the logs; nil: nobody looks
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
	if s.Plane, err = controlplane.Start(""); err != nil {
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
	if o.Shared {
		fleet = fmt.Sprintf("  subscription: {own_after: %v, spread: %v, heartbeat: %v}\n", o.OwnAfter, o.OwnAfter, o.Heartbeat)
	}
	if o.Budgets != "" {
		fleet += "  budgets: " + o.Budgets + "\n"
	}
	sites := o.Sites
	if len(sites) == 0 {
		sites = []string{"s"}
	}
	plane := &End{Name: "plane", Addr: s.Plane.Addr}
	if s.Cluster, err = New(Options{Binary: o.Binary, Dir: s.dir, Nodes: o.Gateways, Sites: sites, Lease: o.Lease, Beat: o.Lease / 6, XDS: plane, Variant: o.Variant, Seed: o.Seed, Posts: o.Posts,
		Versions: o.Versions, Version: o.Version, Lines: o.Lines,
		Fleet: func(int) string { return fleet },
		File: func(i int) string {
			text := "clusters: []\nroutes: [{match: {prefix: /}, cluster: c}]\n" + o.File
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
	return s, s.Have(ctx, back)
}

// Close ends it.
func (s *Site) Close() {
	if s.Cluster != nil {
		s.Cluster.Close()
	}
	if s.Plane != nil {
		s.Plane.GoAway()
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
	return s.Plane.Push(strconv.Itoa(s.version), false, controlplane.Resource{Name: "c", Body: controlplane.Cluster("c", "")},
		controlplane.Resource{Name: "c", Body: controlplane.Assignment("c", l...)})
}

// has tells whether a gateway that is up uses the newest version.
func (s *Site) has(n *Node) bool {
	if !n.Up() {
		return true
	}
	st, err := n.Status()
	return err == nil && st.Ready && len(st.Clusters) == 1 && st.Clusters[0].Version == strconv.Itoa(s.version)
}

// Have waits until every gateway that is up uses the newest version.
func (s *Site) Have(ctx context.Context, within time.Duration) error {
	return Await(ctx, "version "+strconv.Itoa(s.version)+" at every gateway", within, func() bool {
		for _, n := range s.Nodes {
			if !s.has(n) {
				return false
			}
		}
		return true
	})
}

// Holder is who holds the subscription; nil: nobody.
func (s *Site) Holder() *Node { return s.Cluster.Holder("xds/s") }

// Load asks every gateway for something, again and again.
type Load struct {
	Asked, Failed atomic.Int64
	Answered      func(took time.Duration, ok bool) // nil: nobody looks; called by many goroutines
	mu            sync.Mutex
	first         string // of what failed
	end           context.CancelFunc
	work          sync.WaitGroup
}

// Load asks each gateway so often a second, until Stop.
func (s *Site) Load(rate int) *Load { return s.LoadTold(rate, nil) }

// LoadTold is Load that tells of each answer.
func (s *Site) LoadTold(rate int, answered func(took time.Duration, ok bool)) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{end: cancel, Answered: answered}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxIdleConns: 1024}}
	for _, n := range s.Nodes {
		var ready atomic.Int64 // in which epoch it was ready; 0: it is not
		ready.Store(int64(n.Epoch()))
		l.work.Go(func() { // as whoever stands before the gateways looks at them
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
		l.work.Go(func() {
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
				l.ask(client, n)
			}
		})
	}
	go func() {
		l.work.Wait()
		client.CloseIdleConnections()
	}()
	return l
}

func (l *Load) ask(client *http.Client, n *Node) {
	l.Asked.Add(1)
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
	if l.Answered != nil {
		l.Answered(time.Since(began), why == "")
	}
	if why != "" && n.Up() && n.Starts() == start {
		l.Failed.Add(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.first == "" {
			l.first = n.Name + ": " + strings.TrimSpace(why)
		}
	}
}

// Stop ends it, and gives what failed first.
func (l *Load) Stop() string {
	l.end()
	l.work.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// HerdResult is what a control plane sees when it returns.
type HerdResult struct {
	Shared        bool
	Gateways      int
	Streams       int           // opened at the return and in the time after it
	First         int           // of them within a second
	Requests      int           // discovery requests of the same time
	All           time.Duration // from the return until every gateway uses what it returned with
	Asked, Failed int64
	Why           string
}

// Herd has the control plane away for so long and back with a new version.
func (s *Site) Herd(ctx context.Context, shared bool, away time.Duration) (r HerdResult, err error) {
	r = HerdResult{Shared: shared, Gateways: len(s.Nodes)}
	load := s.Load(20)
	s.Plane.GoAway()
	if err := sleep(ctx, away); err != nil {
		load.Stop()
		return r, err
	}
	_, streams := s.Plane.Streams()
	requests := len(s.Plane.Requests())
	if _, err := s.Push(0, 1); err != nil {
		load.Stop()
		return r, err
	}
	if err := s.Plane.Return(); err != nil {
		load.Stop()
		return r, err
	}
	began := time.Now()
	err = s.Have(ctx, 2*back)
	r.All = time.Since(began)
	_ = sleep(ctx, time.Second-r.All)
	_, ever := s.Plane.Streams()
	r.First = ever - streams
	_ = sleep(ctx, 3*time.Second-time.Since(began))
	_, ever = s.Plane.Streams()
	r.Streams, r.Requests = ever-streams, len(s.Plane.Requests())-requests
	r.Why = load.Stop()
	r.Asked, r.Failed = load.Asked.Load(), load.Failed.Load()
	return r, err
}
