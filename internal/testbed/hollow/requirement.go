package hollow

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// maxProcesses is the maximum number of robindrum processes that a measurement starts.
const maxProcesses = 200

// Requirement is an estimate of the resources that a fleet size needs.
type Requirement struct {
	Memory    int64 // bytes
	Processes int   // of robindrum
	Files     int64 // file descriptors of this process
}

// Resident memory in bytes during the join of all members, when memory use peaks.
const (
	memberBytes  = 400 << 10 // per member: socket buffers, goroutines and queues
	pairBytes    = 8000      // per ordered pair: what a member stores about another member
	processBytes = 80 << 20  // per robindrum process
)

// MembersRequirement estimates the resources for the given numbers of hollow members and robindrum processes.
func MembersRequirement(members, processes int) Requirement {
	n := int64(members)
	return Requirement{Memory: n*memberBytes + n*n*pairBytes + int64(processes)*processBytes, Processes: processes, Files: 8*n + 200}
}

// Live bytes during the join of members on an in-memory network. The garbage collector's headroom is not included, because it is bounded
// by a memory limit.
const (
	simulatedMemberBytes = 800 << 10
	simulatedPairBytes   = 2100
)

// SimulatedRequirement estimates the resources for hollow members on an in-memory network.
func SimulatedRequirement(members int) Requirement {
	n := int64(members)
	return Requirement{Memory: n*simulatedMemberBytes + n*n*simulatedPairBytes}
}

// Check returns an error if this machine cannot provide the resources. A requirement may use at most half of the machine's memory,
// maxProcesses processes, and this process's limit of file descriptors.
func (r Requirement) Check() error { return r.check(machineMemory(), maxFiles()) }

func (r Requirement) check(memory, files int64) error {
	switch {
	case r.Processes > maxProcesses:
		return fmt.Errorf("needs %d processes, at most %d are allowed", r.Processes, maxProcesses)
	case memory > 0 && r.Memory > memory/2:
		return fmt.Errorf("needs an estimated %d MiB of memory, half of this machine's memory is %d MiB", r.Memory>>20, memory>>21)
	case files > 0 && r.Files > files:
		return fmt.Errorf("needs an estimated %d file descriptors, this process's limit is %d", r.Files, files)
	}
	return nil
}

// machineMemory returns the machine's memory in bytes, or 0 if it is unknown.
func machineMemory() int64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "MemTotal:"); ok {
			kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kib << 10
		}
	}
	return 0
}

// maxFiles returns this process's limit of file descriptors, or 0 if it is unknown.
func maxFiles() int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int64(min(limit.Cur, 1<<40))
}

// cpu returns the processor time that this process has used so far, or 0 if it is unknown.
func cpu() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap runs a garbage collection and returns the bytes of live heap objects.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
