package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"robindrum/internal/testbed"
	"robindrum/internal/testbed/origin"
)

// robindrum-node must not depend on the packages of the gateway or on modules outside the standard library, to stay small.
func TestNodeLinksNothingOfTheGateway(t *testing.T) {
	dependencies := func(program string) string {
		t.Helper()
		out, err := exec.Command("go", "list", "-deps", "robindrum/cmd/"+program).Output()
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	}
	node := dependencies("robindrum-node")
	for line := range strings.SplitSeq(node, "\n") {
		if first, _, _ := strings.Cut(line, "/"); strings.Contains(first, ".") && !strings.HasPrefix(line, "vendor/") {
			t.Errorf("robindrum-node links %s", line)
		}
		if line == "os/exec" { // the platform does not permit a node to start other programs
			t.Error("robindrum-node links os/exec, want it not linked")
		}
		for _, name := range []string{"internal/xds", "internal/gateway", "internal/config", "internal/route", "internal/testbed", "internal/demo", "internal/endpoints"} {
			if strings.HasPrefix(line, "robindrum/"+name) {
				t.Errorf("robindrum-node links %s", line)
			}
		}
	}
	if !strings.Contains(node, "robindrum/balancer") {
		t.Error("the dependencies of robindrum-node lack robindrum/balancer, want a list that contains it")
	}
	// The gateway has such dependencies, which shows that the check can fail.
	for _, name := range []string{"google.golang.org/grpc", "google.golang.org/protobuf/proto", "github.com/spf13/cobra", "robindrum/internal/xds", "os/exec"} {
		if !strings.Contains(dependencies("robindrum"), name+"\n") {
			t.Errorf("robindrum does not link %s, want it linked", name)
		}
	}
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// writeConfig writes a configuration file to a temporary folder and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	writeFile(t, path, text)
	return path
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// minimalConfig has verbs for the listener, admin and endpoint addresses.
const minimalConfig = "listeners: [{name: web, address: %q}]\nadmin: {address: %q}\nclusters: [{name: c, endpoints: [{address: %q}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n"

func TestCommands(t *testing.T) {
	good := writeConfig(t, fmt.Sprintf(minimalConfig, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"))
	bad := writeConfig(t, "listeners: []\nroutez: 1\n")
	noFile := writeConfig(t, "listeners: [{name: a, address: \"127.0.0.1:0\"}]\nclusters: [{name: c, file: {path: none.yaml}}]\nroutes: [{match: {prefix: /}, cluster: c}]\n")
	for _, c := range []struct {
		args []string
		code int
		want string // in stdout or stderr
	}{
		{[]string{"version"}, 0, "robindrum "},
		{[]string{"check", "-c", good}, 0, "1 listeners, 1 clusters, 1 routes, 2 classes: good"},
		{[]string{"check", "-c", good, "--print"}, 0, "connect_timeout: 250ms"},
		{[]string{"check", "-c", bad}, 1, bad + ":2:1: routez: there is no such field"},
		{[]string{"check", "-c", noFile}, 1, "none.yaml"},
		{[]string{"check", "-c", good + "x"}, 1, "no such file"},
		{[]string{"serve", "-c", bad}, 1, "routez"},
		{[]string{"serve", "-c", noFile}, 1, "none.yaml"},
		{[]string{"check"}, 1, `required flag(s) "config" not set`},
		{[]string{"check", "--nope"}, 2, "unknown flag: --nope"},
		{[]string{"nope"}, 2, "unknown command"},
		{[]string{"try", "--rate", "0"}, 2, "must be more than 0"},
		{[]string{"try", "--length", "0.5s", "--rate", "40"}, 0, "all rules kept"},
		{[]string{"status", "-a", testbed.RefusingAddress(t)}, 1, "connection refused"},
		{[]string{"serve", "-h"}, 0, "SIGHUP"},
	} {
		var out, stderr bytes.Buffer
		code := run(context.Background(), c.args, &out, &stderr)
		if code != c.code || !strings.Contains(out.String()+stderr.String(), c.want) {
			t.Errorf("run(%v): got exit code %d, want %d and output with %q\n%s%s", c.args, code, c.code, c.want, out.String(), stderr.String())
		}
	}
}

// TestServe runs a gateway, queries its status, reloads a valid and an invalid configuration file, and stops the gateway.
func TestServe(t *testing.T) {
	testbed.Leaks(t)
	serverA, err := origin.Start("", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer serverA.Kill()
	serverB, err := origin.Start("", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer serverB.Kill()
	webAddr, adminAddr := testbed.RefusingAddress(t), testbed.RefusingAddress(t)
	path := writeConfig(t, fmt.Sprintf(minimalConfig, webAddr, adminAddr, serverA.Addr))
	hangup := make(chan os.Signal)
	var log syncBuffer
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, path, hangup, &log) }()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: testbed.WaitTimeout}
	respondingServer := func() string {
		resp, err := client.Get("http://" + webAddr + "/x")
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		return resp.Header.Get("X-Origin")
	}
	testbed.Eventually(t, "response through the gateway", func() bool { return respondingServer() == serverA.Addr })
	status := func() string {
		var out bytes.Buffer
		if code := run(context.Background(), []string{"status", "-a", adminAddr}, &out, &out); code != 0 {
			t.Errorf("run(status): got exit code %d, want 0", code)
		}
		return out.String()
	}
	if s := status(); !strings.Contains(s, "ready yes") || !strings.Contains(s, "1/1") {
		t.Error(s)
	}
	writeFile(t, path, fmt.Sprintf(minimalConfig, webAddr, adminAddr, serverB.Addr))
	hangup <- os.Interrupt
	testbed.Eventually(t, "use of the new configuration file", func() bool { return respondingServer() == serverB.Addr })
	writeFile(t, path, "listeners: []\n")
	hangup <- os.Interrupt
	testbed.Eventually(t, "rejection of the invalid file", func() bool { return strings.Contains(status(), "REFUSED") })
	if respondingServer() != serverB.Addr || !strings.Contains(status(), "gateway.yaml:1:12: listeners: none is given") {
		t.Error(status())
	}
	http.DefaultClient.CloseIdleConnections()
	transport.CloseIdleConnections()
	cancel()
	if err := testbed.Receive(t, "the end of serve", done); err != nil {
		t.Error(err)
	}
	if connection, err := net.DialTimeout("tcp", webAddr, time.Second); err == nil {
		connection.Close()
		t.Error("the listener still accepts connections after serve has returned")
	}
	if !strings.Contains(log.String(), "stopping") {
		t.Error(log.String())
	}
}

// The commands check and sites plan print the plan of two sites, also with another load and as JSON, and reject invalid arguments.
func TestSitesPlan(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"check -c ../../deploy/sites.yaml", 0, "sapporo lost: of 1225 requests a second 645 are served, 270 of them cross, 580 are refused"},
		{"sites plan -c ../../deploy/sites.yaml", 0, "ishikari lost: of 1225 requests a second 1225 are served"},
		{"sites plan -c ../../deploy/sites.yaml --lost sapporo --load ishikari/seat-map=1200", 0, "of 2125 requests a second 1005 are served"},
		{"sites plan -c ../../deploy/sites.yaml --lost sapporo --json", 0, `"lost":["sapporo"]`},
		{"sites plan -c ../../deploy/sites.yaml --lost otaru", 2, "there is no site \"otaru\""},
		{"sites plan -c ../../deploy/sites.yaml --load sapporo/cake=3", 2, "no capacity of class \"cake\""},
		{"sites plan -c ../../deploy/sites.yaml --load 3", 2, "want SITE/CLASS=RATE"},
		{"sites plan -c ../../deploy/fleet.yaml", 1, "has no section sites"},
	} {
		var out, stderr bytes.Buffer
		if code := run(t.Context(), strings.Fields(c.args), &out, &stderr); code != c.code || !strings.Contains(out.String()+stderr.String(), c.want) {
			t.Errorf("run(%s): got exit code %d, want %d and output with %q\n%s%s", c.args, code, c.code, c.want, &out, &stderr)
		}
	}
}
