package fleet

import (
	"strconv"
	"time"

	"robindrum/balancer"
)

// request is a client's request. A retry is a request of its own.
type request struct {
	id       string
	class    *Class
	key      string // idempotency key
	tenant   string
	began    time.Duration // when the client sent it first
	sentAt   time.Duration // when the client sent it last, from which its latency counts
	deadline time.Duration
	attempts []*attempt
	answered bool
	phase    *Phase // in which it began
	local    bool   // servers of its gateway's zone ran when it began
	repeats  bool   // the client sends another request after the response
}

// scheduleArrival schedules the next request, which schedules the one after it.
func (f *Fleet) scheduleArrival() {
	if f.options.Arrivals != nil {
		f.scheduleGivenArrival()
		return
	}
	rate := f.options.Rate
	if f.options.Burst != nil {
		rate *= f.options.Burst(f.Now())
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.Now() >= f.options.Duration {
			return
		}
		f.sendDrawn()
		f.scheduleArrival()
	})
}

func (f *Fleet) scheduleGivenArrival() {
	arrival, ok := f.options.Arrivals()
	if !ok {
		return
	}
	f.after(arrival.At-f.Now(), func() {
		f.send(&f.options.Classes[arrival.Class], f.gateways[arrival.Gateway], arrival.Tenant, false)
		f.scheduleArrival()
	})
}

// SendBurst has n clients send a request at once.
func (f *Fleet) SendBurst(n int) {
	for range n {
		f.sendDrawn()
	}
}

// sendDrawn sends a request of a random class to a random gateway.
func (f *Fleet) sendDrawn() {
	class := f.drawClass()
	f.send(class, f.gateways[f.random.IntN(len(f.gateways))], "", false)
}

func (f *Fleet) drawClass() *Class {
	draw := f.random.Float64()
	var class *Class
	for i := range f.options.Classes {
		class = &f.options.Classes[i]
		if draw < class.Fraction {
			break
		}
		draw -= class.Fraction
	}
	return class
}

func (f *Fleet) drawThinkTime() time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(f.options.ThinkTime))
}

// sendAsClient sends the next request of one of Options.Clients. Its number is the request's tenant.
func (f *Fleet) sendAsClient(client int) {
	if f.Now() < f.options.Duration {
		f.send(f.drawClass(), f.gateways[client%len(f.gateways)], strconv.Itoa(client), true)
	}
}

// scheduleNext schedules the next request of the client that sent r.
func (f *Fleet) scheduleNext(r *request) {
	client, err := strconv.Atoi(r.tenant)
	if err != nil {
		return
	}
	f.after(f.drawThinkTime()+time.Microsecond, func() { f.sendAsClient(client) })
}

// send has a client send a request for the first time.
func (f *Fleet) send(class *Class, g *gateway, tenant string, repeats bool) {
	r := &request{
		class:    class,
		tenant:   tenant,
		began:    f.now,
		deadline: f.now + class.Deadline,
		phase:    f.phase(),
		local:    f.liveZones[g.zone],
		repeats:  repeats,
	}
	count := r.phase.Classes[class.Name]
	count.Requests++
	if r.local {
		count.Local++
	}
	f.route(g, r)
}

// route brings a request to a gateway, or, while that is not ready, to another one. Without any it fails.
func (f *Fleet) route(g *gateway, r *request) {
	ready := f.readyGateway(g.number)
	if ready == nil {
		f.fail(r)
		return
	}
	ready.receive(r)
}

// readyGateway returns the gateway with a number if it is ready, and otherwise a random one that is, or nil.
func (f *Fleet) readyGateway(number int) *gateway {
	if g := f.gateways[number]; g.ready {
		return g
	}
	var ready []*gateway
	for _, g := range f.gateways {
		if g.ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[f.random.IntN(len(ready))]
}

// fail ends a request without a response of a gateway.
func (f *Fleet) fail(r *request) {
	f.respond(r, func(c *ClassCount) { c.Failed++ }, Response{Failed: true})
}

// respond ends a request with its response, and counts it. A second response counts as a lost request.
func (f *Fleet) respond(r *request, count func(*ClassCount), response Response) {
	if r.answered {
		f.result.Lost++
		return
	}
	r.answered = true
	count(r.phase.Classes[r.class.Name])
	if r.repeats {
		f.scheduleNext(r)
	}
	if f.options.Observer.ResponseReceived != nil {
		response.At = r.began - simulationStart
		response.Took = f.now - r.sentAt
		response.Class = r.class.Name
		f.options.Observer.ResponseReceived(response)
	}
}

// receive takes a request from a client, for the first time or as a retry.
func (g *gateway) receive(r *request) {
	f := g.fleet
	f.requests++
	r.id = strconv.Itoa(f.requests)
	write := r.class.Effect != balancer.Idempotent
	if write && r.key == "" {
		r.key = r.id
	}
	r.sentAt = f.now
	g.open[r.id] = r
	g.balancer.Request(f.now, balancer.Request{
		ID:       r.id,
		Class:    r.class.Name,
		TimeLeft: r.deadline - f.now,
		Key:      r.key,
		Tenant:   r.tenant,
		Write:    write,
	})
}
