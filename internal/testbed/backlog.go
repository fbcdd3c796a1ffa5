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
	// maxBacklogFill is how many connections may be needed to fill a backlog of length 0.
	maxBacklogFill = 8
	// backlogDialTimeout is after how long a connection attempt shows that the backlog is full.
	backlogDialTimeout = 200 * time.Millisecond
)

// FullBacklogAddress returns an address at which connection attempts are neither accepted nor refused: its backlog is full. It
// skips the test where backlogs cannot be filled.
func FullBacklogAddress(t testing.TB) string {
	t.Helper()
	return listenWithFullBacklog(t).address
}

// DelayedPeer is a Peer at which connections are not established before Open.
type DelayedPeer struct {
	*Peer
	open func()
}

// NewDelayedPeer starts a peer like NewPeer whose connections wait until Open is called. It skips the test where backlogs cannot
// be filled.
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

// Open accepts connections. Pending ones are established when the kernel sends their SYN again, within some seconds. It may be
// called once.
func (p *DelayedPeer) Open() { p.open() }

// Close closes the peer and all its connections like Peer.Close, if it was opened. It must not run beside Open.
func (p *DelayedPeer) Close() {
	if p.listener != nil {
		p.Peer.Close()
	}
}

// fullBacklog is a listening socket from which nothing is accepted and whose backlog is full. It lives as long as the test.
type fullBacklog struct {
	descriptor int
	address    string
}

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
	t.Skip("this machine's backlogs do not fill")
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

// listener returns a listener that accepts from a duplicate of the socket.
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
