package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"robindrum/balancer"
)

// refusal is a way in which a refusingService turns a call away.
type refusal struct {
	after    time.Duration
	response string // none if empty: the connection is closed
}

// refusingService is a fake discovery service. It turns calls away as listed in refusals, and responds to the next ones with a list in
// which s1 drains.
type refusingService struct {
	mu       sync.Mutex
	refusals []refusal
}

func (s *refusingService) dial(context.Context, string, string) (net.Conn, error) {
	clientSide, serverSide := net.Pipe()
	go s.serve(serverSide)
	return clientSide, nil
}

func (s *refusingService) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if r, ok := s.nextRefusal(); ok {
		time.Sleep(r.after)
		_, _ = io.WriteString(c, r.response)
		return
	}
	text := listLine(100, true, targetEntry("s1", "DRAINING"))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(text)+1, text)
	_, _ = io.Copy(io.Discard, c)
}

func (s *refusingService) nextRefusal() (r refusal, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refusals) == 0 {
		return refusal{}, false
	}
	r = s.refusals[0]
	s.refusals = s.refusals[1:]
	return r, true
}

// Guards against the fault that a node whose first calls behind its start or a move of the service were turned away, with a status or by
// a closed connection, at once or late, called again only 5 s later and sent to draining servers until then.
func TestNotifiedInTimeWhenFirstCallsAreTurnedAway(t *testing.T) {
	const (
		proxies     = 30
		unavailable = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		tooMany     = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
	)
	for name, refusals := range map[string][]refusal{
		"503 once":                  {{0, unavailable}},
		"503 after 1 s":             {{time.Second, unavailable}},
		"closed after 1 s":          {{time.Second, ""}},
		"503 three times":           {{0, unavailable}, {0, unavailable}, {0, unavailable}},
		"closed three times":        {{0, ""}, {0, ""}, {0, ""}},
		"429, 503 and closed":       {{0, tooMany}, {0, unavailable}, {0, ""}},
		"503 at once and after 1 s": {{0, unavailable}, {time.Second, unavailable}},
	} {
		for _, moves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, service moves %t", name, moves), func(t *testing.T) {
				within := 7 * time.Second
				if moves {
					within = 5 * time.Second
				}
				for seed := range uint64(proxies) {
					synctest.Test(t, func(t *testing.T) {
						if took := firstCallsTurnedAway(t, refusals, seed, proxies, moves); took > within {
							t.Errorf("proxy %d: drain delivered after %v, want at most %v", seed, took, within)
						}
					})
				}
			})
		}
	}
}

// firstCallsTurnedAway plays the start of a node, or a move of the service if moves is set, and returns the time until the drain is
// delivered.
func firstCallsTurnedAway(t *testing.T, refusals []refusal, seed uint64, proxies int, moves bool) time.Duration {
	t.Helper()
	s := &refusingService{refusals: refusals}
	ctx, cancel := context.WithCancel(t.Context())
	m := &balancerHost{ctx: ctx, drainDelivered: make(chan time.Time, 1)}
	m.client = New("127.0.0.1:1", false, m.deliver)
	m.client.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: s.dial}}
	var err error
	m.bal, err = balancer.New(balancer.Settings{Polled: true, MaxPollInterval: 10 * time.Second, Index: int(seed), Proxies: proxies,
		Classes: []balancer.Class{{Name: "get", Deadline: time.Second, PriorityWeight: 1}}}, seed, m)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if moves {
		m.bal.EndpointServiceMoved(time.Duration(start.UnixNano()))
		m.client.Move("127.0.0.1:2")
	} else if err := m.client.Start([]byte(listLine(1, true, targetEntry("s1", "SERVING")))); err != nil {
		t.Fatal(err)
	}
	took := (<-m.drainDelivered).Sub(start)
	cancel()
	m.client.Stop()
	time.Sleep(time.Minute) // let remaining timers expire
	return took
}
