package proxy

import (
	"io"
	"net/http"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// Client receives a request's one final answer: either Answer is called once, or Begin and then Finish. Nothing is
// called after the request's Done channel is closed.
type Client interface {
	Answer(a Answer)
	// Begin writes the head of a streamed answer and returns the writer of its body. Writes fail if the client has left
	// or does not read.
	Begin(status int, h http.Header, length int64) io.Writer
	// Finish ends a streamed answer. If it is not complete the client must be able to tell.
	Finish(complete bool)
}

// Answer is a request's one final answer.
type Answer struct {
	Status     int
	RetryAfter time.Duration // 0 means none
	Header     http.Header
	Body       []byte
	Length     int64 // Content-Length of an answer to HEAD; -1 if not known
	noBody     bool  // the request was a HEAD
}

// Request is a client's request on its way from a front to a core. Once a core has accepted it the front must not touch
// it until Done is closed.
type Request struct {
	Attributes    balancer.Request // the ID is unique within the core
	Send          backend.Request
	Client        Client
	ReservedBytes int64 // of the memory quota, released by the core when the request is finished

	id              string
	acceptedAt      time.Duration
	deadline        time.Time
	attempts        []*backend.Attempt
	attemptsRunning int
	answered        bool
	answer          Answer
	endpointError   *Answer          // the endpoint's own error response
	stream          *backend.Attempt // whose response is being streamed to the client
	memory          Quota
	done            chan struct{} // closed when the answer is written
}

type request = Request

// Done returns a channel that is closed when the answer is written; nil before a core has accepted the request.
func (q *Request) Done() <-chan struct{} { return q.done }

func (q *Request) isDone() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// Completed describes a request that has ended.
type Completed struct {
	Attributes balancer.Request
	Method     string
	Latency    time.Duration // until its answer was given, or its streamed answer was complete
	Outcome    RequestOutcome
}

// RequestOutcome is how a request ended.
type RequestOutcome uint8

// The outcomes of a request.
const (
	OutcomeServed RequestOutcome = iota
	OutcomeRejected
	OutcomeFailed
	OutcomeClientLeft // the client left, or its time ran out
)
