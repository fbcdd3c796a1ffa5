package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// printMachine prints the Go version, the platform and the number of processors of the machine that runs the benchmark.
func printMachine() {
	fmt.Printf("%s, %s/%s, %d processors\n", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
}

// process is a child process under measurement.
type process struct {
	cmd    *exec.Cmd
	input  io.WriteCloser // closing it ends the process
	output *bufio.Reader
	addr   []string // the listener for requests, then the admin listener if there is one
}

// startProcess runs this program as a child of the given kind and waits until it listens. The caller must call stop.
func startProcess(kind string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{childCommand, kind}, args...)...)
	cmd.Stderr = os.Stderr
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	output := bufio.NewReader(stdout)
	line, err := output.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("%s did not start: %w", kind, err)
	}
	return &process{cmd: cmd, input: input, output: output, addr: strings.Fields(line)}, nil
}

// stop ends the process and waits for it.
func (p *process) stop() {
	p.input.Close()
	_ = p.cmd.Wait()
}

// heap returns the size of the live heap of the process in bytes after a garbage collection. Free memory that the Go runtime retains
// is not counted.
func (p *process) heap() (int64, error) {
	if _, err := io.WriteString(p.input, heapRequest+"\n"); err != nil {
		return 0, err
	}
	line, err := p.output.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.ParseInt(strings.TrimSpace(line), 10, 64)
}

// heapRequest is the line on standard input that requests the live heap size of a child.
const heapRequest = "heap"

// usage returns the CPU time that the process has consumed and its resident memory in bytes.
func (p *process) usage() (cpu time.Duration, resident int64) { return usage(p.cmd.Process.Pid) }

// Indexes of the fields of /proc/PID/stat that usage reads, counted from the field after the command name; clockTick is the unit of the
// CPU times.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21 // pages
	clockTick      = 10 * time.Millisecond
)

// usage returns the CPU time and the resident memory in bytes of a process, or zeros if there is no such process.
func usage(pid int) (cpu time.Duration, resident int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The command name is in parentheses and may contain spaces.
	nameEnd := strings.LastIndexByte(string(stat), ')')
	fields := strings.Fields(string(stat[nameEnd+1:]))
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	ticks := number(statUserTime) + number(statSystemTime)
	return time.Duration(ticks) * clockTick, number(statResident) * int64(os.Getpagesize())
}

// await polls a condition until it holds and returns an error after 30 s.
func await(what string, ok func() bool) error {
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("timed out after 30 s waiting for %s", what)
		}
	}
	return nil
}

// adminPage returns the body of a page that the admin listener of the gateway serves.
func (p *process) adminPage(path string) (string, error) {
	resp, err := http.Get("http://" + p.addr[1] + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// awaitEndpoints waits until the status page shows the given number of usable endpoints for at least the given number of clusters.
func (p *process) awaitEndpoints(clusters, each int) error {
	return await("all endpoints", func() bool {
		status, _ := p.adminPage("/status?endpoints=1")
		return strings.Count(status, `"usable_endpoints": `+strconv.Itoa(each)) >= clusters
	})
}
