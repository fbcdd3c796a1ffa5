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

// printMachine prints the version of Go and the kind of machine that the figures come from.
func printMachine() {
	fmt.Printf("%s, %s/%s, %d processors\n", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
}

// process is a measured process that listens.
type process struct {
	cmd    *exec.Cmd
	input  io.WriteCloser // its end is the process's end
	output *bufio.Reader
	addr   []string // where it listens: for requests, and for its admin pages if it has any
}

// startProcess runs this program as a child of a kind and waits until it listens. The caller calls stop.
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

// heap returns the bytes of the process's live heap after a collection. It does not count what the collector holds free.
func (p *process) heap() (int64, error) {
	if _, err := io.WriteString(p.input, heapQuestion+"\n"); err != nil {
		return 0, err
	}
	line, err := p.output.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.ParseInt(strings.TrimSpace(line), 10, 64)
}

// heapQuestion is the line that asks a child for the size of its live heap.
const heapQuestion = "heap"

// usage returns the CPU time that the process has used and its resident memory in bytes.
func (p *process) usage() (cpu time.Duration, resident int64) { return usage(p.cmd.Process.Pid) }

// The fields of /proc/PID/stat that usage reads, counted from the one that follows the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21 // pages
	clockTick      = 10 * time.Millisecond
)

// usage returns the CPU time and the resident memory in bytes of a process; zeros if there is no such process.
func usage(pid int) (cpu time.Duration, resident int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The command's name is in parentheses and may hold spaces.
	nameEnd := strings.LastIndexByte(string(stat), ')')
	fields := strings.Fields(string(stat[nameEnd+1:]))
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	ticks := number(statUserTime) + number(statSystemTime)
	return time.Duration(ticks) * clockTick, number(statResident) * int64(os.Getpagesize())
}

// await polls a condition until it holds, for 30 s at most.
func await(what string, ok func() bool) error {
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("never came: %s", what)
		}
	}
	return nil
}

// adminPage returns the body of a page of the gateway's admin listener.
func (p *process) adminPage(path string) (string, error) {
	resp, err := http.Get("http://" + p.addr[1] + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// awaitEndpoints waits until so many clusters each have so many usable endpoints.
func (p *process) awaitEndpoints(clusters, each int) error {
	return await("all endpoints", func() bool {
		status, _ := p.adminPage("/status?endpoints=1")
		return strings.Count(status, `"usable_endpoints": `+strconv.Itoa(each)) >= clusters
	})
}
