package balancer

import "time"

// State is what the endpoint list says of a server.
type State uint8

// The states of a server.
const (
	Running  State = iota // may be sent requests
	Draining              // gets no new requests
	Removed               // leaves the list
)

// Server is one entry of the endpoint list.
type Server struct {
	ID       string
	Zone     string
	Kind     string // servers of one kind are expected to be equally fast
	Cell     int
	State    State
	Weight   float64       // not positive or infinite: the mean of the weights listed so far is taken
	Since    time.Duration // when it last started; 0: long ago
	Priority int           // priority of its locality, where Settings.Localities is set
}

// UpdateKind says what an EndpointUpdate holds.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateDelta    UpdateKind = iota // entries that changed
	UpdateSnapshot                   // the complete list
	UpdateCached                     // the complete list as last known, perhaps stale
	UpdateFailed                     // a poll failed or the watch broke; no entries
)

// EndpointUpdate is a watch event or the result of a poll of the endpoint list.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// SilentFor belongs to UpdateFailed alone: how long a watch that broke had been silent by then, 0 where a poll failed. The
	// next poll is due so much sooner.
	SilentFor time.Duration
}

// Request is a client's request that this proxy has accepted and owes one final answer.
type Request struct {
	ID     string
	Class  string
	Tenant string
	// HighPriority and Size are for an Admission: the priority HIGH of Envoy's circuit breakers, and the bytes that are retained
	// while the request is queued.
	HighPriority bool
	Size         int64
	TimeLeft     time.Duration // until the client gives up
	Work         time.Duration // expected work; 0: unknown
	Key          string        // what it concerns; may be empty
	Write        bool
	Retry        bool
}

// Result is how an attempt ended.
type Result uint8

// The results of attempts. Only Rejected, NotConnected and NotSent prove that the request was not executed.
const (
	Served Result = iota
	ServerError
	Rejected
	TimedOut
	NotConnected
	ConnectionLost
	Cancelled
	NotSent
)

// Outcome is the end of an attempt; there is one for each Host.Send.
type Outcome struct {
	ID         string
	Attempt    int // attempts of a request are numbered from 0
	Result     Result
	Latency    time.Duration
	Final      bool          // the request has its final answer
	RetryAfter time.Duration // how long the server asks not to be sent requests; 0: it does not
	LoadReport map[string]float64
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Server     string
	Result     Result
	Latency    time.Duration
	LoadReport map[string]float64
}

// Host carries out what a Balancer decides. Its methods must not block and must not call back into the Balancer.
type Host interface {
	// Send starts the next attempt of a request. An expire of zero sets it no time limit of its own.
	Send(id, server string, expire time.Duration)
	// Reject answers a request that was not executed, or may be repeated; a retryAfter of zero gives the client no advice.
	Reject(id string, retryAfter time.Duration)
	// Fail answers a request that may have been executed and cannot be repeated.
	Fail(id string)
	// Cancel stops waiting for an attempt. Its Outcome still follows.
	Cancel(id string, attempt int)
	// HealthCheck starts a health check, whose end goes to Balancer.HealthChecked.
	HealthCheck(server string)
	// CloseIdle closes idle connections to a server.
	CloseIdle(server string)
	// SetTimer asks for one call of Balancer.Timer with the token after that time.
	SetTimer(token uint64, after time.Duration)
	// Watch starts or stops following changes of the endpoint list.
	Watch(on bool)
	// Fetch asks for the complete endpoint list once.
	Fetch()
	// Log writes a line to the proxy's log.
	Log(text string)
}
