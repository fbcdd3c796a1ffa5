package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// Tokens of the timers that belong to no request. The timer of a request has the request's sequence number as its token.
const (
	pollTimer  = 0
	hedgeTimer = math.MaxInt64
)

// Balancer makes the load-balancing decisions of one proxy. It must be called from one goroutine at a time.
type Balancer struct {
	settings Settings
	host     Host
	rng      *rand.Rand
	classes  map[string]*class
	tenants  map[string]*tenant

	minObjective time.Duration // the shortest latency objective of all classes
	shortWindow  time.Duration // time constant of means that follow the current load
	longWindow   time.Duration // time constant of means that describe a server, a kind or a zone

	endpoints endpointList
	polls     pollSchedule
	subset    subset
	slowStart warmBaseline
	latencies kindLatencies
	zoneLoss  map[string]*decayingMean // loss of the attempts by zone, see observeOutcome

	requests    requestTable
	load        attemptLoad
	overload    overloadEstimate
	retryBudget retryBudget

	hedgeTimerSet   bool
	admittingQueued bool             // admitQueued is running
	localityHealth  []LocalityHealth // buffer of reportHealth
	firstRequestAt  time.Duration
}

// New returns a Balancer for one proxy. The error names the first invalid setting.
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
	// Observations of a server remain valid for about as long as a server takes to warm up.
	b.longWindow = max(b.longWindow, s.WarmUpTime)
	return b, nil
}

// Timer handles the expiry of a timer that was set with Host.SetTimer.
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

// HealthChecked ignores the result of a health check: the Balancer never calls Host.HealthCheck.
func (b *Balancer) HealthChecked(time.Duration, HealthCheckResult) {}
