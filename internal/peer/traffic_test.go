package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"robindrum/internal/testbed"
)

// TestTrafficOfBothSidesAgrees tests that the bytes that one node sends in calls and streams equal those that the other one receives,
// and that each call, stream and packet is counted once.
func TestTrafficOfBothSidesAgrees(t *testing.T) {
	testbed.Leaks(t)
	sender, receiver := listen(t), listen(t)
	receiver.Handle("/echo", 1<<10, func(_ context.Context, body []byte) (any, error) { return string(body), nil })
	receiver.HandleStream("echo", func(http.Header) (http.Header, error) { return http.Header{}, nil }, func(conn net.Conn) {
		defer conn.Close()
		_, _ = io.Copy(conn, io.LimitReader(conn, 1000))
	})
	sender.Serve()
	receiver.Serve()
	if err := sender.Call(t.Context(), receiver.Addr(), "/echo", "x", nil); err != nil {
		t.Fatal(err)
	}
	called := sender.Traffic()
	if called.Calls != 1 || called.Streams != 0 || called.Out < 100 || called.In < 50 {
		t.Errorf("traffic of one call: got %+v, want 1 call, 0 streams, at least 100 bytes out and 50 in", called)
	}
	conn, _, err := sender.Stream(t.Context(), receiver.Addr(), "echo", http.Header{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(bytes.Repeat([]byte("x"), 1000)); err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(conn); err != nil || len(text) != 1000 {
		t.Fatal(len(text), err)
	}
	conn.Close()
	if streamed := sender.Traffic().Minus(called); streamed.Streams != 1 || streamed.Calls != 0 || streamed.Out < 1000 || streamed.Out > 1500 || streamed.In < 1000 || streamed.In > 1500 {
		t.Errorf("traffic of a stream of 1000 bytes each way: got %+v, want 1 stream, 0 calls, 1000 to 1500 bytes each way", streamed)
	}
	if err := sender.SendPacket(receiver.Addr(), make([]byte, 300)); err != nil {
		t.Fatal(err)
	}
	total := sender.Traffic()
	if total.Packets != 1 || total.PacketBytes != 300 || total.Sent() != total.Out+300 {
		t.Errorf("traffic with a packet of 300 bytes: got %+v, want 1 packet and 300 bytes more than Out", total)
	}
	testbed.Eventually(t, "equal byte counts on both nodes", func() bool {
		received := receiver.Traffic()
		return received.In == total.Out && received.Out == total.In
	})
	if sum := total.Plus(receiver.Traffic()); sum.Out != sum.In || sum.Calls != 1 || sum.Packets != 1 {
		t.Errorf("sum of both nodes: got %+v, want equal Out and In, 1 call and 1 packet", sum)
	}
}
