package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// TestMain runs the program itself where a test starts it as a child or in order to interrupt it.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "child" || os.Args[1] == "capacity") {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestCapacityIsInterrupted interrupts the command between two sizes: what was measured is printed, all processes end and every
// file is removed.
func TestCapacityIsInterrupted(t *testing.T) {
	dir := t.TempDir()
	cmd := exec.CommandContext(t.Context(), os.Args[0], "capacity", "gateway", "-sizes", "1,2,90,100")
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var said bytes.Buffer
	cmd.Stderr = &said
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(out)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("it ended by itself: %v, %s", err, said.String())
		}
		if strings.HasPrefix(line, "    2 clusters") {
			break
		}
	}
	if n := len(children(t, dir)); n == 0 {
		t.Fatal("no process to end is running")
	}
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err == nil || !strings.Contains(said.String(), "context canceled") {
		t.Errorf("it ended with %v and said %q", err, said.String())
	}
	if !strings.Contains(string(rest), "resident with lists and routes, MB") || !strings.Contains(string(rest), "at 720") {
		t.Errorf("what was measured is not printed: %s", rest)
	}
	testbed.Eventually(t, "all processes to end", func() bool { return len(children(t, dir)) == 0 })
	if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

// children returns the ids of the processes that were given a file below a folder.
func children(t *testing.T, dir string) (pids []string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range all {
		if line, err := os.ReadFile(path); err == nil && bytes.Contains(line, []byte(fmt.Sprint("@", dir))) {
			pids = append(pids, filepath.Base(filepath.Dir(path)))
		}
	}
	return pids
}

// TestChildReportsItsHeap asks a child for its live heap; the child ends with its input.
func TestChildReportsItsHeap(t *testing.T) {
	p, err := startProcess("robindrum-node", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	n, err := p.heap()
	if err != nil || n < 100_000 || n > 1<<30 {
		t.Errorf("%d bytes, %v", n, err)
	}
	ended := make(chan struct{})
	go func() { p.stop(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
}

// TestCapacityRefusesArguments expects invalid arguments to be rejected before anything starts, with what is expected instead.
func TestCapacityRefusesArguments(t *testing.T) {
	for text, want := range map[string]string{
		"nothing":                  "want one of members",
		"members more":             "want one of members",
		"members -sizes 10":        "two or more",
		"members -sizes 10,x":      "rising numbers",
		"members -sizes 20,10":     "rising numbers",
		"members -sizes 0,10":      "rising numbers",
		"-sizes 10,20":             "of one part",
		"members -sizes 5000,6000": "members",
	} {
		if err := capacity(strings.Fields(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// TestCapacityParts expects each named part to exist with at least four sizes of its own, and each part to be named.
func TestCapacityParts(t *testing.T) {
	all := parts()
	for _, name := range partNames {
		p, ok := all[name]
		if !ok {
			t.Errorf("no part %s", name)
		}
		if name != "limits" && (len(p.short) < 4 || len(p.full) < 4) {
			t.Errorf("%s: %v, %v: a slope is of four sizes at the least", name, p.short, p.full)
		}
		delete(all, name)
	}
	if len(all) > 0 {
		t.Errorf("not named: %v", all)
	}
}

// TestDerivedFigures expects a derived figure to follow the fits and to cross its bound where the formula does; without a
// measurement at every size there is none.
func TestDerivedFigures(t *testing.T) {
	s := newSeries("members")
	s.derive("square", 100, func(n float64, fit func(string) float64) float64 { return n * fit("a") })
	s.derive("missing", 1, func(_ float64, fit func(string) float64) float64 { return fit("b") })
	for _, n := range []int{10, 20, 40} {
		s.size(n)
		s.put("a", 2*float64(n), 0)
	}
	s.put("b", 1, 0)
	if v := s.more[0].value(s, 100); math.Abs(v-20000) > 1e-6 {
		t.Errorf("%v", v)
	}
	if at := s.more[0].crosses(s); at < 7 || at > 7.2 {
		t.Errorf("crossed at %v, want 7.07", at)
	}
	if v := s.more[1].value(s, 100); !math.IsNaN(v) {
		t.Errorf("%v of what was not measured", v)
	}
}
