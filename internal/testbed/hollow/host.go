package hollow

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// port is below those that outgoing connections take.
	port = 7600
	// Loopback networks 127.firstNet to 127.firstNet+nets-1; those below are internal/testbed/cluster's.
	firstNet, nets = 144, 100
)

// hosts of this process.
var hosts atomic.Uint32

// host is a part of loopback that one rig of one process has: 250 addresses for each of 16 third octets.
type host struct {
	net   int
	claim net.Listener // nil: of a network that nobody else is on
}

// newHost claims a part that nobody else has, also no other process.
func newHost() (*host, error) {
	from := int(uint32(os.Getpid())*8 + hosts.Add(1))
	var err error
	for i := range nets {
		h := &host{net: firstNet + (from+i)%nets}
		if h.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", h.net, port)); err == nil {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no loopback network is free: %w", err)
}

// address is a member's, by its number.
func (h *host) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", h.net, i/250, 1+i%250, port)
}

func (h *host) close() {
	if h.claim != nil {
		h.claim.Close()
	}
}
