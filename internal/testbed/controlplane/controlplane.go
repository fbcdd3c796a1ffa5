// Package controlplane is a scripted control plane that speaks xDS over gRPC on loopback, written from the protocol's
// description. It serves what it was set to, state of the world and incremental, and misbehaves on request: it withdraws,
// replays, sends garbage, stalls, goes away, and comes back with another version. It records every request it got.
package controlplane

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Request is one that came, of either variant.
type Request struct {
	Stream int // numbered from 1
	At     time.Time
	SotW   *discoveryv3.DiscoveryRequest
	Delta  *discoveryv3.DeltaDiscoveryRequest
}

// Type is the type that it is about.
func (r Request) Type() string { return cmp.Or(r.SotW.GetTypeUrl(), r.Delta.GetTypeUrl()) }

// Error is the reason that it gives for a refusal, empty for none.
func (r Request) Error() string {
	return cmp.Or(r.SotW.GetErrorDetail().GetMessage(), r.Delta.GetErrorDetail().GetMessage())
}

// Nonce is that of the response that it answers.
func (r Request) Nonce() string { return cmp.Or(r.SotW.GetResponseNonce(), r.Delta.GetResponseNonce()) }

type resource struct {
	body    *anypb.Any
	version string
	ttl     time.Duration
}

type kind struct {
	version string
	all     map[string]resource
}

// Server is the control plane. Its methods may be called by several goroutines at once.
type Server struct {
	Addr string

	mu       sync.Mutex
	grpc     *grpc.Server
	serving  chan struct{}
	kinds    map[string]*kind
	streams  map[*stream]struct{}
	opened   int
	nonce    int
	requests []Request
	news     chan struct{} // closed and made anew with each request
	stalled  chan struct{} // nil: not stalled
	frozen   bool          // nothing is sent unasked or asked
	limit    *limit        // nil: none
}

// limit is a control plane of small capacity.
type limit struct {
	places          chan struct{}
	takes, patience time.Duration
}

// Limit has each stream that is opened from now on wait for one of so many places and hold it for a while before it is
// read. One that waits longer than patience, if that is not 0, ends as unavailable. Without places there is no limit.
func (s *Server) Limit(places int, takes, patience time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit = nil; places > 0 {
		s.limit = &limit{make(chan struct{}, places), takes, patience}
	}
}

// enter waits for a stream's turn.
func (s *Server) enter(ctx context.Context) error {
	s.mu.Lock()
	l := s.limit
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	line, held := ctx, context.CancelFunc(func() {})
	if l.patience > 0 {
		line, held = context.WithTimeout(ctx, l.patience)
	}
	defer held()
	select {
	case l.places <- struct{}{}:
	case <-line.Done():
		return cmp.Or(ctx.Err(), status.Error(codes.Unavailable, "too many callers"))
	}
	defer func() { <-l.places }()
	work, done := context.WithTimeout(ctx, l.takes)
	defer done()
	<-work.Done()
	return ctx.Err()
}

// Start listens on loopback, at addr or, where that is empty, at a port of its own.
func Start(addr string) (*Server, error) {
	s := &Server{Addr: cmp.Or(addr, "127.0.0.1:0"), kinds: map[string]*kind{}, streams: map[*stream]struct{}{}, news: make(chan struct{})}
	return s, s.Return()
}

// Return has a control plane that went away listen at its address again, with what it was set to.
func (s *Server) Return() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return fmt.Errorf("control plane: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Addr = l.Addr().String()
	s.grpc = grpc.NewServer(grpc.MaxSendMsgSize(1 << 30))
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.grpc, ads{s: s})
	serving, g := make(chan struct{}), s.grpc
	s.serving = serving
	go func() {
		defer close(serving)
		_ = g.Serve(l) // ends with GoAway
	}()
	return nil
}

// GoAway ends all streams and stops listening.
func (s *Server) GoAway() {
	s.Resume()
	s.mu.Lock()
	g, serving := s.grpc, s.serving
	s.grpc = nil
	s.mu.Unlock()
	if g != nil {
		g.Stop()
		<-serving
	}
}

// Stall has the control plane neither read nor answer until Resume; its connections stay.
func (s *Server) Stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled == nil {
		s.stalled = make(chan struct{})
	}
}

// Resume ends Stall.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled != nil {
		close(s.stalled)
		s.stalled = nil
	}
}

// Forget drops all that it was set to, as one that restarts with nothing.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds = map[string]*kind{}
}

// Resource is one that is set, with a time to live if that is not 0.
type Resource struct {
	Name string
	Body proto.Message // nil: withdrawn
	TTL  time.Duration
}

