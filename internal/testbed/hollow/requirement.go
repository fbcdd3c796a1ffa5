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

// maxProcesses is how many processes of the program a measurement starts at most.
const maxProcesses = 200

// Requirement is an estimate of the resources that a size needs.
type Requirement struct {
	Memory    int64 // bytes
	Processes int   // of the program
	Files     int64 // descriptors in this process
}

// Resident bytes during the join of all members, when they need the most.
const (
	memberBytes  = 400 << 10 // of a member: socket buffers, goroutines and queues
	pairBytes    = 8000      // of what a member stores about another one
	processBytes = 80 << 20  // of a process of the program
)

// MembersRequirement estimates what hollow members and real processes need.
func MembersRequirement(members, processes int) Requirement {
	n := int64(members)
	return Requirement{Memory: n*memberBytes + n*n*pairBytes + int64(processes)*processBytes, Processes: processes, Files: 8*n + 200}
}

// Live bytes during the join of members on a network in memory. The collector's headroom is not included, as a memory limit bounds it.
const (
	simulatedMemberBytes = 800 << 10
	simulatedPairBytes   = 2100
)

// SimulatedRequirement estimates what hollow members on a network in memory need.
func SimulatedRequirement(members int) Requirement {
	n := int64(members)
	return Requirement{Memory: n*simulatedMemberBytes + n*n*simulatedPairBytes}
}

// Check returns an error if a size is too large for this machine: it may need half of the memory, 200 processes and the
// descriptors of one process.
func (n Requirement) Check() error { return n.check(machineMemory(), maxFiles()) }

func (n Requirement) check(memory, files int64) error {
	switch {
	case n.Processes > maxProcesses:
		return fmt.Errorf("needs %d processes, %d at most", n.Processes, maxProcesses)
	case memory > 0 && n.Memory > memory/2:
		return fmt.Errorf("needs an estimated %d MiB of memory, half of this machine's is %d MiB", n.Memory>>20, memory>>21)
	case files > 0 && n.Files > files:
		return fmt.Errorf("needs an estimated %d descriptors, this process may have %d", n.Files, files)
	}
	return nil
}

// machineMemory returns the machine's memory in bytes; 0: unknown.
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

// maxFiles returns how many descriptors this process may have; 0: unknown.
func maxFiles() int64 {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return int64(min(l.Cur, 1<<40))
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live objects on the heap, after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
