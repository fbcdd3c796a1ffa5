package fleet

import (
	"strconv"
	"time"

	"robindrum/balancer"
)

// request is a client's request. A client's retry is a separate request.
type request struct {
	id       string
	class    *Class
	key      string // idempotency key
	tenant   string
	began    time.Duration // when the client first sent it
	sentAt   time.Duration // when the client last sent it; its latency is measured from this time
	deadline time.Duration
	attempts []*attempt
	answered bool
	phase    *Phase // in which it began
	local    bool   // the gateway's zone was live when the request began
	repeats  bool   // the client is one of Options.Clients and sends another request after the response
}

// scheduleArrival schedules the next request, which schedules the request after it.
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

// scheduleGivenArrival schedules the next request of Options.Arrivals.
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

// SendBurst sends n requests of random classes to random gateways at once.
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

// sendAsClient sends the next request of one of Options.Clients. The client's number is the request's tenant.
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

// send creates a request of a client and sends it for the first time.
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

// route sends a request to a gateway, or to a random ready gateway if that one is not ready. It fails the request if none is ready.
func (f *Fleet) route(g *gateway, r *request) {
	ready := f.readyGateway(g.number)
	if ready == nil {
		f.fail(r)
		return
	}
	ready.receive(r)
}

// readyGateway returns the gateway with the given number if it is ready, and otherwise a random ready gateway, or nil if there is none.
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

// fail ends a request that no gateway responds to.
func (f *Fleet) fail(r *request) {
	f.respond(r, func(c *ClassCount) { c.Failed++ }, Response{Failed: true})
}

// respond ends a request with its response, and counts it with count. A second response counts as a lost request.
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

// receive handles a request or a retry from a client.
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