// Push sets resources of one type under a version and tells all who ask for them. Those set before stay unless they are
// withdrawn, or all is true. It gives when the last of it was written.
func (s *Server) Push(version string, all bool, set ...Resource) (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	types := map[string]bool{}
	for _, r := range set {
		if r.Body == nil {
			for url, k := range s.kinds {
				if _, ok := k.all[r.Name]; ok {
					delete(k.all, r.Name)
					types[url] = true
				}
			}
			continue
		}
		body, err := anypb.New(r.Body)
		if err != nil {
			return time.Time{}, fmt.Errorf("control plane: %w", err)
		}
		if any, ok := r.Body.(*anypb.Any); ok { // as it is, whatever it is
			body = any
		}
		k := s.kind(body.GetTypeUrl())
		if all && !types[body.GetTypeUrl()] {
			k.all = map[string]resource{}
		}
		types[body.GetTypeUrl()] = true
		k.all[r.Name] = resource{body, version, r.TTL}
	}
	var last time.Time
	for _, url := range slices.Sorted(maps.Keys(types)) {
		s.kind(url).version = version
		for st := range s.streams {
			_ = st.tell(url) // a client that has left meanwhile is no fault of this one's
			last = time.Now()
		}
	}
	return last, nil
}

// Clear withdraws all resources of a type under a version.
func (s *Server) Clear(version, url string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(url)
	k.all, k.version = map[string]resource{}, version
	for st := range s.streams {
		_ = st.tell(url)
	}
	return time.Now()
}

// Raw sends a response as it is on all streams of its variant. An empty nonce is replaced by a new one.
func (s *Server) Raw(sotw *discoveryv3.DiscoveryResponse, delta *discoveryv3.DeltaDiscoveryResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for st := range s.streams {
		switch {
		case sotw != nil && st.sotw != nil:
			r := proto.CloneOf(sotw)
			r.Nonce = cmp.Or(r.Nonce, s.next())
			st.of(r.GetTypeUrl()).nonce = r.Nonce
			errs = append(errs, st.sotw.Send(r))
		case delta != nil && st.delta != nil:
			r := proto.CloneOf(delta)
			r.Nonce = cmp.Or(r.Nonce, s.next())
			st.of(r.GetTypeUrl()).nonce = r.Nonce
			errs = append(errs, st.delta.Send(r))
		}
	}
	return errors.Join(errs...)
}

// Freeze has the control plane tell nothing by itself, so that Raw alone speaks; false ends that.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = on
}

// Requests gives all that came so far.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// Streams is how many are open, and how many ever were.
func (s *Server) Streams() (open, ever int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams), s.opened
}

// Await waits for a request that fits, among those from the one numbered from on (0 is the first). It gives the request
// and its number.
func (s *Server) Await(ctx context.Context, from int, fits func(Request) bool) (Request, int, error) {
	for {
		s.mu.Lock()
		news := s.news
		l := s.requests
		s.mu.Unlock()
		for ; from < len(l); from++ {
			if fits(l[from]) {
				return l[from], from, nil
			}
		}
		select {
		case <-news:
		case <-ctx.Done():
			return Request{}, 0, fmt.Errorf("no such request among %d: %w", len(l), ctx.Err())
		}
	}
}

func (s *Server) kind(url string) *kind {
	k := s.kinds[url]
	if k == nil {
		k = &kind{all: map[string]resource{}}
		s.kinds[url] = k
	}
	return k
}

func (s *Server) next() string {
	s.nonce++
	return "n" + strconv.Itoa(s.nonce)
}

func (s *Server) record(r Request) {
	r.At = time.Now()
	s.requests = append(s.requests, r)
	close(s.news)
	s.news = make(chan struct{})
}

// pause waits while the control plane is stalled.
func (s *Server) pause(ctx context.Context) {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-ctx.Done():
		}
	}
}

// stream is one client's.
type stream struct {
	s     *Server
	n     int
	sotw  discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	delta discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	types map[string]*asked
}

// asked is what a stream's client asked for of one type, and has.
type asked struct {
	names    map[string]bool
	wildcard bool
	nonce    string
	has      map[string]string // incremental: versions by name
	version  string            // state of the world: the last one sent
	sent     bool
}

func (st *stream) of(url string) *asked {
	a := st.types[url]
	if a == nil {
		a = &asked{names: map[string]bool{}, has: map[string]string{}}
		st.types[url] = a
	}
	return a
}

