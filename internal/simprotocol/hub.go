package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"robindrum/balancer"
)

// instance is the Balancer of one simulated node and the outbox for its actions. Instances share only the hub's server lists.
type instance struct {
	lb  *balancer.Balancer
	out outbox
}

// Hub dispatches events to the instances of one process.
type Hub struct {
	instances   map[int]*instance
	serverLists map[int][]balancer.Server
}

// NewHub returns a hub without instances.
func NewHub() *Hub {
	return &Hub{instances: map[int]*instance{}, serverLists: map[int][]balancer.Server{}}
}

// Decode decodes one line of input. Unknown fields are ignored; now and nodes are required.
func Decode(line []byte) (*Batch, error) {
	var decoded struct {
		Now   *time.Duration `json:"now"`
		Nodes *[]Node        `json:"nodes"`
	}
	if err := json.Unmarshal(line, &decoded); err != nil {
		return nil, fmt.Errorf("invalid JSON: %w", err)
	}
	if decoded.Now == nil || decoded.Nodes == nil {
		return nil, errors.New(`invalid batch: "now" or "nodes" is missing`)
	}
	return &Batch{*decoded.Now, *decoded.Nodes}, nil
}

// Apply applies a batch and appends the reply to dst, without a trailing newline.
func (h *Hub) Apply(batch *Batch, dst []byte) ([]byte, error) {
	dst = append(dst, `{"nodes":[`...)
	first := true
	for i := range batch.Nodes {
		node := &batch.Nodes[i]
		inst := h.instances[node.ID]
		if inst == nil {
			inst = &instance{}
			h.instances[node.ID] = inst
		}
		for j := range node.Happened {
			if err := h.applyEvent(batch.Now, inst, &node.Happened[j]); err != nil {
				return nil, fmt.Errorf("node %d, event %d: %w", node.ID, j, err)
			}
		}
		if len(inst.out.buf) == 0 {
			continue
		}
		if !first {
			dst = append(dst, ',')
		}
		first = false
		dst = append(strconv.AppendInt(append(dst, `{"node-id":`...), int64(node.ID), 10), `,"outbox":[`...)
		dst = append(append(dst, inst.out.buf...), "]}"...)
		inst.out.buf = inst.out.buf[:0]
	}
	return append(dst, "]}"...), nil
}

// applyEvent applies one event to an instance. A panic of the Balancer is reported to the simulator as a Fatal action.
func (h *Hub) applyEvent(now time.Duration, inst *instance, event *Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			inst.out.fatal(fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case event.Inventory != nil:
		return h.storeList(event.Inventory)
	case event.Boot != nil:
		return inst.boot(event.Boot)
	case event.Stop != nil:
		inst.lb, inst.out.buf = nil, inst.out.buf[:0]
		return nil
	}
	if *event == (Event{}) {
		return errors.New("unknown event")
	}
	if inst.lb == nil {
		return errors.New("event before Boot")
	}
	switch {
	case event.Fleet != nil:
		return h.updateEndpoints(now, inst, event.Fleet)
	case event.Knock != nil:
		inst.lb.Request(now, event.Knock.request())
	case event.Started != nil:
		inst.lb.Started(now, event.Started.Call, event.Started.Shot)
	case event.Verdict != nil:
		return inst.outcome(now, event.Verdict)
	case event.Hangup != nil:
		inst.lb.ClientGone(now, event.Hangup.Call)
	case event.Ring != nil:
		inst.lb.Timer(now, event.Ring.Handle)
	case event.Sampled != nil:
		return inst.healthChecked(now, event.Sampled)
	case event.Message != nil: // ignored: proxies exchange no messages
	}
	return nil
}

// storeList stores a server list under its table number, replacing an earlier one.
func (h *Hub) storeList(inventory *Inventory) error {
	list := make([]balancer.Server, 0, len(inventory.Members))
	for _, m := range inventory.Members {
		state, ok := states[m.Availability]
		if !ok {
			return fmt.Errorf("Inventory: unknown availability %q", m.Availability)
		}
		list = append(list, balancer.Server{ID: m.Backend, Zone: m.Zone, Kind: m.Flavor, Cell: m.UnitGroup,
			State: state, Weight: m.Share, Since: m.Since})
	}
	h.serverLists[inventory.Table] = list
	return nil
}

// boot creates the instance's Balancer. An earlier Balancer is replaced and its pending actions are discarded.
func (inst *instance) boot(boot *Boot) error {
	settings, err := boot.Info.Settings()
	if err != nil {
		return fmt.Errorf("Boot: %w", err)
	}
	inst.out.buf = inst.out.buf[:0]
	if inst.lb, err = balancer.New(settings, boot.Seed, &inst.out); err != nil {
		return fmt.Errorf("Boot: %w", err)
	}
	return nil
}

// updateEndpoints passes a stored server list, or the failure to get one, to the instance's Balancer.
func (h *Hub) updateEndpoints(now time.Duration, inst *instance, fleet *Fleet) error {
	kind, ok := updateKinds[fleet.How]
	if !ok {
		return fmt.Errorf("Fleet: unknown update kind %q", fleet.How)
	}
	update := balancer.EndpointUpdate{Kind: kind}
	if kind != balancer.UpdateFailed {
		if update.Servers, ok = h.serverLists[fleet.Table]; !ok {
			return fmt.Errorf("Fleet: no Inventory with table %d was sent", fleet.Table)
		}
	}
	inst.lb.UpdateEndpoints(now, update)
	return nil
}

// outcome passes the result of an attempt to the Balancer.
func (inst *instance) outcome(now time.Duration, verdict *Verdict) error {
	result, ok := results[verdict.Ending]
	if !ok {
		return fmt.Errorf("Verdict: unknown ending %q", verdict.Ending)
	}
	inst.lb.Outcome(now, balancer.Outcome{ID: verdict.Call, Attempt: verdict.Shot, Result: result, Latency: verdict.Lag,
		Final: verdict.Finished, LoadReport: verdict.Metrics})
	return nil
}

// healthChecked passes the result of a health check to the Balancer.
func (inst *instance) healthChecked(now time.Duration, sampled *Sampled) error {
	result, ok := results[sampled.Ending]
	if !ok {
		return fmt.Errorf("Sampled: unknown ending %q", sampled.Ending)
	}
	inst.lb.HealthChecked(now, balancer.HealthCheckResult{Server: sampled.Backend, Result: result, Latency: sampled.Lag, LoadReport: sampled.Metrics})
	return nil
}
