package demo

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"robindrum/internal/gateway"
	"robindrum/internal/testbed/origin"
)

// What two servers of four workers do, 25 ms a request, and the parts of the play between which they are asked for three
// times that.
const (
	does     = 2 * 4 / 0.025
	overFrom = 0.3
	overTo   = 0.7
)

func (p *play) overloading() bool { return p.opt.Scene == "overload" }

// fewer leaves two servers with a capacity on the list.
func (p *play) fewer() {
	for i, s := range p.servers {
		s.SetDelay(25 * time.Millisecond)
		s.SetCapacity(origin.Capacity{Workers: 4, InitialSpeed: 1})
		s.listed = i < 2
	}
}

// rate is how many requests a second are asked at a time.
func (p *play) rate(at time.Duration) float64 {
	if !p.overloading() {
		return float64(p.opt.Rate)
	}
	if part := float64(at) / float64(p.opt.Length); part >= overFrom && part < overTo {
		return 3 * does
	}
	return does / 2
}

// overloads is the story of a load that is too much for a while.
func (p *play) overloads() []scene {
	return []scene{
		{0, fmt.Sprintf("the load begins: half of the %.0f requests a second that two servers do", does), nil},
		{overFrom, "three times what they do", nil},
		{overTo, "half again", nil},
	}
}

// overload counts by class while it lasts, and what is refused once it is over.
type overload struct {
	classes      [3]struct{ asked, served, inTime atomic.Int64 }
	refusedAfter atomic.Int64
}

var overClasses = [...]struct {
	name   string
	wanted time.Duration
}{{"seat-map", 100 * time.Millisecond}, {"seat-hold", 150 * time.Millisecond}, {"pay", 200 * time.Millisecond}}

func (o *overload) count(p *play, kind int, began time.Time, status int) {
	i := 0
	switch {
	case kind == 0:
		i = 2
	case kind <= 5:
		i = 1
	}
	at := began.Sub(p.began)
	switch part := float64(at) / float64(p.opt.Length); {
	case part >= overFrom && part < overTo:
		c := &o.classes[i]
		c.asked.Add(1)
		if status == http.StatusOK {
			c.served.Add(1)
			if time.Since(began) <= overClasses[i].wanted {
				c.inTime.Add(1)
			}
		}
	case at > time.Duration(overTo*float64(p.opt.Length))+2*time.Second && status == http.StatusServiceUnavailable:
		o.refusedAfter.Add(1)
	}
}

func (o *overload) sums() (l []ClassSum) {
	for i := range o.classes {
		c := &o.classes[i]
		l = append(l, ClassSum{overClasses[i].name, c.asked.Load(), c.served.Load(), c.inTime.Load()})
	}
	return l
}

// admission says what is admitted, where that is the story.
func (p *play) admission(s gateway.Status) string {
	if !p.overloading() {
		return ""
	}
	var b strings.Builder
	for _, c := range s.Clusters {
		a := c.Admission
		fmt.Fprintf(&b, " | limit %d, %d in flight, %d waiting", a.Limit, a.InFlight, a.Waiting)
	}
	return b.String()
}