// tell sends what is set of a type, in whole or, to an incremental client, what it has not.
func (st *stream) tell(url string) error {
	a, known := st.types[url]
	if !known || st.s.frozen || st.s.stalled != nil {
		return nil
	}
	k := st.s.kind(url)
	wanted := func(name string) bool { return a.wildcard || a.names[name] }
	if st.sotw != nil {
		r := &discoveryv3.DiscoveryResponse{VersionInfo: k.version, TypeUrl: url, Nonce: st.s.next()}
		for _, name := range slices.Sorted(maps.Keys(k.all)) {
			if !wanted(name) {
				continue
			}
			v := k.all[name]
			if v.ttl > 0 {
				w, err := anypb.New(&discoveryv3.Resource{Name: name, Version: v.version, Resource: v.body, Ttl: durationpb.New(v.ttl)})
				if err != nil {
					return err
				}
				v.body = w
			}
			r.Resources = append(r.Resources, v.body)
		}
		a.nonce, a.version, a.sent = r.Nonce, k.version, true
		return st.sotw.Send(r)
	}
	r := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: k.version, TypeUrl: url, Nonce: st.s.next()}
	for _, name := range slices.Sorted(maps.Keys(k.all)) {
		v := k.all[name]
		if !wanted(name) || a.has[name] == v.version {
			continue
		}
		w := &discoveryv3.Resource{Name: name, Version: v.version, Resource: v.body}
		if v.ttl > 0 {
			w.Ttl = durationpb.New(v.ttl)
		}
		r.Resources = append(r.Resources, w)
		a.has[name] = v.version
	}
	for name := range a.has {
		if _, ok := k.all[name]; !ok {
			r.RemovedResources = append(r.RemovedResources, name)
			delete(a.has, name)
		}
	}
	slices.Sort(r.RemovedResources)
	if a.sent && len(r.Resources)+len(r.RemovedResources) == 0 {
		return nil
	}
	a.nonce, a.sent = r.Nonce, true
	return st.delta.Send(r)
}

type ads struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	s *Server
}

func (a ads) open(st *stream) func() {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.opened++
	st.s, st.n, st.types = a.s, a.s.opened, map[string]*asked{}
	a.s.streams[st] = struct{}{}
	return func() {
		a.s.mu.Lock()
		defer a.s.mu.Unlock()
		delete(a.s.streams, st)
	}
}

// StreamAggregatedResources is the state of the world.
func (a ads) StreamAggregatedResources(in discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	st := &stream{sotw: in}
	defer a.open(st)()
	if err := a.s.enter(in.Context()); err != nil {
		return err
	}
	for {
		r, err := in.Recv()
		if err != nil {
			return nil
		}
		a.s.pause(in.Context())
		if err := a.sotw(st, r); err != nil {
			return err
		}
	}
}

func (a ads) sotw(st *stream, r *discoveryv3.DiscoveryRequest) error {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.record(Request{Stream: st.n, SotW: r})
	_, known := st.types[r.GetTypeUrl()]
	t := st.of(r.GetTypeUrl())
	if known && r.GetResponseNonce() != t.nonce {
		return nil // about an older response: a newer one is on its way
	}
	names := map[string]bool{}
	for _, n := range r.GetResourceNames() {
		names[n] = true
	}
	// The legacy wildcard: a first request that names nothing asks for all.
	wildcard := !known && len(names) == 0 || known && t.wildcard && len(names) == 0
	changed := !maps.Equal(names, t.names) || wildcard != t.wildcard
	t.names, t.wildcard = names, wildcard
	if !known || changed {
		return st.tell(r.GetTypeUrl())
	}
	return nil
}

// DeltaAggregatedResources is the incremental variant.
func (a ads) DeltaAggregatedResources(in discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	st := &stream{delta: in}
	defer a.open(st)()
	if err := a.s.enter(in.Context()); err != nil {
		return err
	}
	for {
		r, err := in.Recv()
		if err != nil {
			return nil
		}
		a.s.pause(in.Context())
		if err := a.incremental(st, r); err != nil {
			return err
		}
	}
}

func (a ads) incremental(st *stream, r *discoveryv3.DeltaDiscoveryRequest) error {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.record(Request{Stream: st.n, Delta: r})
	_, known := st.types[r.GetTypeUrl()]
	t := st.of(r.GetTypeUrl())
	if !known {
		t.wildcard = len(r.GetResourceNamesSubscribe()) == 0
		maps.Copy(t.has, r.GetInitialResourceVersions())
	}
	for _, n := range r.GetResourceNamesSubscribe() {
		if n == "*" {
			t.wildcard = true
			continue
		}
		t.names[n] = true
		if known {
			delete(t.has, n) // asked for again: told again
		}
	}
	for _, n := range r.GetResourceNamesUnsubscribe() {
		delete(t.names, n)
		delete(t.has, n)
	}
	if !known || len(r.GetResourceNamesSubscribe()) > 0 {
		return st.tell(r.GetTypeUrl())
	}
	return nil
}
