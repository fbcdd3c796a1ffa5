package balancer_test

import (
	"fmt"
	"time"

	"robindrum/balancer"
)

// printer is a Host that prints which attempts it was asked to send.
type printer struct{ balancer.Host }

func (printer) Send(id, server string, _ time.Duration)    { fmt.Println("send", id, "to", server) }
func (printer) SetTimer(token uint64, after time.Duration) {}

func Example() {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "page", LatencyObjective: 100 * time.Millisecond, Deadline: time.Second}},
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second // any clock that does not go back
	b.UpdateEndpoints(now, balancer.EndpointUpdate{Kind: balancer.UpdateCached, Servers: []balancer.Server{{ID: "a", Weight: 1}}})
	b.Request(now, balancer.Request{ID: "r1", Class: "page", TimeLeft: time.Second})
	now += 20 * time.Millisecond
	b.Outcome(now, balancer.Outcome{ID: "r1", Result: balancer.Served, Latency: 20 * time.Millisecond, Final: true})
	// Output: send r1 to a
}
