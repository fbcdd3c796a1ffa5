package proxy

import (
	"io"
	"net/http"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// Client receives a request's one final answer: either Answer is called once, or Begin and then Finish. No method is
// called after the request's Done channel is closed.
type Client interface {
	// Answer writes a complete answer.
	Answer(a Answer)
	// Begin writes the head of a streamed answer and returns the writer of its body. Writes fail if the client has
	// disconnected or does not read.
	Begin(status int, h http.Header, length int64) io.Writer
	// Finish ends a streamed answer. If complete is false, the client must be able to detect that the answer is cut off.
	Finish(complete bool)
}

// Answer is a request's one final answer.
type Answer struct {
	Status     int
	RetryAfter time.Duration // 0 means none
	Header     http.Header
	Body       []byte
	Length     int64 // Content-Length of an answer to a HEAD request; -1 if unknown
	noBody     bool  // the request's method is HEAD
}

// Request is a client's request that a Front hands to a Core. Once a core has accepted the request, the front must not access
// it until Done is closed.
type Request struct {
	Attributes    balancer.Request // the ID must be unique within the core
	Send          backend.Request
	Client        Client
	ReservedBytes int64 // reserved from the memory quota; the core releases them when the request is finished

	id              string
	acceptedAt      time.Duration
	deadline        time.Time
	attempts        []*backend.Attempt
	repeats         *repeatGuard // limits attempts; nil if the request may be repeated at any time
	attemptServers  []string     // IDs of the servers of attempts
	attemptsRunning int
	answered        bool
	answer          Answer
	endpointError   *Answer          // the latest error response from an endpoint
	stream          *backend.Attempt // the attempt whose response is being streamed to the client
	memory          Quota
	done            chan struct{} // closed when the answer is written
}

type request = Request

// Done returns a channel that is closed when the answer is written. It is nil until a core has accepted the request.
func (q *Request) Done() <-chan struct{} { return q.done }

func (q *Request) isDone() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// Completed describes a completed request.
type Completed struct {
	Attributes balancer.Request
	Method     string
	Latency    time.Duration // until the answer was chosen or, if it was streamed, until it ended
	Outcome    RequestOutcome
}

// RequestOutcome is how a request ended.
type RequestOutcome uint8

// The outcomes of a request.
const (
	OutcomeServed RequestOutcome = iota
	OutcomeRejected
	OutcomeFailed
	OutcomeClientLeft // the client disconnected, or its deadline passed
)
