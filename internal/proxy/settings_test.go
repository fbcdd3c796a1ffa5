package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
	"robindrum/internal/testbed"
)

// The clocks of clients and backends, and how long a busy machine may take between two of their readings.
const auditSlack = 250 * time.Millisecond

// seen is an attempt as a backend saw it: when its last byte arrived, when it ended there, and whether it can have been executed.
type seen struct {
	id, tenant, key string
	server          balancer.Server
	at, over        time.Time
	ran             bool
}

// asked is a request as its client saw it.
type asked struct {
	id, class, tenant, key string
	sent, left             time.Time // left: when the client disconnected; zero: it did not
	deadline               time.Duration
	at                     time.Time
	status                 int // 0: no complete answer
	body                   string
}

// auditor checks what clients and backends saw against the four rules. It knows the settings and nothing of the node.
type auditor struct {
	classes  map[string]balancer.Class
	parallel bool
	most     int
	asked    []asked
	seen     []seen
	drained  map[string]time.Time // when the node was notified
}

func (a *auditor) faults() (l []string) {
	say := func(f string, args ...any) { l = append(l, fmt.Sprintf(f, args...)) }
	by := map[string][]seen{}
	for _, s := range a.seen {
		by[s.id] = append(by[s.id], s)
		if at, ok := a.drained[s.server.ID]; ok && s.at.Sub(at) > auditSlack {
			say("drain: %s was sent to %s %v after the word", s.id, s.server.ID, s.at.Sub(at))
		}
	}
	for _, q := range a.asked {
		tries := by[q.id]
		slices.SortFunc(tries, func(x, y seen) int { return x.at.Compare(y.at) })
		end := q.at
		if !q.left.IsZero() {
			end = q.left
		}
		if q.left.IsZero() {
			if q.status == 0 || q.at.Sub(q.sent) > q.deadline+auditSlack {
				say("lost: %s has status %d after %v of %v", q.id, q.status, q.at.Sub(q.sent), q.deadline)
			}
			made := slices.ContainsFunc(tries, func(s seen) bool { return q.body == s.id+"@"+s.server.ID && s.ran })
			if q.status == http.StatusOK && !made {
				say("lost: %s was served with %q, which no backend made for it", q.id, q.body)
			}
		}
		c, known := a.classes[q.class]
		if !known {
			if len(tries) > 0 {
				say("class: %s of the unknown class %q was sent on", q.id, q.class)
			}
			continue
		}
		if len(tries) > max(a.most, 1) {
			say("attempts: %s was sent %d times", q.id, len(tries))
		}
		var ran []seen
		for i, s := range tries {
			if s.at.Sub(end) > auditSlack {
				say("late: %s was sent %v after its end", q.id, s.at.Sub(end))
			}
			if s.tenant != q.tenant || s.key != q.key {
				say("mixed: %s of %q, key %q, came as of %q, key %q", q.id, q.tenant, q.key, s.tenant, s.key)
			}
			for _, p := range tries[:i] {
				if out := p.over.Sub(s.at); out > auditSlack && (!a.parallel || c.Effect == balancer.NonIdempotent) {
					say("twice: %s was out at %s for %v more as it went to %s", q.id, p.server.ID, out, s.server.ID)
				}
			}
			for _, p := range ran {
				far := c.Group == balancer.GroupZone && p.server.Zone != s.server.Zone ||
					c.Group == balancer.GroupCell && (p.server.Zone != s.server.Zone || p.server.Cell != s.server.Cell)
				if c.Effect == balancer.NonIdempotent || c.Effect == balancer.IdempotentWithKey && (far || s.at.Sub(p.at) > c.Window+auditSlack) {
					say("effect: %s may have run at %s and went to %s, %v later", q.id, p.server.ID, s.server.ID, s.at.Sub(p.at))
				}
			}
			if s.ran {
				ran = append(ran, s)
			}
		}
		if refused := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests; refused && len(ran) > 0 &&
			(c.Effect == balancer.NonIdempotent || c.Effect == balancer.IdempotentWithKey && c.Group != balancer.GroupAll) {
			say("refusal: %s may have run and was answered %d", q.id, q.status)
		}
	}
	return l
}

// site is random settings, and backends that misbehave now and then.
type site struct {
	set     balancer.Settings
	servers []balancer.Server
	audit   auditor
	mu      sync.Mutex
}

