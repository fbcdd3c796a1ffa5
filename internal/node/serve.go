package node

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowhitch/logic"
)

// buffers hold the heads of answers, and whole short ones.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// request takes a client's request, whose body is to be whole by until, and sees to its answer; false if the
// connection ends with it.
func (n *Node) request(c *client, r *http.Request, until time.Time) bool {
	c.served.Store(true)
	id := r.Header.Get("X-Trace-Id")
	switch {
	case r.URL.Path == "/health/ready":
		status := http.StatusServiceUnavailable
		if n.ready.Load() && !n.stopping.Load() {
			status = http.StatusOK
		}
		last := n.last(r.Close)
		n.conns.rest(c)
		if c.write(answer{status: status}, last) != nil {
			return false
		}
		if last {
			c.hangUp()
		}
		return !last
	case id == "":
		c.reject(http.StatusBadRequest, "X-Trace-Id is missing")
		return false
	case n.conns.full():
		c.reject(http.StatusServiceUnavailable, "too many connections")
		return false
	}
	q := &request{id: id, client: c, done: make(chan struct{}), wantsClose: r.Close, noBody: r.Method == http.MethodHead}
	var err error
	if q.send.Body, q.body, err = n.read(c, r, until); err != nil {
		n.bodies.left.Add(q.body)
		status := http.StatusBadRequest
		switch {
		case errors.Is(err, errTooLong):
			status = http.StatusRequestEntityTooLarge
		case errors.Is(err, errNoMemory), n.ending.Load(): // it has not been sent on
			status = http.StatusServiceUnavailable
		case errors.Is(err, os.ErrDeadlineExceeded):
			status = http.StatusRequestTimeout
		}
		c.reject(status, err.Error())
		return false
	}
	// Danger: clients send one request at a time, so what stands behind one belongs to its body, whose length was
	// given wrong, or is meant to be taken for somebody else's request.
	if c.br.Buffered() > 0 {
		n.bodies.left.Add(q.body)
		c.reject(http.StatusBadRequest, "more came than the request")
		return false
	}
	words := n.words(r, id) // before the header loses what concerns this connection only, its time with it
	q.send.Method, q.send.URI, q.send.Host, q.send.Header = r.Method, r.URL.RequestURI(), r.Host, endToEnd(r.Header)
	c.busy.Store(true)
	defer c.busy.Store(false)
	c.SetReadDeadline(time.Now().Add(words.Left + guardTime))
	if status := n.take(q, words); status != 0 {
		n.bodies.left.Add(q.body)
		c.reject(status, http.StatusText(status))
		return false
	}
	return c.watch(q)
}

func (n *Node) last(wantsClose bool) bool {
	return wantsClose || n.stopping.Load() || n.conns.crowded()
}

func (n *Node) take(q *request, words logic.Request) (status int) {
	n.do(func(now time.Duration) {
		switch {
		case n.requests[q.id] != nil:
			status = http.StatusConflict
		case n.opt.MaxOpen > 0 && n.open >= n.opt.MaxOpen:
			status = http.StatusServiceUnavailable
		default:
			n.requests[q.id] = q
			n.open++
			q.deadline = n.boot.Add(now - n.base + words.Left)
			n.bal.Request(now, words)
		}
	})
	return status
}

func (n *Node) words(r *http.Request, id string) logic.Request {
	h := r.Header
	q := logic.Request{ID: id, Class: h.Get("X-Qos"), Tenant: h.Get("X-Customer"), Retry: h.Get("X-Second-Try") == "1"}
	if q.Class == "" {
		q.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	if r.URL.RawQuery != "" {
		q.Key = r.URL.Query().Get("obj")
	}
	if us, err := strconv.ParseInt(h.Get("X-Size-Hint"), 10, 64); err == nil && us > 0 && us < 1<<40 {
		q.Work = time.Duration(us) * time.Microsecond
	}
	q.Left = n.classes[q.Class]
	if ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64); err == nil && ms > 0 && ms < int64(q.Left/time.Millisecond) {
		q.Left = time.Duration(ms) * time.Millisecond
	}
	return q
}

// malformed tells what is wrong with a request that net/http's parser lets through, if anything.
func malformed(r *http.Request) string {
	if r.Host == "" && r.ProtoAtLeast(1, 1) || !plain(r.Host) || strings.ContainsRune(r.Host, ' ') {
		return "Host is missing or malformed"
	}
	if r.ProtoMajor != 1 {
		return "not HTTP/1"
	}
	if uri := r.URL.RequestURI(); !strings.HasPrefix(uri, "/") || !plain(uri) || strings.ContainsRune(uri, ' ') {
		return "not a path"
	}
	for _, v := range r.Header["X-Expires-In-Ms"] {
		if ms, err := strconv.ParseInt(v, 10, 64); err != nil || ms <= 0 {
			return "X-Expires-In-Ms is not a positive number"
		}
	}
	for _, values := range r.Header {
		for _, v := range values {
			if !plain(v) {
				return "a header's value is malformed"
			}
		}
	}
	return ""
}

func plain(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Content-Length", "Upgrade", "Expect", "X-Expires-In-Ms"}

// endToEnd takes from h what concerns one connection only.
func endToEnd(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			switch name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name {
			case "X-Trace-Id", "Idempotency-Key": // go on whatever the client says
			default:
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}
