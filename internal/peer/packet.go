package peer

import "net"

// SendPacket sends a UDP packet to a peer. No error does not mean that it arrives.
func (n *Node) SendPacket(address string, packet []byte) error {
	to, err := n.resolve(address)
	if err != nil {
		return err
	}
	n.sentBytes.Add(int64(len(packet)))
	n.traffic.packets.Add(1)
	n.traffic.packetBytes.Add(int64(len(packet)))
	if n.partitionedFrom(address) {
		return nil // lost on the way
	}
	_, err = n.packets.WriteTo(packet, to)
	return err
}

// resolve returns the UDP address by which a peer is reached from here, from a bounded cache: peers' addresses come from outside.
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

// ReadPacket waits for the next packet and copies it to buffer. It is for one goroutine, and fails after Close.
func (n *Node) ReadPacket(buffer []byte) (int, net.Addr, error) { return n.packets.ReadFrom(buffer) }
