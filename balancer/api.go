package balancer

import "time"

// State is the state of a server on the endpoint list.
type State uint8

// The states of a server.
const (
	Running  State = iota // may get requests
	Draining              // gets no new requests
	Removed               // is to be deleted from the list
)

// Server is one entry of the endpoint list.
type Server struct {
	ID       string
	Zone     string
	Kind     string // servers of one kind are expected to be equally fast
	Cell     int    // cell within the zone; servers of one cell may share idempotency keys, see GroupCell
	State    State
	Weight   float64       // replaced by the mean of the weights listed so far unless positive and finite
	Since    time.Duration // clock reading at its last start; 0: long ago
	Priority int           // priority of its locality, used only if Settings.Localities is set
}

// UpdateKind is the kind of an EndpointUpdate and determines the meaning of its Servers.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateDelta    UpdateKind = iota // only the entries that changed
	UpdateSnapshot                   // the complete list
	UpdateCached                     // the complete list as last known; may be stale
	UpdateFailed                     // a poll failed or the watch broke; Servers is empty
	UpdatePartial                    // entries of a delta or snapshot that has not arrived whole; the poll or watch goes on or fails
)

// EndpointUpdate is a watch event or the result of a poll of the endpoint list.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// SilentFor is set only with UpdateFailed: how long a broken watch had received nothing, or 0 if a poll failed. The time
	// until the next poll is shortened accordingly.
	SilentFor time.Duration
	// Busy is set only with UpdateFailed: the service turned a poll away, with an answer or by closing the connection, so it is running
	// and may have time for another poll soon.
	Busy bool
	// Interrupted is set only with UpdateFailed: an answer to the poll began and broke off or stopped, so the service is running and
	// another poll may succeed at once.
	Interrupted bool
}

// Request is a client's request that this proxy has accepted. It gets exactly one final answer.
type Request struct {
	ID     string
	Class  string
	Tenant string
	// HighPriority and Size are passed to the Admission. HighPriority selects the priority HIGH of Envoy's circuit breakers; Size
	// is the number of bytes that are retained while the request is queued.
	HighPriority bool
	Size         int64
	TimeLeft     time.Duration // until the client gives up
	Work         time.Duration // expected work; 0: unknown
	Key          string        // identifies the object that the request concerns; may be empty
	Write        bool
	Retry        bool
}

// Result is the result of an attempt or of a health check.
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

var resultNames = [...]string{
	Served:         "served",
	ServerError:    "server_error",
	Rejected:       "rejected",
	TimedOut:       "timed_out",
	NotConnected:   "not_connected",
	ConnectionLost: "connection_lost",
	Cancelled:      "cancelled",
	NotSent:        "not_sent",
}

// String returns the name of the result, as log messages have it.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// Outcome describes how an attempt ended. Each Host.Send is followed by exactly one Outcome.
type Outcome struct {
	ID         string
	Attempt    int // number of the attempt within its request, from 0
	Result     Result
	Latency    time.Duration
	Final      bool          // the client has its final answer
	RetryAfter time.Duration // the server's Retry-After: how long to send it no requests; 0: none
	LoadReport map[string]float64
}

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	Server     string
	Result     Result
	Latency    time.Duration
	LoadReport map[string]float64
}

// Host executes the actions of a Balancer. Its methods must not block and must not call back into the Balancer.
type Host interface {
	// Send starts the next attempt of a request. The attempt times out at the clock reading expiresAt; with 0, only the request's
	// deadline applies.
	Send(id, server string, expiresAt time.Duration)
	// Reject answers a request that was not executed or may be repeated safely. With a retryAfter of 0, the answer has no
	// Retry-After.
	Reject(id string, retryAfter time.Duration)
	// Fail answers a request that may have been executed and cannot be repeated.
	Fail(id string)
	// Cancel aborts an attempt. The Outcome of the attempt is still reported.
	Cancel(id string, attempt int)
	// HealthCheck starts a health check. Its result is passed to Balancer.HealthChecked.
	HealthCheck(server string)
	// CloseIdle closes idle connections to a server.
	CloseIdle(server string)
	// SetTimer schedules one call of Balancer.Timer with the token after the given time.
	SetTimer(token uint64, after time.Duration)
	// Watch starts or stops watching the endpoint list.
	Watch(on bool)
	// Fetch requests the complete endpoint list once.
	Fetch()
	// Log writes a line to the proxy's log.
	Log(text string)
}
