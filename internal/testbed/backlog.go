package testbed

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// fullListener listens with room for nobody and fills what room there is all the same. What it gives turns it into a
// listener that accepts.
func fullListener(t testing.TB) (addr string, open func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr, func() net.Listener {
				dup, err := syscall.Dup(fd)
				if err != nil {
					t.Fatal(err)
				}
				f := os.NewFile(uintptr(dup), "backlog")
				defer func() { _ = f.Close() }()
				l, err := net.FileListener(f)
				if err != nil {
					t.Fatal(err)
				}
				return l
			}
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Skip("this machine's backlogs do not fill")
	return "", nil
}
