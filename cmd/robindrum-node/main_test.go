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

// programDir is the directory of the programs that TestMain builds for all tests.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if programDir, err = os.MkdirTemp("", "robindrum-node"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(programDir) }()
		if out, err := exec.Command("go", "build", "-o", programDir, "robindrum/cmd/...").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

const settings = `{"az":"a","azs":["a"],"caps":{"attempts-cap":3,"may-cancel":true,"connect-timeout":75000000,"conn-idle":10000000000},
	"discovery":"on_request","contract":{"must-ask-in":10000000000},"replicas-of-me":1,
	"profiles":[{"name":"get","deadline":2000000000,"slo":1000000000,"effect":"free","gain":1}]}`

// configText returns a configuration file whose cached list has one endpoint, at the address of backend.
func configText(listen, backend, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[
		{"uid":"s","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"SERVING","capacity_hint":1,"boot_ms":0}]},
		"settings":%s}`, listen, backend, settings)
}

// The programs are run as they are deployed: both respond to requests, and robindrum-node exits with code 0 after SIGTERM and with
// a one-line error after an invalid configuration.
func TestPrograms(t *testing.T) {
	t.Run("robindrum-sim", func(t *testing.T) {
		cmd := exec.Command(filepath.Join(programDir, "robindrum-sim"))
		cmd.Stdin = strings.NewReader(`{"now":1,"nodes":[]}` + "\n")
		if out, err := cmd.Output(); err != nil || string(out) != `{"nodes":[]}`+"\n" {
			t.Errorf("robindrum-sim: got output %q, error %v, want output %q", out, err, `{"nodes":[]}`+"\n")
		}
	})
	t.Run("robindrum-node", func(t *testing.T) {
		backend := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" })
		listen := testbed.RefusingAddress(t)
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(configText("", backend.Addr, settings)), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(filepath.Join(programDir, "robindrum-node"))
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_LISTEN="+listen)
		var log bytes.Buffer
		cmd.Stderr = &log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		testbed.Eventually(t, "the node to be ready", func() bool {
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
			t.Errorf("GET /get/x: got status %d, body %q, want status 200, body %q", resp.StatusCode, body, "ok")
		}
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("robindrum-node after SIGTERM: %v, want exit code 0\n%s", err, log.Bytes())
		}
		if _, err := net.Dial("tcp", listen); err == nil {
			t.Error("robindrum-node still listens after its exit")
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
			cmd := exec.Command(filepath.Join(programDir, "robindrum-node"))
			cmd.Env = []string{"PROXY_CONFIG=" + path}
			out, err := cmd.CombinedOutput()
			if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "robindrum-node: ") {
				t.Errorf("%s: got error %v, output %q, want an error and one line with the prefix %q", name, err, out, "robindrum-node: ")
			}
		}
	})
}

// testReload tests that after SIGHUP a node calls the discovery at the address in its configuration file, and that it keeps running
// unchanged if the file is invalid or belongs to another node.
func testReload(t *testing.T) {
	backend := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" })
	calls := make(chan string, 9)
	startDiscovery := func(name string) string {
		done := make(chan struct{})
		peer := testbed.NewPeer(t, func(conn net.Conn, _ int) {
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			calls <- name
			<-done
		})
		t.Cleanup(func() { close(done) })
		return peer.Addr
	}
	listen, path := testbed.RefusingAddress(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	configWith := func(addr string) string {
		return strings.Replace(configText(listen, backend.Addr, settings), "127.0.0.1:1", addr, 1)
	}
	writeConfig(configWith(startDiscovery("first")))
	cmd := exec.Command(filepath.Join(programDir, "robindrum-node"))
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
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	waitForLog := func(substring string) {
		t.Helper()
		for line := range lines {
			if strings.Contains(line, substring) {
				return
			}
		}
		t.Fatalf("robindrum-node exited without logging %q", substring)
	}
	get := func(id string) {
		t.Helper()
		req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/get/x", nil)
		req.Header.Set("X-Trace-Id", id)
		req.Header.Set("X-Qos", "get")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("request %s: got status %d, want 200", id, resp.StatusCode)
		}
	}
	if name := testbed.Receive(t, "a call to the first discovery", calls); name != "first" {
		t.Errorf("discovery called: got %q, want %q", name, "first")
	}
	valid := configWith("127.0.0.1:1")
	for _, invalid := range []string{"", "{", "{}", valid[:len(valid)/2], valid[:len(valid)-1], configWith("nowhere"), strings.Replace(valid, "free", "odd", 1),
		strings.Replace(valid, `"name":"n0"`, `"name":"n1"`, 1), strings.Replace(valid, listen, "127.0.0.1:2", 1),
		strings.Replace(valid, `"name":"get"`, `"name":"other"`, 1)} { // the last three belong to another node or deployment
		writeConfig(invalid)
		_ = cmd.Process.Signal(syscall.SIGHUP)
		waitForLog("configuration reload failed")
	}
	get("1")
	writeConfig(configWith(startDiscovery("second")))
	_ = cmd.Process.Signal(syscall.SIGHUP)
	if name := testbed.Receive(t, "a call to the second discovery", calls); name != "second" {
		t.Errorf("discovery called: got %q, want %q", name, "second")
	}
	get("2") // served by the cached list, since the second discovery sends none
	_ = cmd.Process.Signal(syscall.SIGTERM)
	for range lines {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("robindrum-node after SIGTERM: %v, want exit code 0", err)
	}
}
