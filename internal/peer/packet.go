package peer

import "net"

// SendPacket sends a UDP packet to a peer. Delivery is not guaranteed, even if the error is nil.
func (n *Node) SendPacket(address string, packet []byte) error {
	to, err := n.resolve(address)
	if err != nil {
		return err
	}
	n.sentBytes.Add(int64(len(packet)))
	n.traffic.packets.Add(1)
	n.traffic.packetBytes.Add(int64(len(packet)))
	if n.partitionedFrom(address) {
		return nil // a partition drops packets without an error
	}
	_, err = n.packets.WriteTo(packet, to)
	return err
}

// resolve returns the UDP address at which this process reaches a peer. The cache of addresses is bounded because the addresses of peers
// are external input.
func (n *Node) resolve(address string) (*net.UDPAddr, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cached := n.resolved[address]; cached != nil {
		return cached, nil
	}
	resolved, err := net.ResolveUDPAddr("udp", n.route(address))
	if err != nil {
		return nil, err
	}
	if len(n.resolved) >= maxResolvedAddresses {
		clear(n.resolved)
	}
	n.resolved[address] = resolved
	return resolved, nil
}

// ReadPacket waits for the next packet and copies it to buffer. It returns an error after Close. Only one goroutine may call it.
func (n *Node) ReadPacket(buffer []byte) (int, net.Addr, error) { return n.packets.ReadFrom(buffer) }
