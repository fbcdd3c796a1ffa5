// Package demo plays the gateway's main job on stand-ins, on loopback and in bounded time: servers in two zones, a control
// plane and a load, with a server that is slow, one that drains, one that dies, and a control plane that goes away.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"robindrum/internal/config"
	"robindrum/internal/gateway"
	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/origin"
)

// configuration is the gateway's; the control plane's address stands for the %s.
const configuration = `zone: sapporo
listeners: [{name: web, address: "127.0.0.1:0"}]
admin: {address: "127.0.0.1:0"}
limits: {descriptors: 2048, drain: 5s}
classes:
  - {name: seat-map, wanted: 100ms, deadline: 2s, worth: 1, effect: safe}
  - {name: seat-hold, wanted: 150ms, deadline: 2s, worth: 5, effect: keyed, group: zone, window: 4s}
  - {name: pay, wanted: 200ms, deadline: 2s, worth: 20, effect: unsafe}
xds:
  servers: [%q]
  node: {id: try}
  clusters: true
  backoff_base: 100ms
  backoff_most: 500ms
clusters: []
routes:
  - {name: maps, match: {prefix: /maps, methods: [GET]}, cluster: tickets, class: seat-map}
  - {name: holds, match: {template: "/holds/{seat}", methods: [POST]}, cluster: tickets, class: seat-hold, key: {header: Idempotency-Key}}
  - {name: pay, match: {path: /pay, methods: [POST]}, cluster: tickets, class: pay}
`

// zoneLoss is what the scene of a zone's loss adds to the configuration.
const zoneLoss = `zones:
  tiers: [[sapporo], [ishikari]]
`

// Scenes are the plays there are; "" is the first.
var Scenes = []string{"main", "zone-loss", "overload"}

// Options are how it is played.
type Options struct {
	Scene   string        // one of Scenes
	Length  time.Duration // of the load; 0: 20 s
	Rate    int           // requests a second; 0: 250
	Out     io.Writer
	Redraw  bool // Out is a terminal: the table is drawn over itself
	Verbose bool // the gateway's own log lines as well
}

// Summary is what came of it.
type Summary struct {
	Sent, Served, Refused, Failed int64
	Lost                          int64 // no answer at all
	Twice                         int   // effects that were taken twice
	AfterDrain                    int   // requests to one that was draining or removed, more than 1 s after it was told
	Unready                       bool  // the gateway did not become ready
	// Of the scene of a zone's loss: attempts that crossed to the other zone, and the most that any cold server got in a
	// second, over what it could do then.
	Zones   bool
	Crossed uint64
	Worst   float64
	// Of the scene of an overload: the requests by class, and what was refused from 2 s after its end on.
	Classes      []ClassSum
	RefusedAfter int64
}

// ClassSum is what came of a class in the scene of an overload, while it lasted.
type ClassSum struct {
	Name                  string
	Asked, Served, InTime int64
}

// Broken says which rules were broken.
func (s Summary) Broken() error {
	var errs []error
	if s.Unready {
		errs = append(errs, errors.New("the gateway did not become ready"))
	}
	if s.Lost > 0 {
		errs = append(errs, fmt.Errorf("%d requests were lost", s.Lost))
	}
	if s.Twice > 0 {
		errs = append(errs, fmt.Errorf("%d effects were taken twice", s.Twice))
	}
	if s.AfterDrain > 0 {
		errs = append(errs, fmt.Errorf("%d requests were sent after a drain", s.AfterDrain))
	}
	if s.Worst > fall {
		errs = append(errs, fmt.Errorf("a cold server got %.2f times what it can do while it warms up", s.Worst))
	}
	if s.Served == 0 {
		errs = append(errs, errors.New("nothing was served"))
	}
	return errors.Join(errs...)
}

// fall is the multiple of its warm-up capacity at which a cold server falls over: the configuration's default.
const fall = 2.5

// maxRequests bounds the requests of one play.
const maxRequests = 100_000

type server struct {
	*origin.Origin
	name, zone string
	health     corev3.HealthStatus
	listed     bool
	last       int
}

type play struct {
	opt     Options
	began   time.Time
	g       *gateway.Gateway
	plane   *controlplane.Server
	servers []*server
	groups  []*origin.Ledger
	version int
	sum     struct{ sent, served, refused, failed, lost atomic.Int64 }
	over    overload
	events  []string
	drawn   int
	news    chan string // what the gateway says of zones
}

