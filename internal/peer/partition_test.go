package peer

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

func listen(t *testing.T) *Node {
	t.Helper()
	node, err := Listen(Options{Fleet: "f", Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// TestPartitionStopsCallsAndPackets separates a node from one of two others. Calls and packets must not reach the separated node until
// the partition ends, and calls must reach the other one.
func TestPartitionStopsCallsAndPackets(t *testing.T) {
	testbed.Leaks(t)
	var nodes [3]*Node
	for i := range nodes {
		nodes[i] = listen(t)
		nodes[i].Handle("/x", 100, func(context.Context, []byte) (any, error) { return i, nil })
		nodes[i].Serve()
	}
	received := make(chan string, 8)
	go func() {
		buffer := make([]byte, 100)
		for {
			length, _, err := nodes[1].ReadPacket(buffer)
			if err != nil {
				close(received)
				return
			}
			received <- string(buffer[:length])
		}
	}()
	call := func(to *Node) error { return nodes[0].Call(t.Context(), to.Addr(), "/x", 1, nil) }
	nodes[0].SetPartition(func(address string) bool { return address == nodes[1].Addr() })
	if err := call(nodes[1]); !errors.Is(err, errPartitioned) {
		t.Errorf("Call across the partition: got error %v, want %v", err, errPartitioned)
	}
	if err := call(nodes[2]); err != nil {
		t.Errorf("Call to a node that is not separated: %v", err)
	}
	if err := nodes[0].SendPacket(nodes[1].Addr(), []byte("lost")); err != nil {
		t.Errorf("SendPacket across the partition: got error %v, want none", err)
	}
	nodes[0].SetPartition(nil)
	if err := call(nodes[1]); err != nil {
		t.Errorf("Call after the end of the partition: %v", err)
	}
	if err := nodes[0].SendPacket(nodes[1].Addr(), []byte("arrives")); err != nil {
		t.Error(err)
	}
	select {
	case packet := <-received:
		if packet != "arrives" {
			t.Errorf("got packet %q, want %q", packet, "arrives")
		}
	case <-time.After(5 * time.Second):
		t.Error("no packet arrived within 5s")
	}
}
