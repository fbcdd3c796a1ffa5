package peer

import (
	"net"
	"sync/atomic"
)

// Traffic is what a Node has sent and received since it began, as bytes of payload: without the headers of IP, TCP and UDP.
type Traffic struct {
	Packets     int64 `json:"packets"`      // UDP packets sent
	PacketBytes int64 `json:"packet_bytes"` // their payload
	Calls       int64 `json:"calls"`        // made by this node
	Streams     int64 `json:"streams"`      // opened by this node, or attempted
	Out         int64 `json:"out"`          // bytes sent over TCP in either direction's calls and streams, with HTTP headers
	In          int64 `json:"in"`           // bytes received, likewise
}

// Minus returns the traffic since an earlier reading.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{
		Packets:     t.Packets - earlier.Packets,
		PacketBytes: t.PacketBytes - earlier.PacketBytes,
		Calls:       t.Calls - earlier.Calls,
		Streams:     t.Streams - earlier.Streams,
		Out:         t.Out - earlier.Out,
		In:          t.In - earlier.In,
	}
}

// Plus returns the sum of two nodes' traffic.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{
		Packets:     t.Packets + other.Packets,
		PacketBytes: t.PacketBytes + other.PacketBytes,
		Calls:       t.Calls + other.Calls,
		Streams:     t.Streams + other.Streams,
		Out:         t.Out + other.Out,
		In:          t.In + other.In,
	}
}

// Sent returns all bytes that were sent.
func (t Traffic) Sent() int64 { return t.PacketBytes + t.Out }

// Traffic returns what has been sent and received.
func (n *Node) Traffic() Traffic {
	return Traffic{
		Packets:     n.traffic.packets.Load(),
		PacketBytes: n.traffic.packetBytes.Load(),
		Calls:       n.traffic.calls.Load(),
		Streams:     n.traffic.streams.Load(),
		Out:         n.traffic.bytesOut.Load(),
		In:          n.traffic.bytesIn.Load(),
	}
}

// counters are the figures of Traffic.
type counters struct {
	packets     atomic.Int64
	packetBytes atomic.Int64
	calls       atomic.Int64
	streams     atomic.Int64
	bytesOut    atomic.Int64
	bytesIn     atomic.Int64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counters *counters
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counters.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.bytesOut.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counters *counters
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: l.counters}, nil
}