// Run plays it.
func Run(ctx context.Context, opt Options) (Summary, error) {
	opt.Length, opt.Rate = cmp.Or(opt.Length, 20*time.Second), cmp.Or(opt.Rate, 250)
	if n := opt.Length.Seconds() * float64(opt.Rate); n > maxRequests {
		return Summary{}, fmt.Errorf("%.0f requests, %d at most", n, maxRequests)
	}
	if opt.Scene = cmp.Or(opt.Scene, Scenes[0]); !slices.Contains(Scenes, opt.Scene) {
		return Summary{}, fmt.Errorf("there is no scene %q, but %s", opt.Scene, strings.Join(Scenes, ", "))
	}
	p := &play{opt: opt, news: make(chan string, 64)}
	defer p.end()
	if err := p.begin(); err != nil {
		return Summary{}, err
	}
	ready := p.await(ctx)
	if !ready {
		return Summary{Unready: true}, ctx.Err()
	}
	p.began = time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.load(ctx)
	}()
	p.direct(ctx, done)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	p.g.Stop(stop)
	return p.summary(), ctx.Err()
}

func (p *play) begin() (err error) {
	if p.plane, err = controlplane.Start(""); err != nil {
		return err
	}
	for _, zone := range []string{"sapporo", "ishikari"} {
		group := origin.NewLedger()
		p.groups = append(p.groups, group)
		for i := range 3 {
			o, err := origin.Start("", group)
			if err != nil {
				return err
			}
			o.SetDelay(4 * time.Millisecond)
			p.servers = append(p.servers, &server{Origin: o, name: fmt.Sprintf("%s-%d", zone, i+1), zone: zone, health: corev3.HealthStatus_HEALTHY, listed: true})
		}
	}
	conf := fmt.Sprintf(configuration, p.plane.Addr)
	if p.overloading() {
		p.fewer()
	} else if p.losing() {
		conf += zoneLoss
		for _, s := range p.servers { // 160 requests a second each, once it is warm
			s.SetDelay(25 * time.Millisecond)
			s.SetCapacity(origin.Capacity{Workers: 4, WarmUp: 10 * time.Second, InitialSpeed: 0.1})
		}
	} else {
		p.servers[2].SetDelay(80 * time.Millisecond)
	}
	if err := p.push(); err != nil {
		return err
	}
	f, err := config.Parse("try.yaml", []byte(conf))
	if err != nil {
		return err
	}
	handler := slog.DiscardHandler
	if p.opt.Verbose {
		handler = slog.NewTextHandler(p.opt.Out, nil)
	}
	log := slog.New(&listener{handler, p.news})
	p.g, err = gateway.New(f, log)
	return err
}

func (p *play) end() {
	if p.g != nil {
		p.g.Close()
	}
	if p.plane != nil {
		p.plane.Stop()
	}
	for _, s := range p.servers {
		s.Kill()
	}
}

// await waits until the gateway is ready.
func (p *play) await(ctx context.Context) bool {
	end := time.NewTimer(10 * time.Second)
	defer end.Stop()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for !p.g.Ready() {
		select {
		case <-ctx.Done():
			return false
		case <-end.C:
			return false
		case <-look.C:
		}
	}
	return true
}

func (p *play) list() *endpointv3.ClusterLoadAssignment {
	var l []controlplane.Endpoint
	for _, s := range p.servers {
		if s.listed {
			l = append(l, controlplane.Endpoint{Addr: s.Addr, Zone: s.zone, Health: s.health})
		}
	}
	return controlplane.Assignment("tickets", l...)
}

// push tells the gateway the list as it is now.
func (p *play) push() error {
	p.version++
	_, err := p.plane.Push(fmt.Sprint(p.version), false, controlplane.Resource{Name: "tickets", Body: controlplane.Cluster("tickets", "")},
		controlplane.Resource{Name: "tickets", Body: p.list()})
	return err
}

// scene is what happens at a part of the time.
type scene struct {
	at   float64
	text string
	do   func() error
}

func (p *play) losing() bool { return p.opt.Scene == "zone-loss" }

