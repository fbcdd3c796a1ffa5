// Explore runs a node under many disruptions at once, drawn at random, and checks the four rules. It is no case: its findings are
// starting points for one.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"robindrum/review/rig"
)

type arrival struct {
	at      time.Time
	backend string
	cell    int
	never   bool // turned away, provably never ran
	ended   time.Time
	closing bool // the backend only waits for the node's close
}

type request struct {
	id, class, key string
	body           string
	sentAt         time.Time // last byte
	expires        time.Duration
	arrivals       []*arrival
	answeredAt     time.Time
	status         int
	leftAt         time.Time
	done           bool
}

var pool struct {
	sync.Mutex
	idle []net.Conn
}

var (
	mu       sync.Mutex
	requests = map[string]*request{}
	broken   = map[string]int{}
	unsent   = map[string]int{}       // requests that could not be sent, by the step that failed
	draining = map[string]time.Time{} // backend -> told
	start    = time.Now()
	parallel = flag.Bool("parallel", true, "a request may have two attempts out")
	seed     = flag.Uint64("seed", 1, "begins the ids of the requests")
	sockets  = flag.Int("sockets", 1024, "the node's limit of descriptors")
	noCancel = flag.Bool("nocancel", false, "attempts may not be called off")
	pushed   = flag.Bool("pushed", false, "lists are pushed")
	gateway  = flag.Bool("gateway", false, "run the gateway in place of the node")
	reroute  = flag.Bool("reroute", false, "only show a reload of the gateway while a request's body is coming")
	badRate  = flag.Int("bad", 0, "bad clients a second")
	rate     = flag.Int("rate", 150, "requests a second")
	duration = flag.Duration("for", 30*time.Second, "length")
	window   = time.Second
	root     = flag.String("root", ".", "the project's root")
	crossed  int
	restart  = flag.Duration("restart", 0, "time between restarts by SIGTERM; 0: none")
)

func breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	kind, _, _ := strings.Cut(text, ":")
	broken[kind]++
	if broken[kind] <= 5 {
		fmt.Printf("%8.3f BROKEN %s\n", time.Since(start).Seconds(), text)
	}
}

func answer(id string, n int) string {
	s := rig.Answer(id)
	for len(s) < n {
		s += s
	}
	return s[:min(len(s), 60000)]
}

func size(id string) int {
	v, _ := strconv.ParseInt(id[len(id)-4:], 16, 64)
	if v%7 == 0 {
		return 60000 / 2
	}
	return 10
}

func dump(q *request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s expires %v;", q.id, q.class, q.expires)
	for _, a := range q.arrivals {
		fmt.Fprintf(&b, " +%dms %s/%d never=%v ended=+%dms;", a.at.Sub(q.sentAt).Milliseconds(), a.backend, a.cell, a.never, a.ended.Sub(q.sentAt).Milliseconds())
	}
	return b.String()
}

func serveBackend(name string, cell int, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				if !handle(c, name, cell, r, body) {
					return
				}
			}
		}()
	}
}

