package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"robindrum/balancer"
)

// Update is an update of the endpoint list. Endpoints are the addresses of its servers by ID.
type Update struct {
	balancer.EndpointUpdate
	Endpoints map[string]string
}

// listMessage is a line of the platform's protocol; its themed names are mapped by Parse.
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

// Parse decodes one line and returns its revision and update. It returns an error, and no part of the update, if anything
// in the line is invalid.
func Parse(line []byte) (rev uint64, u Update, err error) {
	var l listMessage
	if err := json.Unmarshal(line, &l); err != nil {
		return 0, u, fmt.Errorf("list: %w", err)
	}
	if l.Rev == nil || l.Targets == nil {
		return 0, u, errors.New("list: rev or targets is missing")
	}
	u.Kind = balancer.UpdateDelta
	if l.All {
		u.Kind = balancer.UpdateSnapshot
	}
	u.Endpoints = make(map[string]string, len(*l.Targets))
	for _, t := range *l.Targets {
		state, ok := statesByWireName[t.State]
		if !ok || t.UID == "" {
			return 0, u, fmt.Errorf("list: uid %q, state %q", t.UID, t.State)
		}
		s := balancer.Server{ID: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.PodGroup, State: state, Weight: 1}
		if t.Capacity != nil {
			s.Weight = *t.Capacity
		}
		if t.BootMS > 0 && t.BootMS < 1<<43 {
			s.Since = time.Duration(t.BootMS) * time.Millisecond
		}
		if state != balancer.Removed {
			if _, port, err := net.SplitHostPort(t.Endpoint); err != nil || port == "" {
				return 0, u, fmt.Errorf("list: uid %q, endpoint %q", t.UID, t.Endpoint)
			}
			u.Endpoints[t.UID] = t.Endpoint
		}
		u.Servers = append(u.Servers, s)
	}
	return *l.Rev, u, nil
}
