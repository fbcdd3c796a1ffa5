// The records that balancer.go keeps. Nothing is decided here.

package balancer

import (
	"math"
	"time"
)

type server struct {
	Server
	home     bool
	inFlight int           // own attempts out
	quiet    time.Duration // since when it has answered nothing while attempts were out
	slow     stat          // latency, as a multiple of its class's mean
	recent   stat          // the same over a shorter time
	sent     stat          // sends over the time in which a cold server falls over
	strikes  int           // failures in a row
	trips    int           // ejections in a row
	until    time.Duration // ejected until then
	outAt    time.Duration // when it was ejected last
	trial    bool
	turned   map[*class]*turns // of classes that it has turned away since it served one
	weight   float64
	place    float64
	added    int // how many were added before it
}

// turns is how a server turns a class away.
type turns struct {
	row   int           // times in a row
	trips int           // times that it was left out for it, in a row
	until time.Duration // left out until then
}

type attempt struct {
	to     *server
	sent   time.Duration
	out    bool
	proved bool

	lowered bool            // out of the counters
	ask     LocalityRequest // where there are tiers
}

type request struct {
	Request
	seq      uint64
	class    *class
	deadline time.Duration
	tries    []attempt
	out      int
	done     bool // has its final answer
	streams  bool
	waits    bool            // for the admission to start it
	started  bool            // the admission counts it
	begun    time.Duration   // when a long answer to a class that does not stream began
	wait     time.Duration   // what the tiers said last of coming back
	ask      LocalityRequest // what the tiers gave the next attempt's locality for
}

type class struct {
	Class
	lat, dev float64 // mean latency of served attempts and its mean deviation
	n        float64
}

// density is the worth of a request over the work that it takes.
func (c *class) density(byWork bool) float64 {
	if byWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.lat, 1)
}

// learn takes the latency of a served attempt.
func (c *class) learn(took float64) {
	c.n++
	k := 50.0
	if c.n <= minSamples {
		k = c.n
	}
	if c.n > 1 { // from the first alone there is no deviation
		c.dev += (math.Abs(took-c.lat) - c.dev) / k
	}
	c.lat += (took - c.lat) / k
}

// patience is how long an answer may take before it is overdue. Danger: latency has a long tail. A bound that
// does not grow with the spread calls every other answer overdue, and copies eat the retry budget.
func (c *class) patience() time.Duration {
	if c.n < minSamples {
		return c.Deadline
	}
	return time.Duration(c.lat + overdue*c.dev)
}

type tenant struct {
	rate, left float64
	at         time.Duration
}

// stat is a mean that forgets.
type stat struct {
	sum, n float64
	at     time.Duration
}

func (s *stat) fade(now, life time.Duration) *stat {
	if now > s.at {
		f := math.Exp(-float64(now-s.at) / float64(life))
		s.sum, s.n, s.at = s.sum*f, s.n*f, now
	}
	return s
}

func (s *stat) add(x float64) { s.sum, s.n = s.sum+x, s.n+1 }

func (s *stat) mean(prior, k float64) float64 { return (s.sum + prior*k) / (s.n + k) }

// pooled is the stat of a name, made where it is lacking and faded to now.
func pooled(m map[string]*stat, name string, now, life time.Duration) *stat {
	s := m[name]
	if s == nil {
		s = &stat{at: now}
		m[name] = s
	}
	return s.fade(now, life)
}

// EachServer tells of each server of the list how many of this proxy's attempts are out at it, and whether it is ejected.
func (b *Balancer) EachServer(now time.Duration, fn func(id string, inFlight int, ejected bool)) {
	for _, s := range b.list {
		fn(s.ID, s.inFlight, b.ejected(s, now))
	}
}
