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
	"syscall"
	"testing"

	"robindrum/internal/testbed"
)

// programs is where TestMain built them, once for all tests.
var programs string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if programs, err = os.MkdirTemp("", "robindrum-node"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(programs) }()
		if out, err := exec.Command("go", "build", "-o", programs, "robindrum/cmd/...").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

const settings = `{"az":"a","azs":["a"],"caps":{"attempts-cap":3,"may-cancel":true,"connect-timeout":75000000,"conn-idle":10000000000},
	"discovery":"on_request","contract":{"must-ask-in":10000000000},"replicas-of-me":1,
	"profiles":[{"name":"get","deadline":2000000000,"slo":1000000000,"effect":"free","gain":1}]}`

func configText(listen, backend, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[
		{"uid":"s","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"SERVING","capacity_hint":1,"boot_ms":0}]},
		"settings":%s}`, listen, backend, settings)
}

// Both programs, as they are deployed: each gives an answer, and the node ends well when it is told to.
func TestPrograms(t *testing.T) {
	t.Run("robindrum-sim", func(t *testing.T) {
		cmd := exec.Command(filepath.Join(programs, "robindrum-sim"))
		cmd.Stdin = strings.NewReader(`{"now":1,"nodes":[]}` + "\n")
		if out, err := cmd.Output(); err != nil || string(out) != `{"nodes":[]}`+"\n" {
			t.Errorf("%q %v", out, err)
		}
	})
	t.Run("robindrum-node", func(t *testing.T) {
		b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" })
		listen := testbed.RefusingAddress(t)
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(configText("", b.Addr, settings)), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(filepath.Join(programs, "robindrum-node"))
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_LISTEN="+listen)
		var log bytes.Buffer
		cmd.Stderr = &log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		testbed.Eventually(t, "the node", func() bool {
			resp, err := http.Get("http://" + listen + "/health/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/get/x", nil)
		req.Header.Set("X-Trace-Id", "1")
		req.Header.Set("X-Qos", "get")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || string(body) != "ok" {
			t.Errorf("%d %q", resp.StatusCode, body)
		}
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, log.Bytes())
		}
		if _, err := net.Dial("tcp", listen); err == nil {
			t.Error("it still listens")
		}
	})
	t.Run("SIGHUP", func(t *testing.T) { testReload(t) })
	t.Run("bad configuration", func(t *testing.T) {
		dir := t.TempDir()
		for name, text := range map[string]string{"unreadable": "", "not JSON": "{", "no settings": `{"listen":"127.0.0.1:0","discovery":"x:1"}`,
			"no port":        strings.Replace(configText("127.0.0.1:0", "127.0.0.1:1", settings), `"127.0.0.1:1","seed"`, `"discovery":"127.0.0.1"`, 1),
			"negative limit": strings.Replace(configText("127.0.0.1:0", "127.0.0.1:1", settings), `"sockets":1024`, `"sockets":-1`, 1),
			"no listen":      configText("", "127.0.0.1:1", settings),
			"rejected":       configText("127.0.0.1:0", "127.0.0.1:1", `{"profiles":[]}`),
			"unknown effect": configText("127.0.0.1:0", "127.0.0.1:1", strings.Replace(settings, "free", "odd", 1))} {
			path := filepath.Join(dir, "config.json")
			_ = os.Remove(path)
			if text != "" {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command(filepath.Join(programs, "robindrum-node"))
			cmd.Env = []string{"PROXY_CONFIG=" + path}
			out, err := cmd.CombinedOutput()
			if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "robindrum-node: ") {
				t.Errorf("%s: %v, said %q", name, err, out)
			}
		}
	})
}

// A node that is told to read its file anew asks at the discovery that it names from then on, and goes on as it was
// where the file is of no use.
func testReload(t *testing.T) {
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" })
	calls := make(chan string, 9)
	discovery := func(name string) string {
		over := make(chan struct{})
		p := testbed.NewPeer(t, func(c net.Conn, _ int) {
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			calls <- name
			<-over
		})
		t.Cleanup(func() { close(over) })
		return p.Addr
	}
	listen, path := testbed.RefusingAddress(t), filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	at := func(addr string) string {
		return strings.Replace(configText(listen, b.Addr, settings), "127.0.0.1:1", addr, 1)
	}
	write(at(discovery("first")))
	cmd := exec.Command(filepath.Join(programs, "robindrum-node"))
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 99)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(stderr); s.Scan(); {
			lines <- s.Text()
		}
	}()
	said := func(what string) {
		t.Helper()
		for l := range lines {
			if strings.Contains(l, what) {
				return
			}
		}
		t.Fatalf("it ended without a word of %q", what)
	}
	ask := func(id string) {
		t.Helper()
		req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/get/x", nil)
		req.Header.Set("X-Trace-Id", id)
		req.Header.Set("X-Qos", "get")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("request %s: %d", id, resp.StatusCode)
		}
	}
	if name := testbed.Receive(t, "a first call", calls); name != "first" {
		t.Errorf("called %s", name)
	}
	good := at("127.0.0.1:1")
	for _, bad := range []string{"", "{", "{}", good[:len(good)/2], good[:len(good)-1], at("nowhere"), strings.Replace(good, "free", "odd", 1),
		strings.Replace(good, `"name":"n0"`, `"name":"n1"`, 1), strings.Replace(good, listen, "127.0.0.1:2", 1),
		strings.Replace(good, `"name":"get"`, `"name":"other"`, 1)} { // the last three are another node's or deployment's
		write(bad)
		_ = cmd.Process.Signal(syscall.SIGHUP)
		said("of no use")
	}
	ask("1")
	write(at(discovery("second")))
	_ = cmd.Process.Signal(syscall.SIGHUP)
	if name := testbed.Receive(t, "a call after the move", calls); name != "second" {
		t.Errorf("called %s", name)
	}
	ask("2") // the list is the old one's until the new one tells another
	_ = cmd.Process.Signal(syscall.SIGTERM)
	for range lines {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}
