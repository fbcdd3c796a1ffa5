package testbed

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

const (
	// maxBacklogFill is the maximum number of connections that are opened to fill a backlog of length 0.
	maxBacklogFill = 8
	// backlogDialTimeout is the time after which a pending connection attempt shows that the backlog is full.
	backlogDialTimeout = 200 * time.Millisecond
)

// FullBacklogAddress returns an address at which connection attempts are neither accepted nor refused, because the backlog is full. It
// skips the test if this machine's backlogs cannot be filled.
func FullBacklogAddress(t testing.TB) string {
	t.Helper()
	return listenWithFullBacklog(t).address
}

// DelayedPeer is a Peer at which no connection is established before Open.
type DelayedPeer struct {
	*Peer
	open func()
}

// NewDelayedPeer starts a peer like NewPeer whose connections stay pending until Open is called. It skips the test if this machine's
// backlogs cannot be filled.
func NewDelayedPeer(t testing.TB, script func(connection net.Conn, number int)) *DelayedPeer {
	t.Helper()
	full := listenWithFullBacklog(t)
	p := &DelayedPeer{Peer: &Peer{Addr: full.address}}
	p.open = func() {
		p.listener = full.listener(t)
		p.goroutines.Go(func() { p.accept(script) })
	}
	t.Cleanup(p.Close)
	return p
}

// Open starts to accept connections. Pending connections are established when the kernel retransmits their SYN, within some seconds. Open
// may be called only once.
func (p *DelayedPeer) Open() { p.open() }

// Close closes the peer like Peer.Close if Open was called, and does nothing otherwise. It must not run concurrently with Open.
func (p *DelayedPeer) Close() {
	if p.listener != nil {
		p.Peer.Close()
	}
}

// fullBacklog is a listening socket with a full backlog, from which nothing is accepted. It is closed when the test ends.
type fullBacklog struct {
	descriptor int
	address    string
}

// listenWithFullBacklog listens on a loopback port and fills the backlog. It skips the test if the backlog does not fill.
func listenWithFullBacklog(t testing.TB) fullBacklog {
	t.Helper()
	full := fullBacklog{descriptor: listenWithoutBacklog(t)}
	name, err := syscall.Getsockname(full.descriptor)
	if err != nil {
		t.Fatal(err)
	}
	full.address = net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	// The kernel queues some connections even for a backlog of length 0.
	for range maxBacklogFill {
		connection, err := net.DialTimeout("tcp", full.address, backlogDialTimeout)
		if err != nil {
			return full
		}
		t.Cleanup(func() { connection.Close() })
	}
	t.Skip("the listen backlog cannot be filled on this machine")
	return fullBacklog{}
}

// listenWithoutBacklog returns the descriptor of a loopback socket with a backlog of length 0, which net.Listen cannot set.
func listenWithoutBacklog(t testing.TB) int {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	return descriptor
}

// listener returns a listener that accepts connections from a duplicate of the socket.
func (f fullBacklog) listener(t testing.TB) net.Listener {
	t.Helper()
	duplicate, err := syscall.Dup(f.descriptor)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(duplicate), "backlog")
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}
