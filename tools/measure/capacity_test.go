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

// TestMain runs the program itself if the test binary is started with one of its commands, which startProcess and
// TestCapacityIsInterrupted do.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "child" || os.Args[1] == "capacity") {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestCapacityIsInterrupted interrupts the command between two sizes. The command must print the figures measured so far, end all
// processes and remove all files.
func TestCapacityIsInterrupted(t *testing.T) {
	dir := t.TempDir()
	cmd := exec.CommandContext(t.Context(), os.Args[0], "capacity", "gateway", "-sizes", "1,2,90,100")
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(stdout)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("the command ended with error %v before it was interrupted, want it running; stderr %q", err, stderr.String())
		}
		if strings.HasPrefix(line, "    2 clusters") {
			break
		}
	}
	if n := len(children(t, dir)); n == 0 {
		t.Fatal("children() returned no process before the interrupt, want at least one")
	}
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err == nil || !strings.Contains(stderr.String(), "context canceled") {
		t.Errorf("interrupted command: got error %v, stderr %q, want an error and stderr with \"context canceled\"", err, stderr.String())
	}
	if !strings.Contains(string(rest), "resident with lists and routes, MB") || !strings.Contains(string(rest), "at 720") {
		t.Errorf("output after the interrupt lacks the measured figures, want them in\n%s", rest)
	}
	testbed.Eventually(t, "all processes to end", func() bool { return len(children(t, dir)) == 0 })
	if entries, err := os.ReadDir(dir); err != nil || len(entries) > 0 {
		t.Errorf("ReadDir(%s) after the interrupt: got %v, %v, want no entries", dir, entries, err)
	}
}

// children returns the ids of the processes that got an argument @FILE with a file in a folder.
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

// TestChildReportsItsHeap requests the live heap size of a child, and checks that the child ends when its input is closed.
func TestChildReportsItsHeap(t *testing.T) {
	p, err := startProcess("robindrum-node", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	n, err := p.heap()
	if err != nil || n < 100_000 || n > 1<<30 {
		t.Errorf("heap() = %d, %v, want between 100,000 and 2^30 bytes", n, err)
	}
	ended := make(chan struct{})
	go func() { p.stop(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the child did not end within 10 s after its input was closed")
	}
}

// TestCapacityRefusesArguments checks that invalid arguments are rejected before anything starts, with an error that says what is
// accepted.
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
		if err := measureCapacity(strings.Fields(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("measureCapacity(%q) = %v, want an error with %q", text, err, want)
		}
	}
}

// TestCapacityParts checks that each name in partNames is a part with at least four sizes, and that partNames lists all parts.
func TestCapacityParts(t *testing.T) {
	unnamed := parts()
	for _, name := range partNames {
		part, ok := unnamed[name]
		if !ok {
			t.Errorf("parts() has no part %q, want one for each name in partNames", name)
		}
		if name != "limits" && (len(part.short) < 4 || len(part.full) < 4) {
			t.Errorf("part %q: got sizes %v and %v, want at least four each to fit a slope", name, part.short, part.full)
		}
		delete(unnamed, name)
	}
	if len(unnamed) > 0 {
		t.Errorf("got parts %v that are missing in partNames, want none", unnamed)
	}
}

// TestDerivedFigures checks that a derived figure is computed from the fits and crosses its bound at the size that the formula gives. If
// a figure was not measured at every size, the derived figure must be NaN.
func TestDerivedFigures(t *testing.T) {
	s := newSeries("members")
	s.derive("square", 100, func(n float64, fit func(string) float64) float64 { return n * fit("a") })
	s.derive("missing", 1, func(_ float64, fit func(string) float64) float64 { return fit("b") })
	for _, n := range []int{10, 20, 40} {
		s.size(n)
		s.put("a", 2*float64(n), 0)
	}
	s.put("b", 1, 0)
	if v := s.derivedFigures[0].value(s, 100); math.Abs(v-20000) > 1e-6 {
		t.Errorf("square at 100: got %v, want 20000", v)
	}
	if at := s.derivedFigures[0].crosses(s); at < 7 || at > 7.2 {
		t.Errorf("crosses() = %v, want 7.07", at)
	}
	if v := s.derivedFigures[1].value(s, 100); !math.IsNaN(v) {
		t.Errorf("missing at 100: got %v, want NaN", v)
	}
}
