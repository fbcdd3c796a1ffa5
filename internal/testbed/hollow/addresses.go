package hollow

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// port is below the range of ephemeral ports, so that no outgoing connection occupies it.
	port = 7600
	// Loopback networks are 127.firstNet to 127.(firstNet+nets-1). Lower ones are used by internal/testbed/cluster.
	firstNet, nets = 144, 100
)

// rangeCount is the number of address ranges that this process has requested.
var rangeCount atomic.Uint32

// addressRange is a network 127.net.0.0/16 that one fleet uses: 250 addresses for each value of the third octet, of which a fleet uses at
// most 16.
type addressRange struct {
	net   int
	claim net.Listener // reserves the network among processes; nil for an in-memory network
}

// newAddressRange reserves a loopback network that no other fleet uses, in this or another process.
func newAddressRange() (*addressRange, error) {
	first := int(uint32(os.Getpid())*8 + rangeCount.Add(1))
	var err error
	for i := range nets {
		r := &addressRange{net: firstNet + (first+i)%nets}
		if r.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", r.net, port)); err == nil {
			return r, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network: %w", err)
}

// address returns the address, as ip:port, of member i.
func (r *addressRange) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.net, i/250, 1+i%250, port)
}

func (r *addressRange) close() {
	if r.claim != nil {
		r.claim.Close()
	}
}
