// Spoilt runs a case of spoilt answers: one answer in twenty has a length that doesn't fit.
package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/review/rig"
)

const (
	backends = 4
	oneIn    = 20 // answers of which one is spoilt
	interval = 20 * time.Millisecond
	length   = 15 * time.Second
	tooMuch  = 1 << 20 // bodies hold at most 64 KiB
)

func main() { rig.Main(run) }

func run(r *rig.Run) error {
	var answers atomic.Int64
	var mu sync.Mutex
	spoilt := map[string]string{} // how the answer to a request was spoilt
	answer := func(name string) func(c net.Conn, a rig.Arrival) bool {
		return func(c net.Conn, a rig.Arrival) bool {
			time.Sleep(10 * time.Millisecond)
			n := answers.Add(1)
			body := rig.Answer(a.ID)
			if !r.Trouble || n%oneIn != 0 {
				_, err := c.Write([]byte(rig.Whole(body)))
				return err == nil
			}
			kind := "short"
			if n/oneIn%2 == 0 {
				kind = "long"
			}
			mu.Lock()
			spoilt[a.ID] = kind
			mu.Unlock()
			r.Printf("%s answers %s with a spoilt answer, %s", name, a.ID, kind)
			if kind == "short" { // the length is half of the body's
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)/2, body)
			} else { // the length is far beyond the body's, and noise keeps coming
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", tooMuch, body)
				noise := make([]byte, 16<<10)
				for i := range noise {
					noise[i] = byte(i * 7)
				}
				for sent := 0; sent < 2*tooMuch; sent += len(noise) {
					if _, err := c.Write(noise); err != nil {
						return false
					}
				}
			}
			_, _ = c.Read(make([]byte, 1)) // the connection stays open and is of no further use
			return false
		}
	}
	var targets []rig.Target
	for i := range backends {
		b, err := rig.StartBackend(fmt.Sprintf("s-%d", i), answer(fmt.Sprintf("s-%d", i)))
		if err != nil {
			return err
		}
		defer b.Close()
		targets = append(targets, rig.Sapporo(b.Name, b.Addr))
	}
	d, err := rig.StartDiscovery(1, targets)
	if err != nil {
		return err
	}
	defer d.Close()
	n, err := r.Node(&rig.Config{Name: "n0", Discovery: d.Addr, Nodes: 1, Known: targets, Classes: rig.SeatClasses(), Parallel: true})
	if err != nil {
		return err
	}
	var sent, served, refused, failed, wrong atomic.Int64
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	rig.Load(n.Listen, interval, stop, func(q *rig.Request, _ time.Time, result rig.Result) {
		sent.Add(1)
		switch {
		case result.Status == 200 && result.Err == nil && result.Body == rig.Answer(q.ID):
			served.Add(1)
		case result.Status == 200 && result.Err == nil: // whole, as far as the client can tell
			wrong.Add(1)
			mu.Lock()
			kind := spoilt[q.ID]
			mu.Unlock()
			r.Broken("client of %s %s was served a whole 200 answer of %d bytes; the backend had made one of %d bytes for it (its answer was spoilt: %s)",
				q.Class, q.ID, len(result.Body), len(rig.Answer(q.ID)), kind)
		case result.Status == 429 || result.Status == 503:
			refused.Add(1)
		default:
			failed.Add(1)
			r.Printf("client of %s %s: status %d, error %v", q.Class, q.ID, result.Status, result.Err)
		}
	})
	r.Printf("%d requests: %d served, %d refused, %d failed, %d served with something else", sent.Load(), served.Load(), refused.Load(), failed.Load(), wrong.Load())
	if served.Load() < sent.Load()/2 {
		return fmt.Errorf("%d of %d requests were served", served.Load(), sent.Load())
	}
	return nil
}
