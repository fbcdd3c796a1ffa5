// Package fleet wires a process to the others of its fleet by its configuration: its one address, the members, its vote, and
// the duties that it may hold. Nothing on a request's path waits for it or asks it.
package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/leaderelection"
	"robindrum/internal/lease"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

// Fleet is one process's place. Its methods may be called by several goroutines at once.
type Fleet struct {
	conf    *config.Fleet
	log     *slog.Logger
	now     func() time.Duration
	node    *peer.Node
	list    *membership.List
	server  *quorum.Server // nil: it does not vote
	client  *quorum.Client
	runner  *leaderelection.Elector
	duties  []leaderelection.Task
	noVote  string // why a voter does not vote from its start on
	post    *http.Client
	zone    string
	orders  orders
	life    context.Context // of the duties
	end     context.CancelFunc
	work    sync.WaitGroup
	voting  context.Context // of what a leader does
	resign  context.CancelFunc
	leading sync.WaitGroup
}

// Version is this program's.
func Version() string {
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version[:min(len(i.Main.Version), 48)]
	}
	return "unknown"
}

// ConfigVersion stands for a configuration's contents.
func ConfigVersion(text []byte) string {
	d := sha256.Sum256(text)
	return hex.EncodeToString(d[:6])
}

// ConfigDigest is what a released configuration is called by.
func ConfigDigest(text []byte) string {
	d := sha256.Sum256(text)
	return hex.EncodeToString(d[:])
}

// New opens the address and, where this process is a voter, its folder. A folder that cannot be used keeps it from voting
// and from nothing else: see NoVote. Start has it speak.
func New(c *config.Fleet, zone, version string, state membership.State, log *slog.Logger) (*Fleet, error) {
	return NewOn(nil, c, zone, version, state, log)
}

// NewOn is New on a network of the caller's; nil: this machine's sockets.
func NewOn(network peer.Network, c *config.Fleet, zone, version string, state membership.State, log *slog.Logger) (*Fleet, error) {
	via := map[string]string{}
	for _, v := range c.Via {
		via[v.Member] = v.At
	}
	now := Clock
	f := &Fleet{conf: c, log: log, now: now, post: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}}
	f.orders.f, f.orders.absent, f.orders.news = f, map[string]time.Duration{}, make(chan struct{}, 1)
	f.life, f.end = context.WithCancel(context.Background())
	f.voting, f.resign = context.WithCancel(context.Background())
	var err error
	if f.node, err = peer.Listen(peer.Options{Fleet: c.Name, Address: c.Address, Via: via, Network: network, Log: log}); err != nil {
		return nil, err
	}
	voters := make([]quorum.Voter, 0, len(c.Quorum.Voters))
	for _, v := range c.Quorum.Voters {
		voters = append(voters, quorum.Voter(v))
	}
	if c.Votes() {
		f.server, err = quorum.Open(f.node, quorum.Options{Dir: c.Quorum.Folder, Name: c.Member, Voters: voters, Heartbeat: c.Quorum.Heartbeat.D(),
			MaxLogBytes: int64(c.Quorum.MaxBytes), Log: log})
		if err != nil {
			f.noVote = err.Error()
			log.Error("this process does not vote", "err", err)
		}
	}
	f.client = quorum.NewClient(f.node, voters, min(2*c.Quorum.Heartbeat.D(), c.Lease.D()/4), now)
	// Births rise with each start as long as the clock does not go back by more than a process lives.
	self := membership.Member{Name: c.Member, Site: c.Site, Zone: zone, Program: Version(), Config: version, Incarnation: uint64(time.Now().UnixNano()), State: state, Address: c.Advertise}
	f.zone = zone
	f.runner = leaderelection.NewElector(f.client, leaderelection.Options{Member: lease.Member{Name: c.Member, Incarnation: self.Incarnation, Site: c.Site}, Now: now, Log: log})
	for _, p := range c.Posts {
		f.AddTask(leaderelection.Task{Name: "post/" + p.Name, Rules: f.Rules(""), Run: f.poster(p)})
	}
	if f.list, err = membership.Start(f.node, membership.Options{Fleet: c.Name, Self: self, Seeds: c.Seeds, Probe: c.Probe.D(), Forget: c.Forget.D(), Now: now, Log: log}); err != nil {
		f.Stop(0)
		return nil, err
	}
	return f, nil
}