func drawn(rng *rand.Rand) *site {
	name := func() string {
		b := make([]byte, 1+rng.IntN(12))
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz-_0123456789"[rng.IntN(38)]
		}
		return string(b)
	}
	flip := func() bool { return rng.IntN(2) == 0 }
	s := &site{set: balancer.Settings{Zone: "z0", Zones: []string{"z0", "z1"}, Proxies: 1 + rng.IntN(40), MaxAttempts: 1 + rng.IntN(5),
		MayCancel: flip(), ParallelAttempts: flip(), RetryAfter: flip(), MaxRetryAfter: time.Second, OverQuotaWeight: 0.1, WeightByWork: flip(),
		WarmUpTime: time.Second, WarmUpShare: 0.3, OverloadMultiple: 3, OverloadWindow: time.Second, DrainGrace: time.Second}}
	s.set.Price.CrossZone = rng.Float64() * 0.05
	for range 1 + rng.IntN(4) {
		d := time.Duration(80+rng.IntN(300)) * time.Millisecond
		c := balancer.Class{Name: name() + fmt.Sprint(len(s.set.Classes)), LatencyObjective: d / time.Duration(1+rng.IntN(4)), Deadline: d,
			Effect: balancer.Effect(rng.IntN(3)), Group: balancer.Group(rng.IntN(3)), Window: time.Duration(30+rng.IntN(400)) * time.Millisecond, PriorityWeight: 1 + rng.Float64()}
		s.set.Classes = append(s.set.Classes, c)
	}
	for range rng.IntN(3) {
		s.set.Tenants = append(s.set.Tenants, balancer.Tenant{Name: name(), Rate: 1 + 200*rng.Float64(), Quota: rng.Float64()})
	}
	s.audit = auditor{classes: map[string]balancer.Class{}, parallel: s.set.ParallelAttempts, most: s.set.MaxAttempts, drained: map[string]time.Time{}}
	for _, c := range s.set.Classes {
		s.audit.classes[c.Name] = c
	}
	return s
}

// serve reads requests and answers them correctly, wrongly, late or not at all.
func (s *site) serve(server balancer.Server, seed uint64) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			a := seen{id: req.Header.Get("X-Trace-Id"), tenant: req.Header.Get("X-Customer"), key: req.URL.Query().Get("obj"), server: server, at: time.Now(), ran: true}
			out, ends := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s@%s", len(a.id)+1+len(server.ID), a.id, server.ID), false
			switch rng.IntN(12) {
			case 0:
				out = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
			case 1, 2:
				out, a.ran = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", false
			case 3:
				out, ends = "", true
			case 4:
				out, ends = "nonsense\r\n\r\n", true
			case 5:
				out, ends = out[:len(out)-1], true
			case 6: // no answer
				c.SetReadDeadline(time.Now().Add(2 * time.Second))
				_, _ = r.Peek(1)
				out, ends = "", true
			default: // or late, unless the attempt ends before
				c.SetReadDeadline(time.Now().Add(time.Duration(rng.IntN(60)) * time.Millisecond))
				if _, err := r.Peek(1); err == io.EOF {
					out, ends = "", true
				}
				c.SetReadDeadline(time.Time{})
			}
			a.over = time.Now()
			s.mu.Lock()
			s.audit.seen = append(s.audit.seen, a)
			s.mu.Unlock()
			if _, _ = io.WriteString(c, out); ends {
				return
			}
		}
	}
}

// ask has one client send some requests, one after the other.
func (s *site) ask(t *testing.T, addr string, rng *rand.Rand, who int) {
	var c net.Conn
	var r *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for i := range 12 {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", addr); err != nil {
				t.Error(err)
				return
			}
			r = bufio.NewReader(c)
		}
		q := asked{id: fmt.Sprintf("c%d-%d", who, i), class: "none-such"}
		effect := balancer.Idempotent
		if k := rng.IntN(20); k > 0 {
			class := s.set.Classes[rng.IntN(len(s.set.Classes))]
			q.class, q.deadline, effect = class.Name, class.Deadline, s.audit.classes[class.Name].Effect
		}
		if q.deadline > 0 && rng.IntN(3) == 0 {
			q.deadline = q.deadline/2 + time.Duration(rng.Int64N(int64(q.deadline/2)))
			q.deadline = q.deadline.Truncate(time.Millisecond)
		}
		text := "GET /" + q.class + "/x"
		if effect != balancer.Idempotent {
			text = "POST /" + q.class + "/x"
		}
		if rng.IntN(3) > 0 {
			q.key = fmt.Sprint("k", rng.IntN(4))
			text += "?obj=" + q.key
		}
		text += " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + q.id + "\r\n"
		if rng.IntN(3) > 0 { // otherwise the class is part of the path
			text += "X-Qos: " + q.class + "\r\n"
		}
		switch k := rng.IntN(4); {
		case k == 0:
			q.tenant = "stranger"
		case k < 3 && len(s.set.Tenants) > 0:
			q.tenant = s.set.Tenants[rng.IntN(len(s.set.Tenants))].Name
		}
		if q.tenant != "" {
			text += "X-Customer: " + q.tenant + "\r\n"
		}
		if effect == balancer.IdempotentWithKey {
			text += "Idempotency-Key: " + q.id + "\r\n"
		}
		if q.deadline > 0 {
			text += fmt.Sprintf("X-Expires-In-Ms: %d\r\n", q.deadline.Milliseconds())
		}
		if effect != balancer.Idempotent {
			text += "Content-Length: 1\r\n\r\nx"
		} else {
			text += "\r\n"
		}
		q.sent = time.Now()
		_, _ = io.WriteString(c, text)
		if rng.IntN(8) == 0 { // the client disconnects
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			c.Close()
			c, q.left = nil, time.Now()
			s.add(q)
			continue
		}
		c.SetReadDeadline(time.Now().Add(testbed.WaitTimeout))
		if resp, err := http.ReadResponse(r, nil); err == nil {
			text, err := io.ReadAll(resp.Body)
			if q.at = time.Now(); err == nil {
				q.status, q.body = resp.StatusCode, string(text)
			}
			if resp.Close {
				c.Close()
				c = nil
			}
		} else {
			q.at = time.Now()
			c.Close()
			c = nil
		}
		s.add(q)
	}
}

