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

// callOverheadBytes is the approximate number of bytes that a call sends in addition to its body; see Node.Sent.
const callOverheadBytes = 200

// StatusError is an error with an HTTP status. A handler returns it to choose the status of the response; Call returns it with the
// status that it received.
type StatusError struct {
	Status int
	Err    error
}

func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the error without the status.
func (e *StatusError) Unwrap() error { return e.Err }

// Handle registers a handler for POST calls to a path. handler receives the JSON body, which is at most maxBodyBytes long, and returns
// the reply, which is encoded as JSON. If handler returns a StatusError, the response has its status; for any other error it has status
// 500.
func (n *Node) Handle(path string, maxBodyBytes int64, handler func(ctx context.Context, body []byte) (any, error)) {
	n.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		reply, err := handler(r.Context(), body)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply) // fails if the caller has disconnected
	})
}

func statusOf(err error) int {
	var statusError *StatusError
	if errors.As(err, &statusError) {
		return statusError.Status
	}
	return http.StatusInternalServerError
}

// Call sends in as JSON in a POST request to a peer and decodes the reply into out, which may be nil. It returns early if ctx is done.
// If the peer responds with a status other than 200, the error is a StatusError; it also wraps ErrRemoteRejected if a retry would be
// rejected, too.
func (n *Node) Call(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	request.Header.Set(fleetHeader, n.options.Fleet)
	n.sentBytes.Add(int64(len(body)) + callOverheadBytes)
	n.traffic.calls.Add(1)
	response, err := n.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("call %s on %s: %w", path, address, err)
	}
	if response.StatusCode != http.StatusOK {
		err := fmt.Errorf("call %s on %s: %s", path, address, bytes.TrimSpace(reply))
		return newStatusError(response.StatusCode, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(reply, out); err != nil {
		return fmt.Errorf("call %s on %s: %w", path, address, err)
	}
	return nil
}

func newStatusError(status int, err error) error {
	if status == http.StatusMisdirectedRequest || status == http.StatusForbidden {
		err = fmt.Errorf("%w: %w", ErrRemoteRejected, err)
	}
	return &StatusError{Status: status, Err: err}
}
