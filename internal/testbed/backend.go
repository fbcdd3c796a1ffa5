package testbed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
)

// ReceivedRequest is a complete request that a Backend received.
type ReceivedRequest struct {
	*http.Request        // its Body has been read completely
	Content       []byte // the request body
	Connection    int    // number of the connection, from 0
}

// Backend is a Peer that serves HTTP/1.1 and records the requests that it receives.
type Backend struct {
	*Peer

	mu       sync.Mutex
	requests []ReceivedRequest
}

// NewBackend starts a backend and closes it when the test ends. reply returns the complete response to a request, which is written to the
// connection unchanged; if it is empty, the connection is closed instead. number counts the requests of all connections from 0. reply is
// called concurrently for different connections.
func NewBackend(t testing.TB, reply func(request ReceivedRequest, number int) string) *Backend {
	t.Helper()
	b := &Backend{}
	b.Peer = NewPeer(t, func(connection net.Conn, connectionNumber int) {
		reader := bufio.NewReader(connection)
		for {
			request, err := readRequest(reader, connectionNumber)
			if err != nil {
				return
			}
			response := reply(request, b.record(request))
			if response == "" {
				return
			}
			if _, err := io.WriteString(connection, response); err != nil {
				return
			}
		}
	})
	return b
}

func readRequest(reader *bufio.Reader, connection int) (ReceivedRequest, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ReceivedRequest{}, err
	}
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return ReceivedRequest{}, err
	}
	return ReceivedRequest{Request: request, Content: content, Connection: connection}, nil
}

// record stores a request and returns its number.
func (b *Backend) record(request ReceivedRequest) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := len(b.requests)
	b.requests = append(b.requests, request)
	return number
}

// Requests returns the completely received requests, in the order in which they were received.
func (b *Backend) Requests() []ReceivedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.requests)
}
