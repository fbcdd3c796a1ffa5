package peer

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// A node that is cut off from an address neither calls it nor has a packet come there, and others are reached; then it is whole again.
func TestCut(t *testing.T) {
	testbed.Leaks(t)
	var nodes [3]*Node
	for i := range nodes {
		n, err := Listen(Options{Fleet: "f", Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		n.Handle("/x", 100, func(context.Context, []byte) (any, error) { return i, nil })
		n.Serve()
		t.Cleanup(n.Close)
		nodes[i] = n
	}
	got := make(chan string, 8)
	go func() {
		b := make([]byte, 100)
		for {
			k, _, err := nodes[1].ReadPacket(b)
			if err != nil {
				close(got)
				return
			}
			got <- string(b[:k])
		}
	}()
	call := func(to *Node) error { return nodes[0].Call(t.Context(), to.Addr(), "/x", 1, nil) }
	nodes[0].SetPartition(func(addr string) bool { return addr == nodes[1].Addr() })
	if err := call(nodes[1]); !errors.Is(err, errCut) {
		t.Errorf("a call over the cut: %v", err)
	}
	if err := call(nodes[2]); err != nil {
		t.Errorf("a call beside the cut: %v", err)
	}
	if err := nodes[0].SendPacket(nodes[1].Addr(), []byte("lost")); err != nil {
		t.Errorf("a packet that is lost is no error: %v", err)
	}
	nodes[0].SetPartition(nil)
	if err := call(nodes[1]); err != nil {
		t.Errorf("a call behind the cut: %v", err)
	}
	if err := nodes[0].SendPacket(nodes[1].Addr(), []byte("comes")); err != nil {
		t.Error(err)
	}
	select {
	case s := <-got:
		if s != "comes" {
			t.Errorf("%q came", s)
		}
	case <-time.After(5 * time.Second):
		t.Error("no packet came")
	}
}
