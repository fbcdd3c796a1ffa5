package peer

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"robindrum/internal/testbed"
)

// What one node sends the other one gets, by calls, streams and packets, and each is counted once.
func TestTraffic(t *testing.T) {
	testbed.Leaks(t)
	var nodes []*Node
	for range 2 {
		n, err := Listen(Options{Fleet: "f", Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	a, b := nodes[0], nodes[1]
	b.Handle("/echo", 1<<10, func(_ context.Context, body []byte) (any, error) { return string(body), nil })
	b.HandleStream("echo", func(http.Header) (http.Header, error) { return http.Header{}, nil }, func(c net.Conn) {
		defer c.Close()
		_, _ = io.Copy(c, io.LimitReader(c, 1000))
	})
	a.Serve()
	b.Serve()
	if err := a.Call(t.Context(), b.Addr(), "/echo", "x", nil); err != nil {
		t.Fatal(err)
	}
	called := a.Traffic()
	if called.Calls != 1 || called.Streams != 0 || called.Out < 100 || called.In < 50 {
		t.Errorf("a call: %+v", called)
	}
	c, _, err := a.Stream(t.Context(), b.Addr(), "echo", http.Header{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(bytes.Repeat([]byte("x"), 1000)); err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(c); err != nil || len(text) != 1000 {
		t.Fatal(len(text), err)
	}
	c.Close()
	if d := a.Traffic().Minus(called); d.Streams != 1 || d.Calls != 0 || d.Out < 1000 || d.Out > 1500 || d.In < 1000 || d.In > 1500 {
		t.Errorf("a stream of 1000 bytes each way: %+v", d)
	}
	if err := a.SendPacket(b.Addr(), make([]byte, 300)); err != nil {
		t.Fatal(err)
	}
	x := a.Traffic()
	if x.Packets != 1 || x.PacketBytes != 300 || x.Sent() != x.Out+300 {
		t.Errorf("a packet of 300 bytes: %+v", x)
	}
	testbed.Eventually(t, "the other side's bytes", func() bool { y := b.Traffic(); return y.In == x.Out && y.Out == x.In })
	if sum := x.Plus(b.Traffic()); sum.Out != sum.In || sum.Calls != 1 || sum.Packets != 1 {
		t.Errorf("both together: %+v", sum)
	}
}
