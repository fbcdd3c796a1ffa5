package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"robindrum/balancer"
)

// module is the decision module as the node runs it, as far as the list goes.
type module struct {
	balancer.Host // nothing else is called
	mu            sync.Mutex
	bal           *balancer.Balancer
	client        *Client
	life          context.Context
	told          chan time.Time // when it had the drain
}

func (m *module) Watch(on bool) { m.client.Watch(on) }
func (m *module) Fetch()        { m.client.Fetch() }

func (m *module) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life.Err() == nil {
			m.bal.Timer(time.Duration(time.Now().UnixNano()), token)
		}
	})
}

func (m *module) deliver(u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bal.UpdateEndpoints(time.Duration(time.Now().UnixNano()), u.EndpointUpdate)
	for _, s := range u.Servers {
		if s.State == balancer.Draining {
			select {
			case m.told <- time.Now():
			default:
			}
		}
	}
}

// service is discovery as it answers calls: whichever way it fails them until it can be reached.
type service struct {
	rng   *rand.Rand
	mu    sync.Mutex
	up    time.Time // it can be reached from then on
	drain bool      // it has the drain to tell
	open  []net.Conn
	what  []string // what it did, for a test that fails
}

func (s *service) note(text string) {
	s.what = append(s.what, fmt.Sprintf("%v %s", time.Since(s.up).Round(time.Millisecond), text))
}

// dial begins a call.
func (s *service) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	s.mu.Lock()
	down, way := time.Now().Before(s.up), s.rng.IntN(9)
	if down && way < 2 {
		s.note([]string{"refused", "never came up"}[way])
	}
	s.mu.Unlock()
	switch {
	case down && way == 0:
		return nil, errors.New("refused")
	case down && way == 1:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go s.serve(far, down, way)
	return near, nil
}

func (s *service) serve(c net.Conn, down bool, way int) {
	defer c.Close()
	s.mu.Lock()
	wait := time.Duration(s.rng.Int64N(int64(time.Second)))
	s.open = append(s.open, c)
	drain := s.drain
	if way > 1 || !down {
		s.note(fmt.Sprintf("call, down %v, way %d", down, way))
	}
	s.mu.Unlock()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if down {
		switch way {
		case 2: // hangs
			_, _ = io.Copy(io.Discard, c)
		case 3: // the head alone
			_, _ = io.WriteString(c, head)
			_, _ = io.Copy(io.Discard, c)
		case 4: // half a line
			_, _ = io.WriteString(c, head+"9\r\n{\"rev\":1,\r\n")
			_, _ = io.Copy(io.Discard, c)
		case 5: // trickles
			if _, err := io.WriteString(c, head); err != nil {
				return
			}
			for {
				if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		case 6: // turned away, in the end
			time.Sleep(2 * time.Second)
			fallthrough
		case 7: // turned away at once
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		} // or closed with no answer
		return
	}
	time.Sleep(wait) // in the queue
	text := line(1, true, entry("s1", "SERVING"))
	if drain {
		text = line(100, true, entry("s1", "DRAINING"))
	}
	for {
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\n\r\n", head, len(text)+1, text); err != nil {
			return
		}
		head, text = "", ""
		time.Sleep(2 * time.Second)
	}
}

// breaks ends the connections that are open.
func (s *service) breaks() {
	s.mu.Lock()
	open := s.open
	s.open = nil
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// Whatever came before, several of it in a row and a move of discovery in between: a change is had within 6 s of the moment from
// which on discovery can be reached. A call that is answered waits for up to 1 s.
func TestNotifiedInTimeAfterAnyFailure(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			s := &service{rng: rand.New(rand.NewPCG(seed, 4))} // its own, as it draws beside this one
			life, end := context.WithCancel(t.Context())
			m := &module{life: life, told: make(chan time.Time, 1)}
			m.client = New("127.0.0.1:1", false, m.deliver)
			m.client.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: s.dial}}
			var err error
			m.bal, err = balancer.New(balancer.Settings{Polled: true, MaxPollInterval: 10 * time.Second, Index: int(seed), Proxies: 300,
				Classes: []balancer.Class{{Name: "get", Deadline: time.Second, PriorityWeight: 1}}}, seed, m)
			if err != nil {
				t.Fatal(err)
			}
			if err := m.client.Start([]byte(line(1, true, entry("s1", "SERVING")))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second) // a watch is on
			s.mu.Lock()
			s.drain = true
			s.up = time.Now().Add(time.Duration(rng.Int64N(int64(25 * time.Second))))
			up := s.up
			s.mu.Unlock()
			s.breaks()
			if rng.IntN(2) == 0 {
				time.AfterFunc(time.Duration(rng.Int64N(int64(30*time.Second))), func() { m.client.Move("127.0.0.1:2") })
			}
			at := <-m.told
			if took := at.Sub(up); took > 6*time.Second {
				t.Errorf("seed %d: had %v behind the return: %q", seed, took, s.what)
			} else {
				worst = max(worst, took)
			}
			end()
			s.breaks()
			m.client.Stop()
			s.breaks()
			time.Sleep(time.Minute) // timers that are left
		})
	}
	t.Logf("the longest took %v", worst)
}