func handle(c net.Conn, name string, cell int, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Trace-Id")
	a := &arrival{at: time.Now(), backend: name, cell: cell}
	mu.Lock()
	q := requests[id]
	if q == nil {
		breach("unknown: id %q", id)
		mu.Unlock()
		return false
	}
	if string(body) != q.body || r.Header.Get("Idempotency-Key") != q.key {
		breach("changed: %s", dump(q))
	}
	if !q.sentAt.IsZero() {
		left := q.expires - a.at.Sub(q.sentAt)
		ms, _ := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
		if time.Duration(ms)*time.Millisecond > left+150*time.Millisecond && ms > 1 {
			breach("expires: %d left %v %s", ms, left, dump(q))
		}
	}
	if !q.answeredAt.IsZero() && a.at.Sub(q.answeredAt) > 10*time.Millisecond {
		breach("afterfinal: +%v %s", a.at.Sub(q.answeredAt), dump(q))
	}
	if !q.leftAt.IsZero() && a.at.Sub(q.leftAt) > 100*time.Millisecond {
		breach("left: +%v %s", a.at.Sub(q.leftAt), dump(q))
	}
	if told, ok := draining[name]; ok && a.at.Sub(told) > time.Second+50*time.Millisecond {
		breach("drain: %s +%v", name, a.at.Sub(told))
	}
	if len(q.arrivals) >= 5 {
		breach("attempts: %s", dump(q))
	}
	for _, e := range q.arrivals {
		out := e.ended.IsZero()
		if out && !*parallel && !e.closing {
			breach("two out: %s", dump(q))
		}
		if e.never {
			continue
		}
		switch q.class {
		case "pay":
			breach("unsafe: %s then %s at +%v", dump(q), name, a.at.Sub(q.sentAt))
		case "seat-hold":
			if e.cell != cell {
				breach("cell: %s then %s/%d", dump(q), name, cell)
			}
			if a.at.Sub(e.at) > window+150*time.Millisecond {
				breach("window: %s then %s at +%v", dump(q), name, a.at.Sub(q.sentAt))
			}
		}
	}
	q.arrivals = append(q.arrivals, a)
	mu.Unlock()
	end := func(never bool) {
		mu.Lock()
		a.never, a.ended = never, time.Now()
		mu.Unlock()
	}
	text := answer(id, size(id)*3)
	write := func(s string) bool { _, err := io.WriteString(c, s); return err == nil }
	ok := rig.Whole(text)
	gone := make(chan struct{})
	_ = gone
	time.Sleep(min(time.Duration(rand.ExpFloat64()*20)*time.Millisecond, 400*time.Millisecond))
	x := rand.IntN(100)
	if rand.IntN(3) > 0 {
		x = 0
	}
	if strings.HasSuffix(name, "3") { // a bad one
		x = rand.IntN(40) + 60
	}
	switch {
	case x < 50:
		end(false)
		return write(ok)
	case x < 54:
		end(false)
		return write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + ok)
	case x < 58:
		end(false)
		k := len(text) / 3
		return write(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", k, text[:k])) && func() bool {
			time.Sleep(20 * time.Millisecond)
			return write(fmt.Sprintf("%x;a=b\r\n%s\r\n0\r\n\r\n", len(text)-k, text[k:]))
		}()
	case x < 62:
		end(false)
		write(ok)
		time.Sleep(time.Duration(rand.IntN(6)) * time.Millisecond)
		return write(ok) && rand.IntN(2) == 0
	case x < 66:
		end(false)
		write(ok)
		return false
	case x < 70:
		end(false)
		return write("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops")
	case x < 78:
		end(true)
		return write("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 4\r\n\r\nfull")
	case x < 80:
		end(true)
		write("HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nConnection: close\r\n\r\n")
		return false
	case x < 84:
		end(false)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case x < 87:
		end(false)
		write(ok[:len(ok)/2])
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case x < 90:
		end(false)
		write(ok[:len(ok)-5])
		return false
	case x < 93:
		end(false)
		write("\x00\x01noise\r\n\r\n")
		_, _ = c.Read(make([]byte, 1))
		return false
	case x < 96: // hang until the node closes
		mu.Lock()
		a.closing = true
		mu.Unlock()
		_, _ = c.Read(make([]byte, 1))
		end(false)
		return false
	case x < 98:
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		end(false)
		return write(ok)
	default: // stops in the middle
		write(ok[:30])
		mu.Lock()
		a.closing = true
		mu.Unlock()
		_, _ = c.Read(make([]byte, 1))
		end(false)
		return false
	}
}