func (p *play) scenes() []scene {
	if p.losing() {
		return p.loss()
	}
	if p.overloading() {
		return p.overloads()
	}
	drain, die, leave := p.servers[1], p.servers[4], p.servers[0]
	return []scene{
		{0, "the load begins; sapporo-3 takes 80 ms, the others 4 ms", nil},
		{0.15, "sapporo-2 drains", func() error {
			drain.health = corev3.HealthStatus_DRAINING
			err := p.push()
			drain.SetDrainedAt(time.Now())
			return err
		}},
		{0.3, "ishikari-2 dies, and nobody says so", func() error { die.Kill(); return nil }},
		{0.4, "the control plane sends a list with port 0: refused, the one before goes on", func() error {
			bad := p.list()
			bad.Endpoints[0].LbEndpoints[0].GetEndpoint().Address.GetSocketAddress().PortSpecifier = &corev3.SocketAddress_PortValue{}
			_, err := p.plane.Push("bad", false, controlplane.Resource{Name: "tickets", Body: bad})
			return err
		}},
		{0.5, "ishikari-2 is back, and cold: taken from the list and put on it again", func() error {
			if err := die.Restart(); err != nil {
				return err
			}
			die.listed = false
			if err := p.push(); err != nil {
				return err
			}
			die.listed = true
			return p.push()
		}},
		{0.6, "the control plane goes away", func() error { p.plane.Stop(); return nil }},
		{0.75, "the control plane is back, without sapporo-1 and with an older version", func() error {
			leave.listed = false
			p.plane.ClearAll()
			p.version = 0
			if err := p.push(); err != nil {
				return err
			}
			if err := p.plane.Restart(); err != nil {
				return err
			}
			return nil
		}},
		{0.85, "sapporo-1 has left the list by now", func() error { leave.SetDrainedAt(time.Now()); return nil }},
	}
}

// direct plays the scenes and shows every second how it goes, until the load is done.
func (p *play) direct(ctx context.Context, done <-chan struct{}) {
	scenes := p.scenes()
	show := time.NewTicker(time.Second)
	defer show.Stop()
	for {
		var next <-chan time.Time
		if len(scenes) > 0 {
			next = time.After(time.Until(p.began.Add(time.Duration(scenes[0].at * float64(p.opt.Length)))))
		}
		select {
		case <-done:
			p.show()
			return
		case <-ctx.Done():
			<-done
			return
		case <-show.C:
			p.show()
		case text := <-p.news:
			p.say(text)
		case <-next:
			s := scenes[0]
			scenes = scenes[1:]
			text := s.text
			if s.do != nil {
				if err := s.do(); err != nil {
					text += ": " + err.Error()
				}
			}
			p.say(text)
		}
	}
}

func (p *play) say(text string) {
	line := fmt.Sprintf("%5.1f s  %s", time.Since(p.began).Seconds(), text)
	if p.opt.Redraw {
		p.events = append(p.events, line)
		p.show()
		return
	}
	fmt.Fprintln(p.opt.Out, line)
}

// show draws the state: a table on a terminal, a line elsewhere.
func (p *play) show() {
	s := p.g.Status(0)
	out := map[string]string{}
	for _, c := range s.Clusters {
		for _, e := range c.Endpoints {
			out[e.Address] = cmp.Or(e.ExcludedReason, "in use")
		}
	}
	var b strings.Builder
	if !p.opt.Redraw {
		fmt.Fprintf(&b, "%5.1f s  sent %d, served %d, refused %d, failed %d, lost %d | a second by server:", time.Since(p.began).Seconds(),
			p.sum.sent.Load(), p.sum.served.Load(), p.sum.refused.Load(), p.sum.failed.Load(), p.sum.lost.Load())
		for _, v := range p.servers {
			n := v.Requests()
			fmt.Fprintf(&b, " %d", n-v.last)
			v.last = n
		}
		b.WriteString(zones(s))
		b.WriteString(p.admission(s))
		fmt.Fprintln(p.opt.Out, b.String())
		return
	}
	if p.drawn > 0 {
		fmt.Fprintf(&b, "\x1b[%dA\x1b[J", p.drawn)
	}
	var t strings.Builder
	fmt.Fprintf(&t, "sent %d  served %d  refused %d  failed %d  lost %d\n\n", p.sum.sent.Load(), p.sum.served.Load(), p.sum.refused.Load(),
		p.sum.failed.Load(), p.sum.lost.Load())
	fmt.Fprintf(&t, "%-12s %-22s %9s %9s  %s\n", "SERVER", "ADDRESS", "REQUESTS", "IN FLIGHT", "ON THE LIST")
	for _, v := range p.servers {
		now, _ := v.InFlight()
		fmt.Fprintf(&t, "%-12s %-22s %9d %9d  %s\n", v.name, v.Addr, v.Requests(), now, cmp.Or(out[v.Addr], "not listed"))
	}
	fmt.Fprintf(&t, "%s\n", strings.TrimPrefix(zones(s)+p.admission(s), " |"))
	for _, e := range p.events {
		fmt.Fprintln(&t, e)
	}
	p.drawn = strings.Count(t.String(), "\n")
	fmt.Fprint(p.opt.Out, b.String(), t.String())
}

