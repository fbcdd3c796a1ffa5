package peer

import (
	"net"
	"sync/atomic"
)

// Traffic is what a Node has sent and got since it began, as bytes of payload: without the headers of IP, TCP and UDP.
type Traffic struct {
	Packets     int64 `json:"packets"`      // UDP packets sent
	PacketBytes int64 `json:"packet_bytes"` // what they carried
	Calls       int64 `json:"calls"`        // made here
	Streams     int64 `json:"streams"`      // opened here, or tried
	Out         int64 `json:"out"`          // bytes over TCP of calls and streams, made here or taken, with their HTTP heads
	In          int64 `json:"in"`
}

// Minus is what came since before.
func (t Traffic) Minus(before Traffic) Traffic {
	return Traffic{t.Packets - before.Packets, t.PacketBytes - before.PacketBytes, t.Calls - before.Calls, t.Streams - before.Streams, t.Out - before.Out, t.In - before.In}
}

// Plus is the sum of two nodes' traffic.
func (t Traffic) Plus(o Traffic) Traffic {
	return Traffic{t.Packets + o.Packets, t.PacketBytes + o.PacketBytes, t.Calls + o.Calls, t.Streams + o.Streams, t.Out + o.Out, t.In + o.In}
}

// Sent is all bytes that were sent.
func (t Traffic) Sent() int64 { return t.PacketBytes + t.Out }

// Traffic tells what has been sent and got.
func (n *Node) Traffic() Traffic {
	c := &n.traffic
	return Traffic{c.packets.Load(), c.packetBytes.Load(), c.calls.Load(), c.streams.Load(), c.out.Load(), c.in.Load()}
}

type counters struct {
	packets, packetBytes, calls, streams, out, in atomic.Int64
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	c *counters
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	c *counters
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{c, l.c}, nil
}