func client(addr string, n int) {
	q := &request{id: fmt.Sprintf("%08x%08x", *seed, n), expires: 2 * time.Second}
	switch n % 3 {
	case 0:
		q.class = "seat-map"
	case 1:
		q.class, q.key, q.expires = "seat-hold", fmt.Sprint("k", n), 1500*time.Millisecond
		q.body = strings.Repeat("x", size(q.id)*2)
	default:
		q.class, q.expires = "pay", time.Second
		q.body = strings.Repeat("y", size(q.id)*2)
	}
	if rand.IntN(4) == 0 {
		q.expires = time.Duration(1+rand.IntN(int(q.expires.Milliseconds()))) * time.Millisecond
	}
	mu.Lock()
	requests[q.id] = q
	mu.Unlock()
	var text string
	if q.class == "pay" {
		text = fmt.Sprintf("POST /pay?obj=1 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: pay\r\nX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", q.id, q.expires.Milliseconds(), len(q.body), q.body)
	} else {
		text = (&rig.Request{ID: q.id, Class: q.class, Key: q.key, Expires: q.expires, Body: q.body}).Text()
	}
	var c net.Conn
	var err error
	pool.Lock()
	if k := len(pool.idle); k > 0 && rand.IntN(5) > 0 {
		i := rand.IntN(k)
		c = pool.idle[i]
		pool.idle[i] = pool.idle[k-1]
		pool.idle = pool.idle[:k-1]
	}
	pool.Unlock()
	reused := c != nil
	if c == nil {
		c, err = net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			mu.Lock()
			unsent["dial"]++
			mu.Unlock()
			return
		}
	}
	c.SetDeadline(time.Time{})
	keep := false
	defer func() {
		if !keep {
			c.Close()
			return
		}
		pool.Lock()
		pool.idle = append(pool.idle, c)
		pool.Unlock()
	}()
	if rand.IntN(10) == 0 {
		k := rand.IntN(len(text))
		_, _ = io.WriteString(c, text[:k])
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		text = text[k:]
	}
	if _, err := io.WriteString(c, text); err != nil {
		mu.Lock()
		unsent[fmt.Sprint("write, reused ", reused)]++
		mu.Unlock()
		return
	}
	mu.Lock()
	q.sentAt = time.Now()
	mu.Unlock()
	if rand.IntN(8) == 0 {
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		q.leftAt = time.Now()
		if rand.IntN(2) == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		return
	}
	c.SetDeadline(time.Now().Add(q.expires + 3*time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	mu.Lock()
	defer mu.Unlock()
	q.answeredAt, q.done = time.Now(), true
	took := q.answeredAt.Sub(q.sentAt)
	if err != nil {
		if len(q.arrivals) > 0 || took > 10*time.Millisecond {
			breach("lost: %v after %v reused %v %s", err, took, reused, dump(q))
		} else {
			crossed++
		}
		return
	}
	keep = !resp.Close
	q.status = resp.StatusCode
	if took > q.expires+500*time.Millisecond {
		breach("late: %v %s", took, dump(q))
	}
	switch q.status {
	case 200:
		if !bytes.Equal(body, []byte(answer(q.id, size(q.id)*3))) {
			breach("foreign: %d bytes %s", len(body), dump(q))
		}
	case 503, 429:
		if q.class != "seat-map" {
			for _, a := range q.arrivals {
				if !a.never {
					breach("refused: %d %s", q.status, dump(q))
				}
			}
		}
	}
}

// bad is a bad client. It is owed an error or a close within 3 s.
func bad(addr string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	begun := time.Now()
	kind := rand.IntN(8)
	id := fmt.Sprintf("bad%d", rand.Int64())
	mu.Lock()
	for open, q := range requests { // any request that is open
		if q.answeredAt.IsZero() && q.leftAt.IsZero() && !q.sentAt.IsZero() && len(q.arrivals) > 0 {
			id = open
			break
		}
	}
	mu.Unlock()
	switch kind {
	case 0:
		_, _ = io.WriteString(c, "\x16\x03\x01\x02\x00\r\n\r\n")
	case 1:
		_, _ = io.WriteString(c, "GET /seat-map HTTP/1.1\r\n"+strings.Repeat("X-A: bbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n", 3000))
	case 2:
		_, _ = io.WriteString(c, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Qos: pay\r\nX-Trace-Id: "+id+"\r\nContent-Length: -5\r\n\r\n")
	case 3:
		_, _ = io.WriteString(c, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Qos: nothing\r\nX-Trace-Id: n"+id+"\r\nContent-Length: 0\r\n\r\n")
	case 4:
		_, _ = io.WriteString(c, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Qos: pay\r\nContent-Length: 0\r\n\r\n")
	case 5:
		_, _ = io.WriteString(c, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Qos: pay\r\nX-Trace-Id: n"+id+"\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /pay HTTP/1.1\r\nHost: x\r\nX-Trace-Id: hidden\r\nContent-Length: 0\r\n\r\n")
	case 6:
		_, _ = io.WriteString(c, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Qos: pay\r\nX-Trace-Id: n"+id+"\r\nContent-Length: 9\r\n\r\nhal")
	case 7: // says nothing
	}
	c.SetDeadline(begun.Add(4 * time.Second))
	b := make([]byte, 12)
	k, err := io.ReadFull(c, b)
	took := time.Since(begun)
	mu.Lock()
	defer mu.Unlock()
	if took > 3*time.Second+50*time.Millisecond {
		breach("owed: kind %d, %v, %v", kind, took, err)
	}
	if k == 12 && string(b) == "HTTP/1.1 200" {
		breach("badserved: kind %d %s", kind, id)
	}
}

func main() {
	flag.Parse()
	folder, _ := os.MkdirTemp("", "explore")
	defer func() { _ = os.RemoveAll(folder) }()
	if *reroute {
		if err := rerouted(*root, folder); err != nil {
			panic(err)
		}
		return
	}
	type back struct {
		name string
		l    net.Listener
		cell int
	}
	var bs []back
	add := func(i int) rig.Target {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		b := back{fmt.Sprintf("s-%d", i), l, i % 2}
		bs = append(bs, b)
		go serveBackend(b.name, b.cell, l)
		t := rig.Sapporo(b.name, l.Addr().String())
		t.PodGroup = b.cell
		return t
	}
	var targets []rig.Target
	for i := range 8 {
		targets = append(targets, add(i))
	}
	d, err := rig.StartDiscovery(1, targets)
	if err != nil {
		panic(err)
	}
	cfg := &rig.Config{Name: "n0", Discovery: d.Addr, Nodes: 1, Known: targets, Parallel: *parallel, Sockets: *sockets, NoCancel: *noCancel, Pushed: *pushed, Classes: []rig.Class{
		{Name: "seat-map", Effect: "free", Group: "all", Deadline: 2 * time.Second, SLO: time.Second, Window: 5 * time.Second},
		{Name: "seat-hold", Effect: "guarded", Group: "cell", Deadline: 1500 * time.Millisecond, SLO: 150 * time.Millisecond, Window: window},
		{Name: "pay", Effect: "single_shot", Group: "all", Deadline: time.Second, SLO: 300 * time.Millisecond, Window: window}}}
	n, err := rig.StartNode(*root, folder, cfg)
	if err != nil {
		panic(err)
	}
	defer n.Kill()
	if err := n.AwaitReady(5 * time.Second); err != nil {
		panic(err)
	}
	end := time.Now().Add(*duration)
	if *gateway {
		n.Kill()
		g := &gatewayProcess{listen: n.Listen, path: filepath.Join(folder, "gateway.yaml")}
		g.write(targets)
		g.start(*root, folder)
		defer g.kill()
		g.reloads(end, func(i int) rig.Target { return add(i) }, targets)
		var wg sync.WaitGroup
		for i := 0; time.Now().Before(end); i++ {
			wg.Go(func() { client(g.listen, i) })
			time.Sleep(time.Second / time.Duration(*rate))
		}
		wg.Wait()
		report()
		return
	}
	go func() {
		for i := 8; time.Now().Before(end); i++ {
			time.Sleep(3 * time.Second)
			k := rand.IntN(len(targets))
			mu.Lock()
			ts := append([]rig.Target(nil), targets...)
			ts[k].State = "DRAINING"
			draining[ts[k].UID] = time.Now().Add(6 * time.Second)
			mu.Unlock()
			d.Set(ts)
			if rand.IntN(2) == 0 {
				d.CloseWatches()
			}
			time.Sleep(time.Second)
			nt := add(i)
			nt.BootMS = time.Now().UnixMilli()
			targets = append(append([]rig.Target(nil), ts[:k]...), ts[k+1:]...)
			targets = append(targets, nt)
			d.Set(targets)
			if rand.IntN(3) == 0 {
				_ = n.Signal(syscall.SIGHUP)
			}
		}
	}()
	if *badRate > 0 {
		go func() {
			for time.Now().Before(end) {
				go bad(n.Listen)
				time.Sleep(time.Second / time.Duration(*badRate))
			}
		}()
	}
	var wg sync.WaitGroup
	next := time.Now().Add(*restart)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() { client(n.Listen, i) })
		time.Sleep(time.Second / time.Duration(*rate))
		if *restart > 0 && time.Now().After(next) {
			next = time.Now().Add(*restart + 4*time.Second)
			old := n
			go func() {
				fmt.Printf("%8.3f TERM\n", time.Since(start).Seconds())
				at := time.Now()
				_ = old.Signal(syscall.SIGTERM)
				select {
				case <-old.Exited():
					fmt.Printf("%8.3f exited after %v\n", time.Since(start).Seconds(), time.Since(at))
				case <-time.After(2700 * time.Millisecond):
					fmt.Printf("%8.3f KILL\n", time.Since(start).Seconds())
					old.Kill()
				}
				cfg.Listen = old.Listen
				for id := range draining {
					mu.Lock()
					draining[id] = time.Now().Add(6 * time.Second)
					mu.Unlock()
				}
				var err error
				if n, err = rig.StartNode(*root, folder, cfg); err != nil {
					panic(err)
				}
			}()
		}
	}
	_ = n.Signal(syscall.SIGTERM)
	wg.Wait()
	select {
	case <-n.Exited():
	case <-time.After(5 * time.Second):
		breach("noexit: ")
	}
	report()
}

func report() {
	mu.Lock()
	defer mu.Unlock()
	statuses := map[string]int{}
	for _, q := range requests {
		k := fmt.Sprint(q.class, " ", q.status)
		if !q.leftAt.IsZero() {
			k = q.class + " left"
		}
		statuses[k]++
		if q.status == 503 && q.class != "seat-map" {
			for _, a := range q.arrivals {
				if !a.never {
					breach("refused at the end: %s", dump(q))
				}
			}
		}
	}
	fmt.Println("statuses", statuses)
	fmt.Println("broken", broken, "crossed", crossed, "unsent", unsent)
}
