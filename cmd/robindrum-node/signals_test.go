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

// process is a node as it is deployed.
type process struct {
	*exec.Cmd
	listen, path string
	log          bytes.Buffer
}

func launch(t *testing.T, text func(listen string) string) *process {
	t.Helper()
	return launchWith(t, text, func(program string) *exec.Cmd { return exec.Command(program) })
}

// launchWith is launch by a command of the caller's, which is to end by exec of the program.
func launchWith(t *testing.T, text func(listen string) string, command func(program string) *exec.Cmd) *process {
	t.Helper()
	p := &process{listen: testbed.RefusingAddress(t), path: filepath.Join(t.TempDir(), "config.json")}
	p.write(t, text(p.listen))
	p.Cmd = command(filepath.Join(programs, "robindrum-node"))
	p.Env = append(os.Environ(), "PROXY_CONFIG="+p.path)
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

func (p *process) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(p.path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.path+".new", p.path); err != nil {
		t.Fatal(err)
	}
}

// connect gives a connection as soon as the node listens.
func (p *process) connect(t *testing.T) net.Conn {
	t.Helper()
	var c net.Conn
	testbed.Eventually(t, "the node to listen", func() (ok bool) {
		var err error
		c, err = net.Dial("tcp", p.listen)
		return err == nil
	})
	c.SetDeadline(time.Now().Add(testbed.WaitTimeout))
	t.Cleanup(func() { c.Close() })
	return c
}

func (p *process) ends(t *testing.T) {
	t.Helper()
	if err := p.Wait(); err != nil {
		t.Errorf("%v\n%s", err, p.log.Bytes())
	}
}

func request(id string) string {
	return "GET /get/x HTTP/1.1\r\nHost: x\r\nX-Qos: get\r\nX-Trace-Id: " + id + "\r\n\r\n"
}

func status(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// registry is a stand-in for discovery that tells of each call.
func registry(t *testing.T, name string, calls chan<- string, begin func(c net.Conn)) string {
	t.Helper()
	over := make(chan struct{})
	p := testbed.NewPeer(t, func(c net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if begin != nil {
			begin(c)
		}
		select {
		case calls <- name:
			<-over
		case <-over:
		}
	})
	t.Cleanup(func() { close(over) })
	return p.Addr
}

// SIGTERM comes as soon as the node listens, before it has read the list that it remembers: it ends well, and what a client
// sent by then has its answer.
func TestSIGTERMAsItBeginsToListen(t *testing.T) {
	var many strings.Builder // long to read
	for i := range 20000 {
		fmt.Fprintf(&many, `{"uid":"u%d","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":0,"state":"DRAINING","capacity_hint":1,"boot_ms":0},`, i)
	}
	p := launch(t, func(listen string) string {
		return strings.Replace(configText(listen, "127.0.0.1:1", settings), `"targets":[`, `"targets":[`+many.String(), 1)
	})
	c := p.connect(t)
	_ = p.Process.Signal(syscall.SIGTERM)
	_, _ = io.WriteString(c, request("1"))
	if code := status(t, c); code == 0 {
		t.Error("not answered")
	}
	p.ends(t)
}

// Requests are in hand, and SIGTERM, SIGHUP and SIGTERM come at once: each is answered, the move of discovery is followed
// during the shutdown too, and what the new one tells of a drain counts.
func TestSignalsTogether(t *testing.T) {
	came, goOn := make(chan string, 99), make(chan struct{})
	answer := func(name string) func(testbed.ReceivedRequest, int) string {
		return func(s testbed.ReceivedRequest, _ int) string {
			came <- name
			if s.Header.Get("X-Trace-Id") == "1" {
				<-goOn
			}
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		}
	}
	a, b := testbed.NewBackend(t, answer("a")), testbed.NewBackend(t, answer("b"))
	end := sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(end) // before the backends end, which wait for it
	calls := make(chan string, 9)
	first := registry(t, "first", calls, nil)
	second := registry(t, "second", calls, func(c net.Conn) {
		entry := `{"uid":"%s","endpoint":"%s","az":"a","model":"m","pod_group":0,"state":"%s","capacity_hint":1,"boot_ms":0}`
		text := `{"rev":9,"all":true,"targets":[` + fmt.Sprintf(entry, "s", a.Addr, "DRAINING") + "," + fmt.Sprintf(entry, "b", b.Addr, "SERVING") + "]}\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
	})
	at := func(discovery string) func(string) string {
		return func(listen string) string {
			return strings.Replace(configText(listen, a.Addr, settings), "127.0.0.1:1", discovery, 1)
		}
	}
	p := launch(t, at(first))
	if name := testbed.Receive(t, "a call", calls); name != "first" {
		t.Errorf("called %s", name)
	}
	c := p.connect(t)
	_, _ = io.WriteString(c, request("1"))
	if name := testbed.Receive(t, "the request", came); name != "a" {
		t.Errorf("sent to %s", name)
	}
	// Requests that have begun to come keep their connections.
	var late []net.Conn
	for i := range 12 {
		k := p.connect(t)
		_, _ = io.WriteString(k, fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: x\r\nX-Qos: get\r\nX-Trace-Id: late%d\r\n", i))
		late = append(late, k)
	}
	p.write(t, at(second)(p.listen))
	_ = p.Process.Signal(syscall.SIGTERM)
	testbed.Eventually(t, "the shutdown", func() bool { // it is not ready any more
		resp, err := http.Get("http://" + p.listen + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	_ = p.Process.Signal(syscall.SIGHUP)
	_ = p.Process.Signal(syscall.SIGTERM)
	if name := testbed.Receive(t, "a call at the new address", calls); name != "second" {
		t.Errorf("called %s", name)
	}
	// The list has been written to the node, which may need a moment to read it: from the first request on that goes by it, all do.
	read := false
	for _, k := range late {
		_, _ = io.WriteString(k, "\r\n")
		code := status(t, k)
		if code == http.StatusServiceUnavailable { // the module may refuse one of a burst
			continue
		}
		if code != http.StatusOK {
			t.Errorf("a late request: %d", code)
			continue
		}
		name := <-came
		if read && name != "b" {
			t.Errorf("sent to %s, which drains", name)
		}
		if read = read || name == "b"; !read {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if !read {
		t.Error("the new list is not followed")
	}
	end()
	if code := status(t, c); code != http.StatusOK {
		t.Errorf("the request in hand: %d", code)
	}
	p.ends(t)
}

// SIGTERM comes before the first list: what is held has its one answer, a refusal, as nothing was sent.
func TestSIGTERMBeforeTheFirstList(t *testing.T) {
	calls := make(chan string, 9)
	d := registry(t, "first", calls, nil)
	p := launch(t, func(listen string) string {
		text := strings.Replace(configText(listen, "127.0.0.1:1", settings), `"127.0.0.1:1","seed"`, fmt.Sprintf("%q,%q", d, "seed"), 1)
		i, j := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
		return text[:i] + text[j:]
	})
	testbed.Receive(t, "a call", calls)
	c := p.connect(t)
	_, _ = io.WriteString(c, request("1"))
	_ = p.Process.Signal(syscall.SIGTERM)
	if code := status(t, c); code != http.StatusServiceUnavailable {
		t.Errorf("%d", code)
	}
	p.ends(t)
}
