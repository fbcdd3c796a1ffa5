package memnet

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestListenDialAndLostPackets checks that an address can be used only once at a time and refuses connections after Close, and that packets
// beyond the receiver's queue are lost and counted.
func TestListenDialAndLostPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New()
		l, err := network.Listen("127.0.0.1:7")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := network.Listen("127.0.0.1:7"); err == nil {
			t.Error("Listen at an address in use succeeded")
		}
		if _, err := network.Listen("nonsense"); err == nil {
			t.Error("Listen at an invalid address succeeded")
		}
		if _, err := network.Dial(t.Context(), "127.0.0.1:8"); !errors.Is(err, errRefused) {
			t.Errorf("Dial where nothing listens = %v, want %v", err, errRefused)
		}
		go func() {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			defer connection.Close()
			buffer := make([]byte, 5)
			count, _ := connection.Read(buffer)
			_, _ = connection.Write(buffer[:count])
		}()
		connection, err := network.Dial(t.Context(), l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 9)
		_, _ = connection.Write([]byte("hello"))
		if count, err := connection.Read(buffer); err != nil || string(buffer[:count]) != "hello" {
			t.Errorf("Read = %q, %v; want the echo", buffer[:count], err)
		}
		connection.Close()

		// Nothing is accepted: the backlog takes maxBacklog connections, the next Dial blocks, and Close closes the queued connections.
		var waiting []net.Conn
		for range maxBacklog {
			connection, err := network.Dial(t.Context(), "127.0.0.1:7")
			if err != nil {
				t.Fatal(err)
			}
			waiting = append(waiting, connection)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := network.Dial(ctx, "127.0.0.1:7"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Dial with a full backlog = %v, want %v", err, context.DeadlineExceeded)
		}
		l.Close()
		for _, connection := range waiting {
			if _, err := connection.Read(buffer); err == nil {
				t.Error("Read from a queued connection succeeded after Close of the listener")
			}
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept after Close = %v, want %v", err, net.ErrClosed)
		}

		udpAddress := func(port int) *net.UDPAddr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port} }
		sender, err := network.ListenPacket(udpAddress(7))
		if err != nil {
			t.Fatal(err)
		}
		receiver, err := network.ListenPacket(udpAddress(9))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := network.ListenPacket(udpAddress(9)); err == nil {
			t.Error("ListenPacket at an address in use succeeded")
		}
		for range maxPackets + 3 {
			_, _ = sender.WriteTo([]byte("x"), udpAddress(9))
		}
		_, _ = sender.WriteTo([]byte("x"), udpAddress(10))
		if network.Lost() != 4 {
			t.Errorf("%d packets lost, want 4", network.Lost())
		}
		if count, from, err := receiver.ReadFrom(buffer); count != 1 || from.String() != "127.0.0.1:7" || err != nil {
			t.Errorf("ReadFrom = %d bytes from %v, %v; want 1 byte from 127.0.0.1:7", count, from, err)
		}
		_ = sender.Close()
		_ = receiver.Close()
		if _, err := sender.WriteTo([]byte("x"), udpAddress(9)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("WriteTo after Close = %v, want %v", err, net.ErrClosed)
		}
	})
}
