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

// auditSlack is the tolerance when the auditor compares times that clients and backends recorded on a busy machine.
const auditSlack = 250 * time.Millisecond

// backendRecord is an attempt as its backend saw it.
type backendRecord struct {
	id, tenant, key string
	server          balancer.Server
	at, endedAt     time.Time // when the request's last byte arrived, and when the backend ended the attempt
	mayHaveRun      bool      // whether the backend may have executed the request
}

// clientRecord is a request as its client saw it.
type clientRecord struct {
	id, class, tenant, key string
	sent, leftAt           time.Time // leftAt: when the client disconnected; zero if it did not
	deadline               time.Duration
	at                     time.Time // when the answer was complete, or reading it failed
	status                 int       // 0 without a complete answer
	body                   string
}

// auditor checks the records of clients and backends against the guarantees that the settings imply, without access to the node: each
// request gets one answer in time, attempts respect the class's effect and the limits, and a draining server gets no new requests.
type auditor struct {
	classes       map[string]balancer.Class
	parallel      bool
	maxAttempts   int
	clientRecord  []clientRecord
	backendRecord []backendRecord
	drained       map[string]time.Time // by server ID: when the node was notified that the server drains
}

// violations returns a description of each violation that the records show. It starts with the name of the violated rule.
func (a *auditor) violations() (found []string) {
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	attemptsByID := map[string][]backendRecord{}
	for _, attempt := range a.backendRecord {
		attemptsByID[attempt.id] = append(attemptsByID[attempt.id], attempt)
		if at, ok := a.drained[attempt.server.ID]; ok && attempt.at.Sub(at) > auditSlack {
			report("drain: %s was sent to %s %v after the node was notified", attempt.id, attempt.server.ID, attempt.at.Sub(at))
		}
	}
	for _, request := range a.clientRecord {
		attempts := attemptsByID[request.id]
		slices.SortFunc(attempts, func(x, y backendRecord) int { return x.at.Compare(y.at) })
		end := request.at
		if !request.leftAt.IsZero() {
			end = request.leftAt
		}
		if request.leftAt.IsZero() {
			if request.status == 0 || request.at.Sub(request.sent) > request.deadline+auditSlack {
				report("lost: %s got status %d after %v, deadline %v", request.id, request.status, request.at.Sub(request.sent), request.deadline)
			}
			answered := slices.ContainsFunc(attempts, func(attempt backendRecord) bool {
				return request.body == attempt.id+"@"+attempt.server.ID && attempt.mayHaveRun
			})
			if request.status == http.StatusOK && !answered {
				report("lost: %s was answered with body %q, which no backend sent for it", request.id, request.body)
			}
		}
		classSettings, known := a.classes[request.class]
		if !known {
			if len(attempts) > 0 {
				report("class: %s has the unknown class %q and was forwarded", request.id, request.class)
			}
			continue
		}
		if len(attempts) > max(a.maxAttempts, 1) {
			report("attempts: %s was sent %d times", request.id, len(attempts))
		}
		var mayHaveRun []backendRecord
		for i, attempt := range attempts {
			if attempt.at.Sub(end) > auditSlack {
				report("late: %s was sent %v after it was answered or its client disconnected", request.id, attempt.at.Sub(end))
			}
			if attempt.tenant != request.tenant || attempt.key != request.key {
				report("mixed: %s has tenant %q, key %q, and arrived with tenant %q, key %q", request.id, request.tenant, request.key, attempt.tenant, attempt.key)
			}
			for _, previous := range attempts[:i] {
				if overlap := previous.endedAt.Sub(attempt.at); overlap > auditSlack && (!a.parallel || classSettings.Effect == balancer.NonIdempotent) {
					report("twice: %s was in flight at %s for another %v when it was sent to %s", request.id, previous.server.ID, overlap, attempt.server.ID)
				}
			}
			for _, previous := range mayHaveRun {
				otherGroup := classSettings.Group == balancer.GroupZone && previous.server.Zone != attempt.server.Zone ||
					classSettings.Group == balancer.GroupCell && (previous.server.Zone != attempt.server.Zone || previous.server.Cell != attempt.server.Cell)
				if classSettings.Effect == balancer.NonIdempotent || classSettings.Effect == balancer.IdempotentWithKey && (otherGroup || attempt.at.Sub(previous.at) > classSettings.Window+auditSlack) {
					report("effect: %s may have been executed at %s and was sent to %s %v later", request.id, previous.server.ID, attempt.server.ID, attempt.at.Sub(previous.at))
				}
			}
			if attempt.mayHaveRun {
				mayHaveRun = append(mayHaveRun, attempt)
			}
		}
		if rejected := request.status == http.StatusServiceUnavailable || request.status == http.StatusTooManyRequests; rejected && len(mayHaveRun) > 0 &&
			(classSettings.Effect == balancer.NonIdempotent || classSettings.Effect == balancer.IdempotentWithKey && classSettings.Group != balancer.GroupAll) {
			report("refusal: %s may have been executed and was answered %d", request.id, request.status)
		}
	}
	return found
}