// Rules are of a duty's lease, by preference of a site. Whoever waits for three lengths is not passed over any more.
func (f *Fleet) Rules(site string) lease.Rules {
	return lease.Rules{Length: f.conf.Lease.D(), Site: site, MaxWait: min(3*f.conf.Lease.D(), lease.MaxLength), MinHold: 0}
}

// AddTask has a duty asked for from Start on.
func (f *Fleet) AddTask(d leaderelection.Task) { f.duties = append(f.duties, d) }

// Node is its address, for handlers that are registered before Start.
func (f *Fleet) Node() *peer.Node { return f.node }

// Members are who is there.
func (f *Fleet) Members() membership.View { return f.list }

// Zone is this process's zone.
func (f *Fleet) Zone() string { return f.zone }

// Config is what it was made from.
func (f *Fleet) Config() *config.Fleet { return f.conf }

// NoVote is why a voter does not vote; empty: it does, or is none.
func (f *Fleet) NoVote() string {
	if f.noVote == "" && f.server != nil {
		return f.server.Stopped()
	}
	return f.noVote
}

// Start has it speak: with the members, as a voter, and for the duties.
func (f *Fleet) Start() {
	f.node.Serve()
	if f.server != nil {
		f.server.Start()
		f.leading.Go(func() { f.orders.lead(f.voting) })
	}
	for _, d := range f.duties {
		f.work.Go(func() { f.runner.Run(f.life, d) })
	}
	f.work.Go(f.watch)
	if f.orders.agent != nil {
		f.leading.Go(func() { f.orders.configure(f.voting) })
	}
}

// watch asks for duties whose holder may have gone.
func (f *Fleet) watch() {
	events := f.list.Watch()
	for {
		select {
		case <-f.life.Done():
			return
		case e := <-events:
			if e.Restarted || e.Member.State != membership.Joining && e.Member.State != membership.Serving {
				f.runner.Wake()
			}
		}
	}
}

// Announce changes what this process says of itself.
func (f *Fleet) Announce(s membership.State, version string) { f.list.Announce(s, version) }

// Drain ends the duties and gives their leases back; all else goes on.
func (f *Fleet) Drain() {
	f.end()
	f.work.Wait() // so that a duty is free when the others hear of it
	f.list.Announce(membership.Draining, f.list.Self().Config)
}

// Stop ends the duties, gives their leases back, says that this process leaves, within so long, and ends.
func (f *Fleet) Stop(within time.Duration) {
	f.end()
	f.resign()
	f.work.Wait()
	f.leading.Wait()
	if f.list != nil {
		f.list.Announce(membership.Leaving, f.list.Self().Config)
		f.list.Stop(within)
	}
	if f.server != nil {
		f.server.Close()
	}
	f.node.Close()
	f.post.CloseIdleConnections()
}

// poster is the duty of a post.
func (f *Fleet) poster(p config.Post) func(context.Context, *leaderelection.Leadership) {
	return func(ctx context.Context, h *leaderelection.Leadership) {
		tick := time.NewTicker(p.Every.D())
		defer tick.Stop()
		for n := 0; ; n++ {
			if err := f.postOnce(ctx, p, h, n); err != nil && ctx.Err() == nil {
				f.log.Warn("a post was not taken", "post", p.Name, "err", err)
			}
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}
}

// Headers of a post.
const (
	TokenHeader    = "Robindrum-Token"
	MemberHeader   = "Robindrum-Member"
	JudgedAtHeader = "Robindrum-Began" // the reading of this machine's clock by which the lease was judged, in nanoseconds
	NumberHeader   = "Robindrum-Number"
)

func (f *Fleet) postOnce(ctx context.Context, p config.Post, h *leaderelection.Leadership, n int) error {
	token, at, ok := h.Token()
	if !ok {
		return errors.New("the lease is over")
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout.D())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.URL, bytes.NewReader(nil))
	if err != nil {
		return err
	}
	r.Header.Set(TokenHeader, strconv.FormatUint(token, 10))
	r.Header.Set(MemberHeader, f.conf.Member)
	r.Header.Set(JudgedAtHeader, strconv.FormatInt(int64(at), 10))
	r.Header.Set(NumberHeader, strconv.Itoa(n))
	resp, err := f.post.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %s", p.URL, resp.Status)
	}
	return nil
}

