package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	gateTime = time.Second            // for which new connections come up late, and then in time; SYNs are repeated after so long
	heldUp   = 150 * time.Millisecond // that a node may be held up between reading its clock and writing
)

// slowListener is a listener whose connections come up a second late while its gate is closed: its queue is full, so that the system
// drops what a client sends to connect, and the client's system repeats it a second later.
type slowListener struct {
	*net.TCPListener
	filler net.Conn
	late   atomic.Int64 // closed gates so far
}

// newSlowListener listens with a queue of one connection.
func newSlowListener() (*slowListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &slowListener{TCPListener: listener.(*net.TCPListener)}, nil
}

// run accepts connections while the gate is open. If it closes, it does so for one part of three.
func (l *slowListener) run(closes bool, part int, serve func(net.Conn)) {
	for {
		turn := time.Now().Truncate(3 * gateTime).Add(time.Duration(part) * gateTime)
		if !turn.After(time.Now()) {
			turn = turn.Add(3 * gateTime)
		}
		_ = l.SetDeadline(turn)
		for {
			conn, err := l.Accept()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
			if err != nil {
				return
			}
			if l.filler != nil && conn.RemoteAddr().String() == l.filler.LocalAddr().String() {
				conn.Close()
				l.filler.Close()
				l.filler = nil
				continue
			}
			go serve(conn)
		}
		if !closes {
			continue
		}
		// Nothing is accepted any more. If a connection of a client takes the only place, the filler does not come up, and the gate
		// stays open.
		filler, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			continue
		}
		l.filler = filler
		l.late.Add(1)
		time.Sleep(time.Until(turn.Add(gateTime)))
	}
}

// pod is the memory that the backends of a cell share: when each key was run first.
type pod struct {
	mu  sync.Mutex
	ran map[string]time.Time
}

// lateConnection has three backends of one cell. A third of the new connections come up a second late: those to one backend after the
// other. Some connections are reset under requests that have begun, so that the node repeats those that carry a key.
func lateConnection(r *run) {
	holds := profile{"seat-hold", "guarded", "cell", time.Second, 3 * time.Second, 400 * time.Millisecond}
	memory := &pod{ran: map[string]time.Time{}}
	var targets []target
	for i := range 3 {
		listener, err := newSlowListener()
		if err != nil {
			r.fail(err)
		}
		b := &backend{run: r, uid: fmt.Sprintf("s%d", i), listener: listener}
		b.answer = func(b *backend, q *received) bool { return r.holdOnce(b, q, memory, holds.window) }
		go listener.run(r.trouble, i, b.serve)
		targets = append(targets, b.target("sapporo", 0))
	}
	roster := r.newRoster(targets)
	n := r.newNode(nodeConfig{index: 0, nodes: 1, discovery: roster.listenFor("n0").addr(), known: roster.whole(), profiles: []profile{seatMap, holds},
		connectTimeout: 1500 * time.Millisecond})
	n.begin()
	stop := make(chan struct{})
	waitMaps := r.load(n, 4, 40*time.Millisecond, stop, func(id string) *request {
		return &request{id: "map-" + id, class: seatMap.name, expires: seatMap.deadline}
	}, r.rightAnswer)
	waitHolds := r.load(n, 20, 100*time.Millisecond, stop, func(id string) *request {
		return &request{id: id, class: holds.name, key: "key-" + id, body: strings.Repeat("h", 200), expires: holds.deadline}
	}, r.rightAnswer)
	time.Sleep(60 * time.Second)
	close(stop)
	waitMaps()
	waitHolds()
}

// holdOnce answers a request. A keyed one is run unless the pod remembers its key, and a run breaks the rule if the key was run before the
// window began.
func (r *run) holdOnce(b *backend, q *received, memory *pod, window time.Duration) bool {
	if q.key != "" {
		memory.mu.Lock()
		ran, again := memory.ran[q.key]
		if !again {
			memory.ran[q.key] = q.began
		}
		memory.mu.Unlock()
		after := q.began.Sub(ran)
		switch {
		case !again:
			r.count("keyed requests run")
			time.Sleep(between(40*time.Millisecond, 120*time.Millisecond))
			if r.trouble && rand.IntN(25) == 0 {
				r.printf("backend: %s resets the connection under %s", b.uid, q.id)
				_ = q.conn.(*net.TCPConn).SetLinger(0)
				return false
			}
		case after <= window:
			r.printf("backend: %s drops the repeat of %s, %v behind the first", b.uid, q.id, after.Round(time.Millisecond))
		default:
			r.printf("backend: %s runs %s again, %v behind the first", b.uid, q.id, after.Round(time.Millisecond))
			if after > window+heldUp+socketSlack {
				r.breach("%s ran twice: it came to %s %v behind the first attempt, and repeats are dropped for %v", q.id, b.uid, after.Round(time.Millisecond), window)
			}
		}
	} else {
		time.Sleep(between(2*time.Millisecond, 8*time.Millisecond))
	}
	body := answerTo(q.id)
	fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return false
}
