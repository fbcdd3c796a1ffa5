package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// callOverheadBytes is about what a call sends beyond its body; see Node.Sent.
const callOverheadBytes = 200

// StatusError is an error with an HTTP status: of a handler, the status that its caller gets; of Call, the one that was received.
type StatusError struct {
	Status int
	Err    error
}

func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the error without its status.
func (e *StatusError) Unwrap() error { return e.Err }

// Handle registers a handler of POST calls of a path. handler gets a body of at most maxBodyBytes, in JSON, and returns what is
// answered, as JSON. An error that is a StatusError is answered with its status, any other one with 500.
func (n *Node) Handle(path string, maxBodyBytes int64, handler func(ctx context.Context, body []byte) (any, error)) {
	n.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		answer, err := handler(r.Context(), body)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // fails where the caller has left
	})
}

func statusOf(err error) int {
	var statusError *StatusError
	if errors.As(err, &statusError) {
		return statusError.Status
	}
	return http.StatusInternalServerError
}

// Call posts in to a peer as JSON and reads its answer into out, which may be nil. It ends with ctx. The error is a StatusError where
// the peer answered with one, and also wraps ErrRemoteRejected where a retry would get the same.
func (n *Node) Call(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	request.Header.Set(fleetHeader, n.options.Fleet)
	n.sentBytes.Add(int64(len(body)) + callOverheadBytes)
	n.traffic.calls.Add(1)
	response, err := n.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%s of %s: %w", path, address, err)
	}
	if response.StatusCode != http.StatusOK {
		err := fmt.Errorf("%s of %s: %s", path, address, bytes.TrimSpace(answer))
		return newStatusError(response.StatusCode, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("%s of %s: %w", path, address, err)
	}
	return nil
}

func newStatusError(status int, err error) error {
	if status == http.StatusMisdirectedRequest || status == http.StatusForbidden {
		err = fmt.Errorf("%w: %w", ErrRemoteRejected, err)
	}
	return &StatusError{Status: status, Err: err}
}