// scenario has random settings, backends that sometimes misbehave, and an auditor of what happens.
type scenario struct {
	settings balancer.Settings
	servers  []balancer.Server
	audit    auditor
	mu       sync.Mutex // guards the records of audit
}

// randomScenario returns a scenario with settings drawn from rng.
func randomScenario(rng *rand.Rand) *scenario {
	name := func() string {
		b := make([]byte, 1+rng.IntN(12))
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz-_0123456789"[rng.IntN(38)]
		}
		return string(b)
	}
	flip := func() bool { return rng.IntN(2) == 0 }
	s := &scenario{settings: balancer.Settings{Zone: "z0", Zones: []string{"z0", "z1"}, Proxies: 1 + rng.IntN(40), MaxAttempts: 1 + rng.IntN(5),
		MayCancel: flip(), ParallelAttempts: flip(), RetryAfter: flip(), MaxRetryAfter: time.Second, OverQuotaWeight: 0.1, WeightByWork: flip(),
		WarmUpTime: time.Second, WarmUpShare: 0.3, OverloadMultiple: 3, OverloadWindow: time.Second, DrainGrace: time.Second}}
	s.settings.Price.CrossZone = rng.Float64() * 0.05
	for range 1 + rng.IntN(4) {
		deadline := time.Duration(80+rng.IntN(300)) * time.Millisecond
		class := balancer.Class{Name: name() + fmt.Sprint(len(s.settings.Classes)), LatencyObjective: deadline / time.Duration(1+rng.IntN(4)), Deadline: deadline,
			Effect: balancer.Effect(rng.IntN(3)), Group: balancer.Group(rng.IntN(3)), Window: time.Duration(30+rng.IntN(400)) * time.Millisecond, PriorityWeight: 1 + rng.Float64()}
		s.settings.Classes = append(s.settings.Classes, class)
	}
	for range rng.IntN(3) {
		s.settings.Tenants = append(s.settings.Tenants, balancer.Tenant{Name: name(), Rate: 1 + 200*rng.Float64(), Quota: rng.Float64()})
	}
	s.audit = auditor{classes: map[string]balancer.Class{}, parallel: s.settings.ParallelAttempts, maxAttempts: s.settings.MaxAttempts, drained: map[string]time.Time{}}
	for _, class := range s.settings.Classes {
		s.audit.classes[class.Name] = class
	}
	return s
}

