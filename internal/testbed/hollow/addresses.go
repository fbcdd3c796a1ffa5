package hollow

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// port is below those of outgoing connections.
	port = 7600
	// Loopback networks are 127.firstNet to 127.firstNet+nets-1; those below belong to internal/testbed/cluster.
	firstNet, nets = 144, 100
)

// rangeCount is how many ranges this process has requested.
var rangeCount atomic.Uint32

// addressRange is a loopback network that one fleet uses: 250 addresses for each of 16 third octets.
type addressRange struct {
	net   int
	claim net.Listener // nil: of a network that nobody else is on
}

// newAddressRange claims a network that no other fleet uses, in this or another process.
func newAddressRange() (*addressRange, error) {
	from := int(uint32(os.Getpid())*8 + rangeCount.Add(1))
	var err error
	for i := range nets {
		h := &addressRange{net: firstNet + (from+i)%nets}
		if h.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", h.net, port)); err == nil {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no loopback network is free: %w", err)
}

// address returns the address of the member with number i.
func (h *addressRange) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", h.net, i/250, 1+i%250, port)
}

func (h *addressRange) close() {
	if h.claim != nil {
		h.claim.Close()
	}
}
