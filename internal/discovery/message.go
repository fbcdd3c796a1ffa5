package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"robindrum/balancer"
)

// Update is an update of the endpoint list. Endpoints contains the addresses of its servers by ID.
type Update struct {
	balancer.EndpointUpdate
	Endpoints map[string]string
}

// listMessage is a line of the platform's protocol. Parse maps its field names to those of package balancer.
type listMessage struct {
	Rev     *uint64          `json:"rev"`
	All     bool             `json:"all"`
	Targets *[]targetMessage `json:"targets"`
}

type targetMessage struct {
	UID      string   `json:"uid"`
	Endpoint string   `json:"endpoint"`
	AZ       string   `json:"az"`
	Model    string   `json:"model"`
	PodGroup int      `json:"pod_group"`
	State    string   `json:"state"`
	Capacity *float64 `json:"capacity_hint"`
	BootMS   int64    `json:"boot_ms"`
}

var statesByWireName = map[string]balancer.State{"SERVING": balancer.Running, "DRAINING": balancer.Draining, "DELETED": balancer.Removed}

// Parse decodes one line and returns its revision and update. If any part of the line is invalid, it returns an error and the
// update must not be used.
func Parse(line []byte) (rev uint64, u Update, err error) {
	var list listMessage
	if err := json.Unmarshal(line, &list); err != nil {
		return 0, u, fmt.Errorf("list: decode JSON: %w", err)
	}
	if list.Rev == nil || list.Targets == nil {
		return 0, u, errors.New("list: rev and targets are required")
	}
	u.Kind = balancer.UpdateDelta
	if list.All {
		u.Kind = balancer.UpdateSnapshot
	}
	u.Endpoints = make(map[string]string, len(*list.Targets))
	for i := range *list.Targets {
		if err := u.add(&(*list.Targets)[i]); err != nil {
			return 0, u, err
		}
	}
	return *list.Rev, u, nil
}

// add adds an entry of a list, or returns an error if the entry is invalid.
func (u *Update) add(target *targetMessage) error {
	state, ok := statesByWireName[target.State]
	if !ok || target.UID == "" {
		return fmt.Errorf("list: uid must not be empty and state must be SERVING, DRAINING or DELETED, got uid %q, state %q", target.UID, target.State)
	}
	server := balancer.Server{ID: target.UID, Zone: target.AZ, Kind: target.Model, Cell: target.PodGroup, State: state, Weight: 1}
	if target.Capacity != nil {
		server.Weight = *target.Capacity
	}
	if target.BootMS > 0 && target.BootMS < 1<<43 {
		server.Since = time.Duration(target.BootMS) * time.Millisecond
	}
	if state != balancer.Removed {
		if _, port, err := net.SplitHostPort(target.Endpoint); err != nil || port == "" {
			return fmt.Errorf("list: uid %q: endpoint must be host:port, got %q", target.UID, target.Endpoint)
		}
		u.Endpoints[target.UID] = target.Endpoint
	}
	u.Servers = append(u.Servers, server)
	return nil
}

// parsePartial decodes a line that has not arrived whole. The update has the servers that are draining or removed by the entries that
// did arrive whole; it has none if the revision did not arrive before the entries.
func parsePartial(line []byte) (rev uint64, u Update) {
	u.Kind = balancer.UpdatePartial
	u.Endpoints = map[string]string{}
	decoder := json.NewDecoder(bytes.NewReader(line))
	if _, err := decoder.Token(); err != nil {
		return 0, u
	}
	hasRevision := false
	for decoder.More() {
		name, err := decoder.Token()
		switch {
		case err != nil:
			return rev, u
		case name == "rev":
			err = decoder.Decode(&rev)
			hasRevision = err == nil
		case name == "targets" && hasRevision:
			u.addUnusable(decoder)
			return rev, u
		default:
			var skipped json.RawMessage
			err = decoder.Decode(&skipped)
		}
		if err != nil {
			return rev, u
		}
	}
	return rev, u
}

// addUnusable adds the entries of draining and removed servers up to the first entry that is incomplete or invalid.
func (u *Update) addUnusable(entries *json.Decoder) {
	if _, err := entries.Token(); err != nil {
		return
	}
	for entries.More() {
		var target targetMessage
		if err := entries.Decode(&target); err != nil {
			return
		}
		if state, ok := statesByWireName[target.State]; ok && state == balancer.Running {
			continue
		}
		if err := u.add(&target); err != nil {
			return
		}
	}
}
