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

// maxProcesses of the program a rig starts.
const maxProcesses = 200

// Need is what a size would take of the machine.
type Need struct {
	Memory    int64 // bytes
	Processes int   // real ones
	Files     int64 // descriptors in this process
}

// Bytes by which sizes are refused before they are tried. Those of a pair are what 600 and 800 members had resident while all of them
// told each other of their joins (3.4 and 4.9 GB); what stays behind that is far less.
const (
	memberBytes  = 400 << 10 // of a member by itself: its sockets' buffers, goroutines, queues
	pairBytes    = 8000      // of what one member keeps of another one
	processBytes = 80 << 20  // of a process of the program
)

// MembersNeed is what so many hollow members and real processes would take.
func MembersNeed(members, processes int) Need {
	n := int64(members)
	return Need{Memory: n*memberBytes + n*n*pairBytes + int64(processes)*processBytes, Processes: processes, Files: 8*n + 200}
}

// Of members on a network and a clock of their own, which are never behind with what they are told: what lives at the most, while all tell
// each other of their joins. The collector's headroom is bounded by a limit of memory instead.
const (
	simulatedMemberBytes = 800 << 10
	simulatedPairBytes   = 2100
)

// SimulatedNeed is what so many hollow members on a network in memory would take.
func SimulatedNeed(members int) Need {
	n := int64(members)
	return Need{Memory: n*simulatedMemberBytes + n*n*simulatedPairBytes}
}

// Refuse gives why a size is not tried on this machine: half of its memory, 200 processes and the descriptors of one process bound it.
func (n Need) Refuse() error { return n.refuse(machineMemory(), maxFiles()) }

func (n Need) refuse(memory, files int64) error {
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

// machineMemory is the machine's, in bytes; 0: not known.
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

func maxFiles() int64 {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return int64(min(l.Cur, 1<<40))
}

// cpu is the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is what lives on this process's heap, behind a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
