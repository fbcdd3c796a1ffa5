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

// The platform's node stays lean: it links none of what the gateway needs.
func TestNodeLinksNothingOfTheGateway(t *testing.T) {
	deps := func(program string) string {
		t.Helper()
		out, err := exec.Command("go", "list", "-deps", "robindrum/cmd/"+program).Output()
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	}
	node := deps("robindrum-node")
	for line := range strings.SplitSeq(node, "\n") {
		if first, _, _ := strings.Cut(line, "/"); strings.Contains(first, ".") && !strings.HasPrefix(line, "vendor/") {
			t.Errorf("robindrum-node links %s", line)
		}
		if line == "os/exec" { // the platform refuses to start other programs
			t.Error("robindrum-node can start programs")
		}
		for _, p := range []string{"internal/xds", "internal/gateway", "internal/config", "internal/route", "internal/testbed", "internal/demo", "internal/endpoints"} {
			if strings.HasPrefix(line, "robindrum/"+p) {
				t.Errorf("robindrum-node links %s", line)
			}
		}
	}
	if !strings.Contains(node, "robindrum/balancer") {
		t.Error("the list of what is linked is not one")
	}
	// The same look at the gateway finds them: the test can fail.
	for _, p := range []string{"google.golang.org/grpc", "google.golang.org/protobuf/proto", "github.com/spf13/cobra", "robindrum/internal/xds", "os/exec"} {
		if !strings.Contains(deps("robindrum"), p+"\n") {
			t.Errorf("robindrum does not link %s", p)
		}
	}
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	write(t, path, text)
	return path
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const least = "listeners: [{name: web, address: %q}]\nadmin: {address: %q}\nclusters: [{name: c, endpoints: [{address: %q}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n"

func TestCommands(t *testing.T) {
	good := file(t, fmt.Sprintf(least, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"))
	bad := file(t, "listeners: []\nroutez: 1\n")
	noFile := file(t, "listeners: [{name: a, address: \"127.0.0.1:0\"}]\nclusters: [{name: c, file: {path: none.yaml}}]\nroutes: [{match: {prefix: /}, cluster: c}]\n")
	for _, c := range []struct {
		args []string
		code int
		want string // on either output
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
		{[]string{"try", "--rate", "0"}, 2, "want more than 0"},
		{[]string{"try", "--length", "0.5s", "--rate", "40"}, 0, "all rules kept"},
		{[]string{"status", "-a", testbed.RefusingAddress(t)}, 1, "connection refused"},
		{[]string{"serve", "-h"}, 0, "SIGHUP"},
	} {
		var out, errs bytes.Buffer
		code := run(context.Background(), c.args, &out, &errs)
		if code != c.code || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%v: exit %d, want %d with %q\n%s%s", c.args, code, c.code, c.want, out.String(), errs.String())
		}
	}
}

// A gateway is run, asked, given a new file, a bad one, and stopped.
func TestServe(t *testing.T) {
	testbed.Leaks(t)
	a, err := origin.Start("", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Kill()
	b, err := origin.Start("", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	web, admin := testbed.RefusingAddress(t), testbed.RefusingAddress(t)
	path := file(t, fmt.Sprintf(least, web, admin, a.Addr))
	hup := make(chan os.Signal)
	var log buffer
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, path, hup, &log) }()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: testbed.WaitTimeout}
	from := func() string {
		resp, err := client.Get("http://" + web + "/x")
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		return resp.Header.Get("X-Origin")
	}
	testbed.Eventually(t, "the gateway", func() bool { return from() == a.Addr })
	status := func() string {
		var out bytes.Buffer
		if code := run(context.Background(), []string{"status", "-a", admin}, &out, &out); code != 0 {
			t.Errorf("status: %d", code)
		}
		return out.String()
	}
	if s := status(); !strings.Contains(s, "ready yes") || !strings.Contains(s, "1/1") {
		t.Error(s)
	}
	write(t, path, fmt.Sprintf(least, web, admin, b.Addr))
	hup <- os.Interrupt
	testbed.Eventually(t, "the new file", func() bool { return from() == b.Addr })
	write(t, path, "listeners: []\n")
	hup <- os.Interrupt
	testbed.Eventually(t, "the refusal", func() bool { return strings.Contains(status(), "REFUSED") })
	if from() != b.Addr || !strings.Contains(status(), "gateway.yaml:1:12: listeners: none is given") {
		t.Error(status())
	}
	http.DefaultClient.CloseIdleConnections()
	tr.CloseIdleConnections()
	cancel()
	if err := testbed.Receive(t, "the end", done); err != nil {
		t.Error(err)
	}
	if c, err := net.DialTimeout("tcp", web, time.Second); err == nil {
		c.Close()
		t.Error("it still listens")
	}
	if !strings.Contains(log.String(), "stopping") {
		t.Error(log.String())
	}
}

// The plan of two sites is printed by check and by sites plan, with another load, as JSON, and what cannot be is a plain error.
func TestSitesPlan(t *testing.T) {
	for _, x := range []struct {
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
		var out, errs bytes.Buffer
		if code := run(t.Context(), strings.Fields(x.args), &out, &errs); code != x.code || !strings.Contains(out.String()+errs.String(), x.want) {
			t.Errorf("%s: exit code %d\n%s%s", x.args, code, &out, &errs)
		}
	}
}
