package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// Tokens of the timers that belong to no request. Those of requests are their sequence numbers.
const (
	pollTimer  = 0
	hedgeTimer = math.MaxInt64
)

// Balancer makes the decisions of one proxy. It must be called from one goroutine at a time.
type Balancer struct {
	settings Settings
	host     Host
	rng      *rand.Rand
	classes  map[string]*class
	tenants  map[string]*tenant

	minObjective time.Duration // the shortest latency objective of all classes
	shortWindow  time.Duration // time constant of what changes within some answers
	longWindow   time.Duration // time constant of what is known of a server

	endpoints endpointList
	polls     pollSchedule
	subset    subset
	slowStart warmBaseline
	latencies kindLatencies
	zoneLoss  map[string]*decayingMean // lost value of the attempts in each zone, from 0 to 1

	requests    requestTable
	load        attemptLoad
	overload    overloadEstimate
	retryBudget retryBudget

	hedgeTimerSet    bool
	admittingQueued  bool             // requests that an Admission had queued are being started
	localitiesHealth []LocalityHealth // reused by reportHealth
	firstRequestAt   time.Duration
}

// New returns the Balancer of one proxy. The error names the first setting that cannot be used.
func New(s Settings, seed uint64, host Host) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:     s,
		host:         host,
		rng:          rand.New(rand.NewPCG(seed, 0x62617361)),
		classes:      map[string]*class{},
		tenants:      map[string]*tenant{},
		minObjective: math.MaxInt64,
		endpoints:    newEndpointList(),
		latencies:    kindLatencies{byKind: map[string]*decayingMean{}, maxKinds: maxStaleNames},
		zoneLoss:     map[string]*decayingMean{},
		requests:     requestTable{byID: map[string]*request{}, unanswered: map[uint64]*request{}},
		retryBudget:  retryBudget{tokens: maxRetryTokens},
	}
	b.polls = pollSchedule{settings: &b.settings, host: host, rng: b.rng}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			c.LatencyObjective = c.Deadline
		}
		b.classes[c.Name] = &class{Class: c}
		b.minObjective = min(b.minObjective, c.LatencyObjective)
		b.shortWindow = max(b.shortWindow, 5*c.LatencyObjective)
		b.longWindow = max(b.longWindow, 2*c.Deadline)
	}
	for _, t := range s.Tenants {
		rate := t.Rate / float64(max(s.Proxies, 1))
		b.tenants[t.Name] = &tenant{rate: rate, tokens: rate}
	}
	// What is known of a server holds for about as long as it takes one to warm up.
	b.longWindow = max(b.longWindow, s.WarmUpTime)
	return b, nil
}

// Timer takes a timer that has run out.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case pollTimer:
		b.polls.timerExpired(now)
	case hedgeTimer:
		b.hedgeTimerExpired(now)
	default:
		if r := b.requests.unanswered[token]; r != nil {
			b.dispatch(now, r)
		}
		b.admitQueued(now)
	}
}

// HealthChecked takes the result of a health check. The Balancer asks for none and ignores it.
func (b *Balancer) HealthChecked(time.Duration, HealthCheckResult) {}
