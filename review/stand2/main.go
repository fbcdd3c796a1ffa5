// Stand2 plays the cases 6 to 10 of the review: it starts nodes by the command of the deploy file and stands in for their clients,
// backends and discovery service. Usage, from the root of the project: stand2 CASE FOLDER. It writes FOLDER/record.txt and exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2

	maxRunTime = 116 * time.Second
)

// run is one run of a case.
type run struct {
	trouble bool // the disruption is played
	folder  string
	temp    string
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	breaches int
	counts   map[string]int
	nodes    []*node
	ended    bool
}

// printf adds a line with the time since the start to the record.
func (r *run) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.printLocked(format, args...)
}

func (r *run) printLocked(format string, args ...any) {
	fmt.Fprintf(r.record, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *run) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches++
	r.printLocked("BROKEN "+format, args...)
}

// count counts an event for the summary.
func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *run) counted(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// end kills the nodes, closes the record and exits.
func (r *run) end(code int) {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		select {}
	}
	r.ended = true
	nodes := r.nodes
	r.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	r.mu.Lock()
	for name, count := range r.counts {
		r.printLocked("count: %s %d", name, count)
	}
	r.printLocked("breaches: %d, exit code %d", r.breaches, code)
	fmt.Printf("breaches: %d, exit code %d\n", r.breaches, code)
	_ = r.record.Close()
	_ = os.RemoveAll(r.temp)
	os.Exit(code)
}

// fail ends a run that cannot go on.
func (r *run) fail(err error) {
	r.printf("the case cannot run: %v", err)
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	r.end(cannotRun)
}

func main() {
	cases := map[string]func(*run){
		"wrong-length":      wrongLength,
		"late-answer":       lateAnswer,
		"refused-call":      refusedCall,
		"new-configuration": newConfiguration,
		"late-connection":   lateConnection,
		"long-deadline":     longDeadline,
		"no-length":         noLength,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: os.Args[2], start: time.Now(), counts: map[string]int{}}
	var err error
	if r.record, err = os.Create(r.folder + "/record.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	if r.temp, err = os.MkdirTemp("", "stand2"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	r.printf("case %s, trouble %t, begun %s", os.Args[1], r.trouble, r.start.UTC().Format(time.RFC3339))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		r.fail(fmt.Errorf("ended before its end"))
	}()
	cases[os.Args[1]](r)
	if r.breaches > 0 {
		r.end(broken)
	}
	r.end(held)
}