// load sends the requests at their rate, whatever becomes of those before.
func (p *play) load(ctx context.Context) {
	tr := &http.Transport{MaxIdleConnsPerHost: 1024, MaxConnsPerHost: 1024, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: 10 * time.Second}
	base := "http://" + p.g.Addr("web").String()
	var all sync.WaitGroup
	defer all.Wait()
	i := -1
	gap := 0.0
	for sec := 0.0; sec+gap/2 < p.opt.Length.Seconds(); sec += gap { // sums of gaps are not exact
		at := time.Duration(sec * float64(time.Second))
		gap = 1 / p.rate(at)
		i++
		if d := time.Until(p.began.Add(at)); d > 0 {
			t := time.NewTimer(d)
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
		}
		n := i
		all.Go(func() { p.one(client, base, n) })
	}
}

func (p *play) one(client *http.Client, base string, i int) {
	method, path, body := http.MethodGet, fmt.Sprintf("/maps/%d", rand.IntN(100)), ""
	switch i % 20 {
	case 0:
		method, path, body = http.MethodPost, "/pay", "pay"
	case 1, 2, 3, 4, 5:
		method, path, body = http.MethodPost, fmt.Sprintf("/holds/%d", i), "hold"
	}
	r, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		p.sum.lost.Add(1)
		return
	}
	r.Header.Set("X-Request-Id", fmt.Sprint("try-", i))
	if body == "hold" {
		r.Header.Set("Idempotency-Key", fmt.Sprint("key-", i))
	}
	p.sum.sent.Add(1)
	began := time.Now()
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err == nil {
		p.over.count(p, i%20, began, resp.StatusCode)
	}
	switch {
	case err != nil:
		p.sum.lost.Add(1)
	case resp.StatusCode == http.StatusOK:
		p.sum.served.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable:
		p.sum.refused.Add(1)
	default:
		p.sum.failed.Add(1)
	}
}

func (p *play) summary() Summary {
	s := Summary{Sent: p.sum.sent.Load(), Served: p.sum.served.Load(), Refused: p.sum.refused.Load(), Failed: p.sum.failed.Load(),
		Lost: p.sum.lost.Load(), Twice: origin.DuplicateEffects(p.groups...)}
	for _, v := range p.servers {
		s.AfterDrain += v.RequestsAfterDrain(time.Second)
		s.Worst = max(s.Worst, v.MaxColdLoad())
	}
	if p.overloading() {
		s.Classes, s.RefusedAfter = p.over.sums(), p.over.refusedAfter.Load()
	}
	if s.Zones = p.losing(); s.Zones {
		for _, c := range p.g.Status(1).Clusters {
			for _, z := range c.Zones {
				s.Crossed += z.Crossed
			}
		}
	}
	return s
}

// Print writes a summary.
func (s Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "\nsent                 %6d\nserved               %6d\nrefused              %6d  (503: asking again is harmless)\n"+
		"failed               %6d  (what may have run and must not run twice)\nlost                 %6d  (must be 0)\n"+
		"effects taken twice  %6d  (must be 0)\nsends after a drain  %6d  (must be 0)\n", s.Sent, s.Served, s.Refused, s.Failed, s.Lost, s.Twice, s.AfterDrain)
	for _, c := range s.Classes {
		fmt.Fprintf(out, "%-20s %5.1f%% served, %5.1f%% in time, of %d while the load was three times what the servers do\n", c.Name,
			100*float64(c.Served)/float64(max(c.Asked, 1)), 100*float64(c.InTime)/float64(max(c.Asked, 1)), c.Asked)
	}
	if len(s.Classes) > 0 {
		fmt.Fprintf(out, "refused afterwards   %6d  (from 2 s after the overload on)\n", s.RefusedAfter)
	}
	if s.Zones {
		fmt.Fprintf(out, "crossed              %6d  (attempts that went to ishikari)\nworst cold server    %6.2f  (load over what it can do while it warms up; must be at most %.1f)\n", s.Crossed, s.Worst, fall)
	}
}