func (s *site) add(q asked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.audit.asked = append(s.audit.asked, q)
}

// play runs a node with the given settings in front of the site's backends, and returns the faults that the auditor finds.
func (s *site) play(t *testing.T, rng *rand.Rand, told balancer.Settings) []string {
	t.Helper()
	budget := backend.NewBudget(200)
	pool := backend.NewPool(backend.Options{ConnectTimeout: 200 * time.Millisecond, IdleTimeout: time.Second}, budget)
	n, err := New(Options{Settings: told, Seed: rng.Uint64(), BodyBytes: 1 << 20, Budget: budget}, pool)
	if err != nil {
		t.Fatal(err)
	}
	u := discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot}, Endpoints: map[string]string{}}
	for i := range 4 + rng.IntN(5) {
		server := balancer.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2), Cell: i % 4 / 2, Weight: 1}
		s.servers = append(s.servers, server)
		u.Servers = append(u.Servers, server)
		u.Endpoints[server.ID] = testbed.NewPeer(t, s.serve(server, rng.Uint64())).Addr
	}
	if rng.IntN(2) == 0 { // and one that refuses
		u.Servers = append(u.Servers, balancer.Server{ID: "none", Zone: "z0", Weight: 1})
		u.Endpoints["none"] = testbed.RefusingAddress(t)
	}
	n.UpdateEndpoints(u)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { n.Serve(l); close(served) }()
	var all sync.WaitGroup
	for i := range 16 {
		seed := rng.Uint64()
		all.Go(func() { s.ask(t, l.Addr().String(), rand.New(rand.NewPCG(seed, 1)), i) })
	}
	time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	drained := s.servers[rng.IntN(len(s.servers))]
	drained.State = balancer.Draining
	n.UpdateEndpoints(discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Servers: []balancer.Server{drained}},
		Endpoints: map[string]string{drained.ID: u.Endpoints[drained.ID]}})
	s.mu.Lock()
	s.audit.drained[drained.ID] = time.Now()
	s.mu.Unlock()
	all.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	n.Stop(ctx, l)
	<-served
	n.Close()
	n.conns.awaitEmpty()
	if n.budget() != 0 {
		t.Errorf("%d descriptors are held at the end", n.budget())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.audit.faults()
}

func (n *Node) budget() int { return n.conns.budget.Used() }

// Whatever the settings, the node keeps the four rules, and no request gets another one's answer.
func TestRulesHoldUnderAnySettings(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			testbed.Leaks(t)
			rng := rand.New(rand.NewPCG(seed, 0x736974))
			s := drawn(rng)
			for _, f := range s.play(t, rng, s.set) {
				t.Error(f)
			}
			if len(s.audit.asked) != 16*12 || len(s.audit.seen) == 0 {
				t.Errorf("%d requests and %d attempts were looked at", len(s.audit.asked), len(s.audit.seen))
			}
		})
	}
}

