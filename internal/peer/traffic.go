package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts what a Node has sent and received since Listen. Byte counts do not include the headers of IP, TCP and UDP.
type Traffic struct {
	Packets     int64 `json:"packets"`      // UDP packets sent
	PacketBytes int64 `json:"packet_bytes"` // bytes sent in UDP packets
	Calls       int64 `json:"calls"`        // made by this node
	Streams     int64 `json:"streams"`      // opened by this node, including failed attempts
	Out         int64 `json:"out"`          // bytes sent over TCP, including HTTP headers, by calls and streams of either side
	In          int64 `json:"in"`           // bytes received over TCP, counted like Out
}

// Minus returns the difference between t and an earlier reading.
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

// Plus returns the sum of t and other.
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

// Sent returns the number of bytes sent over UDP and TCP.
func (t Traffic) Sent() int64 { return t.PacketBytes + t.Out }

// Traffic returns the current counts.
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

// counters holds the counts that Node.Traffic returns.
type counters struct {
	packets     atomic.Int64
	packetBytes atomic.Int64
	calls       atomic.Int64
	streams     atomic.Int64
	bytesOut    atomic.Int64
	bytesIn     atomic.Int64
}

// countedConn counts the bytes that are read from and written to a connection.
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

// countedListener wraps accepted connections so that their bytes are counted.
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
