package discovery

import (
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
	for _, target := range *list.Targets {
		state, ok := statesByWireName[target.State]
		if !ok || target.UID == "" {
			return 0, u, fmt.Errorf("list: uid must not be empty and state must be SERVING, DRAINING or DELETED, got uid %q, state %q", target.UID, target.State)
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
				return 0, u, fmt.Errorf("list: uid %q: endpoint must be host:port, got %q", target.UID, target.Endpoint)
			}
			u.Endpoints[target.UID] = target.Endpoint
		}
		u.Servers = append(u.Servers, server)
	}
	return *list.Rev, u, nil
}
