package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"robindrum/balancer"
)

// instance is one node's Balancer with its outbox. Instances share nothing but the table of lists.
type instance struct {
	lb  *balancer.Balancer
	out outbox
}

// Hub routes events to the instances of one process.
type Hub struct {
	nodes map[int]*instance
	lists map[int][]balancer.Server
}

// NewHub returns a hub without instances.
func NewHub() *Hub { return &Hub{nodes: map[int]*instance{}, lists: map[int][]balancer.Server{}} }

// Decode decodes one line of input.
func Decode(line []byte) (*Batch, error) {
	var b struct {
		Now   *time.Duration `json:"now"`
		Nodes *[]Node        `json:"nodes"`
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("not the wire's JSON: %w", err)
	}
	if b.Now == nil || b.Nodes == nil {
		return nil, errors.New("not a batch: now or nodes is missing")
	}
	return &Batch{*b.Now, *b.Nodes}, nil
}

// Do applies a batch and appends the reply, without a line end, to dst.
func (h *Hub) Do(b *Batch, dst []byte) ([]byte, error) {
	dst = append(dst, `{"nodes":[`...)
	first := true
	for i := range b.Nodes {
		n := &b.Nodes[i]
		in := h.nodes[n.ID]
		if in == nil {
			in = &instance{}
			h.nodes[n.ID] = in
		}
		for k := range n.Happened {
			if err := h.event(b.Now, in, &n.Happened[k]); err != nil {
				return nil, fmt.Errorf("node %d, event %d: %w", n.ID, k, err)
			}
		}
		if len(in.out.buf) == 0 {
			continue
		}
		if !first {
			dst = append(dst, ',')
		}
		first = false
		dst = append(strconv.AppendInt(append(dst, `{"node-id":`...), int64(n.ID), 10), `,"outbox":[`...)
		dst = append(append(dst, in.out.buf...), "]}"...)
		in.out.buf = in.out.buf[:0]
	}
	return append(dst, "]}"...), nil
}

// event applies one event to an instance. The Balancer's panics become a fatal action of the instance.
func (h *Hub) event(now time.Duration, in *instance, e *Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			in.out.fatal(fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case e.Inventory != nil:
		return h.storeList(e.Inventory)
	case e.Boot != nil:
		return in.boot(e.Boot)
	case e.Stop != nil:
		in.lb, in.out.buf = nil, in.out.buf[:0]
		return nil
	}
	if *e == (Event{}) {
		return errors.New("an event with no known name")
	}
	if in.lb == nil {
		return errors.New("an event before Boot")
	}
	switch {
	case e.Fleet != nil:
		return h.updateEndpoints(now, in, e.Fleet)
	case e.Knock != nil:
		in.lb.Request(now, e.Knock.request())
	case e.Started != nil:
		in.lb.Started(now, e.Started.Call, e.Started.Shot)
	case e.Verdict != nil:
		return in.outcome(now, e.Verdict)
	case e.Hangup != nil:
		in.lb.ClientGone(now, e.Hangup.Call)
	case e.Ring != nil:
		in.lb.Timer(now, e.Ring.Handle)
	case e.Sampled != nil:
		return in.healthChecked(now, e.Sampled)
	case e.Message != nil: // proxies share nothing
	}
	return nil
}

// storeList stores a list of servers under its number.
func (h *Hub) storeList(inventory *Inventory) error {
	list := make([]balancer.Server, 0, len(inventory.Members))
	for _, m := range inventory.Members {
		state, ok := states[m.Availability]
		if !ok {
			return fmt.Errorf("Inventory: availability %q is not known", m.Availability)
		}
		list = append(list, balancer.Server{ID: m.Backend, Zone: m.Zone, Kind: m.Flavor, Cell: m.UnitGroup,
			State: state, Weight: m.Share, Since: m.Since})
	}
	h.lists[inventory.Table] = list
	return nil
}

// boot starts the instance's Balancer, also in place of an earlier one.
func (in *instance) boot(boot *Boot) error {
	settings, err := boot.Info.Settings()
	if err != nil {
		return fmt.Errorf("Boot: %w", err)
	}
	in.out.buf = in.out.buf[:0]
	if in.lb, err = balancer.New(settings, boot.Seed, &in.out); err != nil {
		return fmt.Errorf("Boot: %w", err)
	}
	return nil
}

func (h *Hub) updateEndpoints(now time.Duration, in *instance, f *Fleet) error {
	kind, ok := updateKinds[f.How]
	if !ok {
		return fmt.Errorf("Fleet: how %q is not known", f.How)
	}
	update := balancer.EndpointUpdate{Kind: kind}
	if kind != balancer.UpdateFailed {
		if update.Servers, ok = h.lists[f.Table]; !ok {
			return fmt.Errorf("Fleet: table %d was never sent", f.Table)
		}
	}
	in.lb.UpdateEndpoints(now, update)
	return nil
}

func (in *instance) outcome(now time.Duration, v *Verdict) error {
	result, ok := results[v.Ending]
	if !ok {
		return fmt.Errorf("Verdict: ending %q is not known", v.Ending)
	}
	in.lb.Outcome(now, balancer.Outcome{ID: v.Call, Attempt: v.Shot, Result: result, Latency: v.Lag,
		Final: v.Finished, LoadReport: v.Metrics})
	return nil
}

func (in *instance) healthChecked(now time.Duration, s *Sampled) error {
	result, ok := results[s.Ending]
	if !ok {
		return fmt.Errorf("Sampled: ending %q is not known", s.Ending)
	}
	in.lb.HealthChecked(now, balancer.HealthCheckResult{Server: s.Backend, Result: result, Latency: s.Lag, LoadReport: s.Metrics})
	return nil
}