// Status is how this process stands in its fleet.
type Status struct {
	Name      string                  `json:"name"`
	Self      membership.Member       `json:"self"`
	Members   []membership.Member     `json:"members"`
	Conflicts int                     `json:"conflicts"`
	Contact   quorum.Contact          `json:"quorum"`
	Vote      *quorum.Status          `json:"vote,omitempty"`
	NoVote    string                  `json:"no_vote,omitempty"`
	Tasks     []leaderelection.Status `json:"duties"`
	SentBytes int64                   `json:"sent_bytes"`
	Traffic   peer.Traffic            `json:"traffic"`
	// Stale says what needs the quorum and has not had it for longer than a lease.
	Stale string        `json:"stale,omitempty"`
	Now   time.Duration `json:"now"`
	// Ledger is what a voter has of orders and releases; nil: this process does not vote.
	Ledger *quorum.Summary `json:"book,omitempty"`
}

// Status tells how it stands.
func (f *Fleet) Status() Status {
	s := Status{Name: f.conf.Name, Self: f.list.Self(), Members: f.list.Members(), Conflicts: f.list.Conflicts(), Contact: f.client.Contact(), NoVote: f.NoVote(),
		Tasks: f.runner.Status(), SentBytes: f.node.Sent(), Traffic: f.node.Traffic(), Now: f.now()}
	slices.SortFunc(s.Tasks, func(a, b leaderelection.Status) int { return strings.Compare(a.Name, b.Name) })
	if f.server != nil {
		v := f.server.Status()
		s.Vote = &v
		b := f.server.Summary()
		s.Ledger = &b
	}
	if len(f.duties) > 0 && s.Contact.Error != "" && (s.Contact.Age < 0 || s.Contact.Age > f.conf.Lease.D()) {
		s.Stale = "no word of the quorum: nobody takes a duty over, what is served stays as it is"
	}
	return s
}

// Leases asks the quorum for all leases.
func (f *Fleet) Leases(ctx context.Context) (quorum.LeaseList, error) { return f.client.Leases(ctx) }

// Revoke has a lease end with the length that its holder was granted last.
func (f *Fleet) Revoke(ctx context.Context, name string) error {
	r, _, err := f.client.Do(ctx, quorum.Command{Op: quorum.OpRevoke, Lease: name})
	if err != nil {
		return err
	}
	return r.Err()
}

// Handler answers the operators: GET /fleet, GET /fleet/leases, POST /fleet/revoke?lease=NAME, GET
// /fleet/orders, POST /fleet/drain, undrain, halt and resume.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, v any, err error) {
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(v) // to one who has left
	}
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) { answer(w, f.Status(), nil) })
	mux.HandleFunc("GET /fleet/leases", func(w http.ResponseWriter, r *http.Request) {
		l, err := f.Leases(r.Context())
		answer(w, l, err)
	})
	mux.HandleFunc("POST /fleet/revoke", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
		defer cancel()
		answer(w, struct{}{}, f.Revoke(ctx, r.URL.Query().Get("lease")))
	})
	mux.HandleFunc("GET /fleet/orders", func(w http.ResponseWriter, r *http.Request) {
		l, err := f.Drains(r.Context())
		answer(w, l, err)
	})
	for path, op := range map[string]quorum.Op{"drain": quorum.OpDrain, "undrain": quorum.OpCancelDrain, "halt": quorum.OpHaltDrains, "resume": quorum.OpResumeDrains} {
		mux.HandleFunc("POST /fleet/"+path, func(w http.ResponseWriter, r *http.Request) {
			var o drain.Request
			if err := json.NewDecoder(io.LimitReader(r.Body, 64<<10)).Decode(&o); err != nil && (op == quorum.OpDrain || op == quorum.OpCancelDrain) {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
			defer cancel()
			x, err := f.order(ctx, op, &o)
			answer(w, x, err)
		})
	}
	mux.HandleFunc("GET /fleet/releases", func(w http.ResponseWriter, r *http.Request) {
		l, err := f.client.Releases(r.Context())
		answer(w, l, err)
	})
	mux.HandleFunc("POST /fleet/release", func(w http.ResponseWriter, r *http.Request) {
		var c quorum.Command
		if err := json.NewDecoder(io.LimitReader(r.Body, 4*release.MaxConfigBytes)).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		switch c.Op {
		case quorum.OpStoreConfig, quorum.OpStartRelease, quorum.OpHaltRelease, quorum.OpResumeRelease, quorum.OpRollbackRelease, quorum.OpStopRelease:
		default:
			http.Error(w, fmt.Sprintf("no such command: %q", c.Op), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
		defer cancel()
		x, _, err := f.client.Do(ctx, c)
		if err == nil {
			err = x.Err()
		}
		answer(w, struct{}{}, err)
	})
	return mux
}