// serve returns a backend script that answers requests correctly, incorrectly, late or not at all.
func (s *scenario) serve(server balancer.Server, seed uint64) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		for reader := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			record := backendRecord{id: req.Header.Get("X-Trace-Id"), tenant: req.Header.Get("X-Customer"), key: req.URL.Query().Get("obj"), server: server, at: time.Now(), mayHaveRun: true}
			response, closes := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s@%s", len(record.id)+1+len(server.ID), record.id, server.ID), false
			switch rng.IntN(12) {
			case 0:
				response = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
			case 1, 2:
				response, record.mayHaveRun = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", false
			case 3:
				response, closes = "", true
			case 4:
				response, closes = "nonsense\r\n\r\n", true
			case 5:
				response, closes = response[:len(response)-1], true
			case 6: // no answer
				c.SetReadDeadline(time.Now().Add(2 * time.Second))
				_, _ = reader.Peek(1)
				response, closes = "", true
			default: // an answer after a delay, unless the attempt ends before
				c.SetReadDeadline(time.Now().Add(time.Duration(rng.IntN(60)) * time.Millisecond))
				if _, err := reader.Peek(1); err == io.EOF {
					response, closes = "", true
				}
				c.SetReadDeadline(time.Time{})
			}
			record.endedAt = time.Now()
			s.mu.Lock()
			s.audit.backendRecord = append(s.audit.backendRecord, record)
			s.mu.Unlock()
			if _, _ = io.WriteString(c, response); closes {
				return
			}
		}
	}
}

// runClient sends 12 requests of one client, one after the other, and records them.
func (s *scenario) runClient(t *testing.T, addr string, rng *rand.Rand, clientIndex int) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for i := range 12 {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil {
				t.Error(err)
				return
			}
			reader = bufio.NewReader(conn)
		}
		request := clientRecord{id: fmt.Sprintf("c%d-%d", clientIndex, i), class: "none-such"}
		effect := balancer.Idempotent
		if draw := rng.IntN(20); draw > 0 {
			class := s.settings.Classes[rng.IntN(len(s.settings.Classes))]
			request.class, request.deadline, effect = class.Name, class.Deadline, s.audit.classes[class.Name].Effect
		}
		if request.deadline > 0 && rng.IntN(3) == 0 {
			request.deadline = request.deadline/2 + time.Duration(rng.Int64N(int64(request.deadline/2)))
			request.deadline = request.deadline.Truncate(time.Millisecond)
		}
		text := "GET /" + request.class + "/x"
		if effect != balancer.Idempotent {
			text = "POST /" + request.class + "/x"
		}
		if rng.IntN(3) > 0 {
			request.key = fmt.Sprint("k", rng.IntN(4))
			text += "?obj=" + request.key
		}
		text += " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + request.id + "\r\n"
		if rng.IntN(3) > 0 { // otherwise the class is part of the path
			text += "X-Qos: " + request.class + "\r\n"
		}
		switch draw := rng.IntN(4); {
		case draw == 0:
			request.tenant = "stranger"
		case draw < 3 && len(s.settings.Tenants) > 0:
			request.tenant = s.settings.Tenants[rng.IntN(len(s.settings.Tenants))].Name
		}
		if request.tenant != "" {
			text += "X-Customer: " + request.tenant + "\r\n"
		}
		if effect == balancer.IdempotentWithKey {
			text += "Idempotency-Key: " + request.id + "\r\n"
		}
		if request.deadline > 0 {
			text += fmt.Sprintf("X-Expires-In-Ms: %d\r\n", request.deadline.Milliseconds())
		}
		if effect != balancer.Idempotent {
			text += "Content-Length: 1\r\n\r\nx"
		} else {
			text += "\r\n"
		}
		request.sent = time.Now()
		_, _ = io.WriteString(conn, text)
		if rng.IntN(8) == 0 { // the client disconnects
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			conn.Close()
			conn, request.leftAt = nil, time.Now()
			s.record(request)
			continue
		}
		conn.SetReadDeadline(time.Now().Add(testbed.WaitTimeout))
		if resp, err := http.ReadResponse(reader, nil); err == nil {
			text, err := io.ReadAll(resp.Body)
			if request.at = time.Now(); err == nil {
				request.status, request.body = resp.StatusCode, string(text)
			}
			if resp.Close {
				conn.Close()
				conn = nil
			}
		} else {
			request.at = time.Now()
			conn.Close()
			conn = nil
		}
		s.record(request)
	}
}

// record adds a request to the records of the clients.
func (s *scenario) record(request clientRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.audit.clientRecord = append(s.audit.clientRecord, request)
}