// The auditor detects a node whose settings differ from its own: a class's effect, group or window, or more attempts.
func TestAuditorDetectsOtherSettings(t *testing.T) {
	for name, plant := range map[string]func(*balancer.Settings){
		"effect:": func(s *balancer.Settings) {
			for i := range s.Classes {
				s.Classes[i].Effect = balancer.Idempotent
			}
		},
		"refusal:":  func(s *balancer.Settings) { s.Classes[0].Effect = balancer.Idempotent },
		"attempts:": func(s *balancer.Settings) { s.MaxAttempts = 6 },
	} {
		found := false
		for seed := uint64(0); seed < 20 && !found; seed++ {
			rng := rand.New(rand.NewPCG(seed, 0x706c))
			s := drawn(rng)
			s.audit.most = 2
			s.set.MaxAttempts = 2
			for i := range s.set.Classes {
				s.set.Classes[i].Effect, s.set.Classes[i].Group, s.set.Classes[i].Window = balancer.IdempotentWithKey, balancer.GroupCell, time.Minute
				if name == "attempts:" {
					s.set.Classes[i].Effect = balancer.Idempotent
				}
				s.audit.classes[s.set.Classes[i].Name] = s.set.Classes[i]
			}
			told := s.set
			told.Classes = slices.Clone(s.set.Classes)
			plant(&told)
			found = slices.ContainsFunc(s.play(t, rng, told), func(f string) bool { return strings.HasPrefix(f, name) })
		}
		if !found {
			t.Errorf("%s not found", name)
		}
	}
}

// Each rule of the auditor detects its own violation, and finds none in a clean history.
func TestAuditorDetectsEachViolation(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	a, b := balancer.Server{ID: "a", Zone: "z0"}, balancer.Server{ID: "b", Zone: "z0", Cell: 1}
	class := func(e balancer.Effect, g balancer.Group) balancer.Class {
		return balancer.Class{Name: "c", Deadline: time.Second, Effect: e, Group: g, Window: 500 * time.Millisecond}
	}
	q := asked{id: "q", class: "c", deadline: time.Second, sent: at(0), at: at(900), status: 200, body: "q@a"}
	one := seen{id: "q", server: a, at: at(100), over: at(200), ran: true}
	later := func(s balancer.Server, ms int) seen {
		return seen{id: "q", server: s, at: at(ms), over: at(ms + 10), ran: true}
	}
	with := func(change func(*asked)) asked { x := q; change(&x); return x }
	for name, c := range map[string]struct {
		class balancer.Class
		q     asked
		seen  []seen
	}{
		"":              {class(balancer.IdempotentWithKey, balancer.GroupCell), q, []seen{one, later(a, 300)}},
		"lost: none":    {class(balancer.Idempotent, 0), with(func(q *asked) { q.status = 0 }), nil},
		"lost: late":    {class(balancer.Idempotent, 0), with(func(q *asked) { q.at = at(1400) }), []seen{one}},
		"lost: other":   {class(balancer.Idempotent, 0), with(func(q *asked) { q.body = "p@a" }), []seen{one}},
		"effect: twice": {class(balancer.NonIdempotent, 0), q, []seen{one, later(a, 400)}},
		"effect: cell":  {class(balancer.IdempotentWithKey, balancer.GroupCell), q, []seen{one, later(b, 400)}},
		"effect: over":  {class(balancer.IdempotentWithKey, balancer.GroupAll), q, []seen{one, later(a, 890)}},
		"twice: out":    {class(balancer.Idempotent, 0), q, []seen{{id: "q", server: a, at: at(100), over: at(700), ran: true}, later(b, 300)}},
		"late: sent":    {class(balancer.Idempotent, 0), q, []seen{one, later(a, 1300)}},
		"late: left":    {class(balancer.Idempotent, 0), with(func(q *asked) { q.left = at(100) }), []seen{later(a, 400)}},
		"mixed: tenant": {class(balancer.Idempotent, 0), with(func(q *asked) { q.tenant = "t" }), []seen{one}},
		"refusal: ran":  {class(balancer.NonIdempotent, 0), with(func(q *asked) { q.status = 503 }), []seen{one}},
		"drain: sent":   {class(balancer.Idempotent, 0), with(func(q *asked) { q.body = "q@b" }), []seen{later(b, 500)}},
		"attempts: 4":   {class(balancer.Idempotent, 0), q, []seen{one, later(a, 300), later(a, 400), later(a, 500)}},
		"class: none":   {class(balancer.Idempotent, 0), with(func(q *asked) { q.class = "x" }), []seen{one}},
	} {
		x := auditor{classes: map[string]balancer.Class{"c": c.class}, most: 3, asked: []asked{c.q}, seen: c.seen, drained: map[string]time.Time{"b": at(200)}}
		if name == "effect: cell" {
			x.drained = nil
		}
		if name == "twice: out" {
			x.drained = nil
		}
		rule, _, _ := strings.Cut(name, " ")
		got := x.faults()
		if name == "" != (len(got) == 0) || name != "" && !strings.HasPrefix(got[0], rule) {
			t.Errorf("%q: found %q", name, got)
		}
	}
}
