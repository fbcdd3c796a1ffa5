package memnet

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestListenDialAndLostPackets checks that an address is used once and refuses after its close, and that packets without room are lost and counted.
func TestListenDialAndLostPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		l, err := n.Listen("127.0.0.1:7")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.Listen("127.0.0.1:7"); err == nil {
			t.Error("an address was taken twice")
		}
		if _, err := n.Listen("nonsense"); err == nil {
			t.Error("no address was taken")
		}
		if _, err := n.Dial(t.Context(), "127.0.0.1:8"); !errors.Is(err, errRefused) {
			t.Errorf("nobody listens: %v", err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			b := make([]byte, 5)
			k, _ := c.Read(b)
			_, _ = c.Write(b[:k])
		}()
		c, err := n.Dial(t.Context(), l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 9)
		_, _ = c.Write([]byte("hello"))
		if k, err := c.Read(b); err != nil || string(b[:k]) != "hello" {
			t.Errorf("%q, %v", b[:k], err)
		}
		c.Close()

		// Nobody accepts: as many as there is room for wait, one more in vain, and the close breaks them.
		var waiting []net.Conn
		for range maxBacklog {
			c, err := n.Dial(t.Context(), "127.0.0.1:7")
			if err != nil {
				t.Fatal(err)
			}
			waiting = append(waiting, c)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.Dial(ctx, "127.0.0.1:7"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a full queue: %v", err)
		}
		l.Close()
		for _, c := range waiting {
			if _, err := c.Read(b); err == nil {
				t.Error("one that waited was not reset")
			}
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("behind the close: %v", err)
		}

		at := func(port int) *net.UDPAddr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port} }
		p, err := n.ListenPacket(at(7))
		if err != nil {
			t.Fatal(err)
		}
		q, err := n.ListenPacket(at(9))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.ListenPacket(at(9)); err == nil {
			t.Error("an address was taken twice for packets")
		}
		for range maxPackets + 3 {
			_, _ = p.WriteTo([]byte("x"), at(9))
		}
		_, _ = p.WriteTo([]byte("x"), at(10))
		if n.Lost() != 4 {
			t.Errorf("%d packets lost, want 4", n.Lost())
		}
		if k, from, err := q.ReadFrom(b); k != 1 || from.String() != "127.0.0.1:7" || err != nil {
			t.Errorf("%d bytes from %v, %v", k, from, err)
		}
		_ = p.Close()
		_ = q.Close()
		if _, err := p.WriteTo([]byte("x"), at(9)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("behind the close: %v", err)
		}
	})
}
