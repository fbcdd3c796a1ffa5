package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// process is a running robindrum-node program.
type process struct {
	*exec.Cmd
	listen, configPath string
	log                bytes.Buffer
}

// launch starts a node with the configuration that text returns for its listen address, and kills it when the test ends.
func launch(t *testing.T, text func(listen string) string) *process {
	t.Helper()
	return launchWith(t, text, func(program string) *exec.Cmd { return exec.Command(program) })
}

// launchWith is launch with a command that must finally exec the program, so that the process receives the signals.
func launchWith(t *testing.T, text func(listen string) string, command func(program string) *exec.Cmd) *process {
	t.Helper()
	p := &process{listen: testbed.RefusingAddress(t), configPath: filepath.Join(t.TempDir(), "config.json")}
	p.writeConfig(t, text(p.listen))
	p.Cmd = command(filepath.Join(programDir, "robindrum-node"))
	p.Env = append(os.Environ(), "PROXY_CONFIG="+p.configPath)
	p.Stderr = &p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	})
	return p
}

func (p *process) writeConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(p.configPath+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.configPath+".new", p.configPath); err != nil {
		t.Fatal(err)
	}
}

// connect waits until the node listens and returns a connection to it.
func (p *process) connect(t *testing.T) net.Conn {
	t.Helper()
	var conn net.Conn
	testbed.Eventually(t, "the node to listen", func() (ok bool) {
		var err error
		conn, err = net.Dial("tcp", p.listen)
		return err == nil
	})
	conn.SetDeadline(time.Now().Add(testbed.WaitTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// waitForExit waits for the process and fails the test unless its exit code is 0.
func (p *process) waitForExit(t *testing.T) {
	t.Helper()
	if err := p.Wait(); err != nil {
		t.Errorf("robindrum-node: %v, want exit code 0\n%s", err, p.log.Bytes())
	}
}

func requestText(id string) string {
	return "GET /get/x HTTP/1.1\r\nHost: x\r\nX-Qos: get\r\nX-Trace-Id: " + id + "\r\n\r\n"
}

// readStatus returns the status of the next response on the connection, or 0 after an error, which fails the test.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("reading a response: %v", err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// startDiscovery starts a fake discovery and returns its address. For each request it calls begin, unless that is nil, sends name to
// calls, and keeps the connection open until the test ends.
func startDiscovery(t *testing.T, name string, calls chan<- string, begin func(conn net.Conn)) string {
	t.Helper()
	done := make(chan struct{})
	peer := testbed.NewPeer(t, func(conn net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if begin != nil {
			begin(conn)
		}
		select {
		case calls <- name:
			<-done
		case <-done:
		}
	})
	t.Cleanup(func() { close(done) })
	return peer.Addr
}

// A SIGTERM arrives as soon as the node listens, before it has read its cached endpoint list. The node must answer the request of a
// connected client and exit with code 0.
func TestSIGTERMBeforeCachedListIsRead(t *testing.T) {
	var targets strings.Builder // large, so that reading it takes time
	for i := range 20000 {
		fmt.Fprintf(&targets, `{"uid":"u%d","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":0,"state":"DRAINING","capacity_hint":1,"boot_ms":0},`, i)
	}
	node := launch(t, func(listen string) string {
		return strings.Replace(configText(listen, "127.0.0.1:1", settings), `"targets":[`, `"targets":[`+targets.String(), 1)
	})
	conn := node.connect(t)
	_ = node.Process.Signal(syscall.SIGTERM)
	_, _ = io.WriteString(conn, requestText("1"))
	if code := readStatus(t, conn); code == 0 {
		t.Error("the request was not answered")
	}
	node.waitForExit(t)
}

// SIGTERM, SIGHUP and SIGTERM arrive in quick succession while requests are in flight. All requests must be answered, and the node must
// switch to the new discovery address during the shutdown as well: requests avoid the endpoint that the new list marks as draining.
func TestSIGHUPDuringShutdown(t *testing.T) {
	received, released := make(chan string, 99), make(chan struct{})
	answer := func(name string) func(testbed.ReceivedRequest, int) string {
		return func(req testbed.ReceivedRequest, _ int) string {
			received <- name
			if req.Header.Get("X-Trace-Id") == "1" {
				<-released
			}
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		}
	}
	backendA, backendB := testbed.NewBackend(t, answer("a")), testbed.NewBackend(t, answer("b"))
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release) // runs before the backends close, which wait for their handlers
	calls := make(chan string, 9)
	first := startDiscovery(t, "first", calls, nil)
	second := startDiscovery(t, "second", calls, func(conn net.Conn) {
		entry := `{"uid":"%s","endpoint":"%s","az":"a","model":"m","pod_group":0,"state":"%s","capacity_hint":1,"boot_ms":0}`
		text := `{"rev":9,"all":true,"targets":[` + fmt.Sprintf(entry, "s", backendA.Addr, "DRAINING") + "," + fmt.Sprintf(entry, "b", backendB.Addr, "SERVING") + "]}\n"
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
	})
	configWith := func(discovery string) func(string) string {
		return func(listen string) string {
			return strings.Replace(configText(listen, backendA.Addr, settings), "127.0.0.1:1", discovery, 1)
		}
	}
	node := launch(t, configWith(first))
	if name := testbed.Receive(t, "a call to the first discovery", calls); name != "first" {
		t.Errorf("discovery called: got %q, want %q", name, "first")
	}
	conn := node.connect(t)
	_, _ = io.WriteString(conn, requestText("1"))
	if name := testbed.Receive(t, "the request", received); name != "a" {
		t.Errorf("request sent to backend %q, want %q", name, "a")
	}
	// Connections on which part of a request head has arrived stay open during the shutdown.
	var lateConns []net.Conn
	for i := range 12 {
		lateConn := node.connect(t)
		_, _ = io.WriteString(lateConn, fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: x\r\nX-Qos: get\r\nX-Trace-Id: late%d\r\n", i))
		lateConns = append(lateConns, lateConn)
	}
	node.writeConfig(t, configWith(second)(node.listen))
	_ = node.Process.Signal(syscall.SIGTERM)
	testbed.Eventually(t, "the shutdown", func() bool { // the node reports that it is not ready
		resp, err := http.Get("http://" + node.listen + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	_ = node.Process.Signal(syscall.SIGHUP)
	_ = node.Process.Signal(syscall.SIGTERM)
	if name := testbed.Receive(t, "a call to the second discovery", calls); name != "second" {
		t.Errorf("discovery called: got %q, want %q", name, "second")
	}
	// The second discovery has written the list, but the node may not have read it yet. Once one request follows the new list, all later
	// ones must.
	newListInUse := false
	for _, lateConn := range lateConns {
		_, _ = io.WriteString(lateConn, "\r\n")
		code := readStatus(t, lateConn)
		if code == http.StatusServiceUnavailable { // the balancer may reject a request of a burst
			continue
		}
		if code != http.StatusOK {
			t.Errorf("late request: got status %d, want 200", code)
			continue
		}
		name := <-received
		if newListInUse && name != "b" {
			t.Errorf("late request sent to %q, which is draining, want %q", name, "b")
		}
		if newListInUse = newListInUse || name == "b"; !newListInUse {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if !newListInUse {
		t.Error("no late request followed the new list")
	}
	release()
	if code := readStatus(t, conn); code != http.StatusOK {
		t.Errorf("request in flight: got status %d, want 200", code)
	}
	node.waitForExit(t)
}

// A SIGTERM arrives before the first endpoint list. The node must reject the request that waits for the list, since it has not been
// sent to a backend.
func TestSIGTERMBeforeTheFirstList(t *testing.T) {
	calls := make(chan string, 9)
	discovery := startDiscovery(t, "first", calls, nil)
	node := launch(t, func(listen string) string {
		text := strings.Replace(configText(listen, "127.0.0.1:1", settings), `"127.0.0.1:1","seed"`, fmt.Sprintf("%q,%q", discovery, "seed"), 1)
		start, end := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
		return text[:start] + text[end:]
	})
	testbed.Receive(t, "a call to discovery", calls)
	conn := node.connect(t)
	_, _ = io.WriteString(conn, requestText("1"))
	_ = node.Process.Signal(syscall.SIGTERM)
	if code := readStatus(t, conn); code != http.StatusServiceUnavailable {
		t.Errorf("waiting request: got status %d, want 503", code)
	}
	node.waitForExit(t)
}