// run runs a node with nodeSettings, the scenario's backends and clients that send requests. It returns the violations that the auditor
// finds.
func (s *scenario) run(t *testing.T, rng *rand.Rand, nodeSettings balancer.Settings) []string {
	t.Helper()
	budget := backend.NewBudget(200)
	pool := backend.NewPool(backend.Options{ConnectTimeout: 200 * time.Millisecond, IdleTimeout: time.Second}, budget)
	node, err := New(Options{Settings: nodeSettings, Seed: rng.Uint64(), BodyBytes: 1 << 20, Budget: budget}, pool)
	if err != nil {
		t.Fatal(err)
	}
	update := discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot}, Endpoints: map[string]string{}}
	for i := range 4 + rng.IntN(5) {
		server := balancer.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2), Cell: i % 4 / 2, Weight: 1}
		s.servers = append(s.servers, server)
		update.Servers = append(update.Servers, server)
		update.Endpoints[server.ID] = testbed.NewPeer(t, s.serve(server, rng.Uint64())).Addr
	}
	if rng.IntN(2) == 0 { // adds a server that refuses connections
		update.Servers = append(update.Servers, balancer.Server{ID: "none", Zone: "z0", Weight: 1})
		update.Endpoints["none"] = testbed.RefusingAddress(t)
	}
	node.UpdateEndpoints(update)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { node.Serve(listener); close(served) }()
	var clients sync.WaitGroup
	for i := range 16 {
		seed := rng.Uint64()
		clients.Go(func() { s.runClient(t, listener.Addr().String(), rand.New(rand.NewPCG(seed, 1)), i) })
	}
	time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	drained := s.servers[rng.IntN(len(s.servers))]
	drained.State = balancer.Draining
	node.UpdateEndpoints(discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Servers: []balancer.Server{drained}},
		Endpoints: map[string]string{drained.ID: update.Endpoints[drained.ID]}})
	s.mu.Lock()
	s.audit.drained[drained.ID] = time.Now()
	s.mu.Unlock()
	clients.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	node.Stop(ctx, listener)
	<-served
	node.Close()
	node.conns.awaitEmpty()
	if node.budget() != 0 {
		t.Errorf("at the end: got %d descriptors in use, want 0", node.budget())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.audit.violations()
}

// budget returns the number of descriptors in use.
func (n *Node) budget() int { return n.conns.budget.Used() }

// Under random settings, the node violates none of the auditor's rules, and no request gets the answer to another request.
func TestNoViolationsUnderRandomSettings(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			testbed.Leaks(t)
			rng := rand.New(rand.NewPCG(seed, 0x736974))
			scenario := randomScenario(rng)
			for _, violation := range scenario.run(t, rng, scenario.settings) {
				t.Error(violation)
			}
			if len(scenario.audit.clientRecord) != 16*12 || len(scenario.audit.backendRecord) == 0 {
				t.Errorf("got records of %d requests and %d attempts, want 192 and at least 1", len(scenario.audit.clientRecord), len(scenario.audit.backendRecord))
			}
		})
	}
}

// The auditor detects a node whose settings differ from the auditor's settings in a class's effect or the number of attempts.
func TestAuditorDetectsOtherSettings(t *testing.T) {
	for name, change := range map[string]func(*balancer.Settings){
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
			s := randomScenario(rng)
			s.audit.maxAttempts = 2
			s.settings.MaxAttempts = 2
			for i := range s.settings.Classes {
				s.settings.Classes[i].Effect, s.settings.Classes[i].Group, s.settings.Classes[i].Window = balancer.IdempotentWithKey, balancer.GroupCell, time.Minute
				if name == "attempts:" {
					s.settings.Classes[i].Effect = balancer.Idempotent
				}
				s.audit.classes[s.settings.Classes[i].Name] = s.settings.Classes[i]
			}
			nodeSettings := s.settings
			nodeSettings.Classes = slices.Clone(s.settings.Classes)
			change(&nodeSettings)
			found = slices.ContainsFunc(s.run(t, rng, nodeSettings), func(violation string) bool { return strings.HasPrefix(violation, name) })
		}
		if !found {
			t.Errorf("got no violation with prefix %q, want one", name)
		}
	}
}

