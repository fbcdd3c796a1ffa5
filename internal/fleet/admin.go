package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

const (
	adminTimeout            = 10 * time.Second // for a command to the quorum
	maxDrainRequestBytes    = 64 << 10
	maxReleaseCommandBytes  = 4 * release.MaxConfigBytes
	drainCommandsPathPrefix = "POST /fleet/"
)

// drainCommands are the operators' commands on drains, by the last segment of their path.
var drainCommands = map[string]quorum.Op{
	"drain":   quorum.OpDrain,
	"undrain": quorum.OpCancelDrain,
	"halt":    quorum.OpHaltDrains,
	"resume":  quorum.OpResumeDrains,
}

// Handler returns the HTTP interface for operators: GET /fleet, GET /fleet/leases, POST /fleet/revoke?lease=NAME, GET /fleet/orders,
// POST /fleet/drain, undrain, halt and resume, GET /fleet/releases, and POST /fleet/release. Responses are JSON. Status 400 means that
// the request body is invalid, and 503 that the quorum has not answered or has rejected the command.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, f.Status(), nil) })
	mux.HandleFunc("GET /fleet/leases", func(w http.ResponseWriter, r *http.Request) {
		leases, err := f.Leases(r.Context())
		writeResponse(w, leases, err)
	})
	mux.HandleFunc("POST /fleet/revoke", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		writeResponse(w, struct{}{}, f.Revoke(ctx, r.URL.Query().Get("lease")))
	})
	mux.HandleFunc("GET /fleet/orders", func(w http.ResponseWriter, r *http.Request) {
		drains, err := f.Drains(r.Context())
		writeResponse(w, drains, err)
	})
	for name, op := range drainCommands {
		mux.HandleFunc(drainCommandsPathPrefix+name, func(w http.ResponseWriter, r *http.Request) { f.serveDrainCommand(w, r, op) })
	}
	mux.HandleFunc("GET /fleet/releases", func(w http.ResponseWriter, r *http.Request) {
		releases, err := f.client.Releases(r.Context())
		writeResponse(w, releases, err)
	})
	mux.HandleFunc("POST /fleet/release", f.serveReleaseCommand)
	return mux
}

// serveDrainCommand applies a command on drains. The commands that concern all drains need no body.
func (f *Fleet) serveDrainCommand(w http.ResponseWriter, r *http.Request, op quorum.Op) {
	var request drain.Request
	err := json.NewDecoder(io.LimitReader(r.Body, maxDrainRequestBytes)).Decode(&request)
	needsBody := op == quorum.OpDrain || op == quorum.OpCancelDrain
	if err != nil && needsBody {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	result, err := f.commandDrain(ctx, op, &request)
	writeResponse(w, result, err)
}

func (f *Fleet) serveReleaseCommand(w http.ResponseWriter, r *http.Request) {
	var command quorum.Command
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReleaseCommandBytes)).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch command.Op {
	case quorum.OpStoreConfig, quorum.OpStartRelease, quorum.OpHaltRelease, quorum.OpResumeRelease, quorum.OpRollbackRelease, quorum.OpStopRelease:
	default:
		http.Error(w, fmt.Sprintf("no such command: %q", command.Op), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	_, err := f.command(ctx, command)
	writeResponse(w, struct{}{}, err)
}

func writeResponse(w http.ResponseWriter, response any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(response) // fails only if the client has disconnected
}

// Leases asks the quorum for all leases.
func (f *Fleet) Leases(ctx context.Context) (quorum.LeaseList, error) { return f.client.Leases(ctx) }

// Drains asks the quorum for all drain requests.
func (f *Fleet) Drains(ctx context.Context) (quorum.DrainList, error) { return f.client.Drains(ctx) }

// Revoke revokes a lease: the lease is no longer renewed, and ends when its holder's last grant expires.
func (f *Fleet) Revoke(ctx context.Context, name string) error {
	_, err := f.command(ctx, quorum.Command{Op: quorum.OpRevoke, Lease: name})
	return err
}

// commandDrain applies a command on drains and returns the resulting drain request.
func (f *Fleet) commandDrain(ctx context.Context, op quorum.Op, request *drain.Request) (drain.Request, error) {
	result, err := f.command(ctx, quorum.Command{Op: op, Drain: request})
	if result.Drain != nil {
		return *result.Drain, err
	}
	return drain.Request{}, err
}

// command sends a command to the quorum and returns its result. The result is also valid if the error is the quorum's rejection.
func (f *Fleet) command(ctx context.Context, command quorum.Command) (quorum.Result, error) {
	result, _, err := f.client.Do(ctx, command)
	if err == nil {
		err = result.Err()
	}
	return result, err
}