// The auditor detects a violation of each rule, and finds none in correct records.
func TestAuditorDetectsEachViolation(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	a, b := balancer.Server{ID: "a", Zone: "z0"}, balancer.Server{ID: "b", Zone: "z0", Cell: 1}
	class := func(e balancer.Effect, g balancer.Group) balancer.Class {
		return balancer.Class{Name: "c", Deadline: time.Second, Effect: e, Group: g, Window: 500 * time.Millisecond}
	}
	request := clientRecord{id: "q", class: "c", deadline: time.Second, sent: at(0), at: at(900), status: 200, body: "q@a"}
	first := backendRecord{id: "q", server: a, at: at(100), endedAt: at(200), mayHaveRun: true}
	later := func(s balancer.Server, ms int) backendRecord {
		return backendRecord{id: "q", server: s, at: at(ms), endedAt: at(ms + 10), mayHaveRun: true}
	}
	with := func(change func(*clientRecord)) clientRecord { x := request; change(&x); return x }
	for name, test := range map[string]struct {
		class         balancer.Class
		request       clientRecord
		backendRecord []backendRecord
	}{
		"":              {class(balancer.IdempotentWithKey, balancer.GroupCell), request, []backendRecord{first, later(a, 300)}},
		"lost: none":    {class(balancer.Idempotent, 0), with(func(request *clientRecord) { request.status = 0 }), nil},
		"lost: late":    {class(balancer.Idempotent, 0), with(func(request *clientRecord) { request.at = at(1400) }), []backendRecord{first}},
		"lost: other":   {class(balancer.Idempotent, 0), with(func(request *clientRecord) { request.body = "p@a" }), []backendRecord{first}},
		"effect: twice": {class(balancer.NonIdempotent, 0), request, []backendRecord{first, later(a, 400)}},
		"effect: cell":  {class(balancer.IdempotentWithKey, balancer.GroupCell), request, []backendRecord{first, later(b, 400)}},
		"effect: over":  {class(balancer.IdempotentWithKey, balancer.GroupAll), request, []backendRecord{first, later(a, 890)}},
		"twice: out":    {class(balancer.Idempotent, 0), request, []backendRecord{{id: "q", server: a, at: at(100), endedAt: at(700), mayHaveRun: true}, later(b, 300)}},
		"late: sent":    {class(balancer.Idempotent, 0), request, []backendRecord{first, later(a, 1300)}},
		"late: left":    {class(balancer.Idempotent, 0), with(func(request *clientRecord) { request.leftAt = at(100) }), []backendRecord{later(a, 400)}},
		"mixed: tenant": {class(balancer.Idempotent, 0), with(func(request *clientRecord) { request.tenant = "t" }), []backendRecord{first}},
		"refusal: ran":  {class(balancer.NonIdempotent, 0), with(func(request *clientRecord) { request.status = 503 }), []backendRecord{first}},
		"drain: sent":   {class(balancer.Idempotent, 0), with(func(request *clientRecord) { request.body = "q@b" }), []backendRecord{later(b, 500)}},
		"attempts: 4":   {class(balancer.Idempotent, 0), request, []backendRecord{first, later(a, 300), later(a, 400), later(a, 500)}},
		"class: none":   {class(balancer.Idempotent, 0), with(func(request *clientRecord) { request.class = "x" }), []backendRecord{first}},
	} {
		x := auditor{classes: map[string]balancer.Class{"c": test.class}, maxAttempts: 3, clientRecord: []clientRecord{test.request}, backendRecord: test.backendRecord, drained: map[string]time.Time{"b": at(200)}}
		if name == "effect: cell" {
			x.drained = nil
		}
		if name == "twice: out" {
			x.drained = nil
		}
		rule, _, _ := strings.Cut(name, " ")
		got := x.violations()
		if name == "" != (len(got) == 0) || name != "" && !strings.HasPrefix(got[0], rule) {
			t.Errorf("%q: got violations %q, want the first with prefix %q, or none for an empty name", name, got, rule)
		}
	}
}
