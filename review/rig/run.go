package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxRunTime ends a run that hangs, before the 120 s that a script may take.
const maxRunTime = 110 * time.Second

// Run is one run of a case.
type Run struct {
	*Record
	Trouble bool   // the disruption is wanted
	Root    string // the project's root
	Folder  string // temporary

	mu     sync.Mutex
	nodes  []*Node
	broken []string
	ended  bool
}

// Main runs a case and ends the process: with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run. The
// case's folder, two levels below the project's root, is the only argument. The environment's TROUBLE=0 asks for no disruption.
func Main(run func(r *Run) error) {
	os.Exit(execute(run))
}

func execute(run func(r *Run) error) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "one argument is wanted: the case's folder")
		return 2
	}
	folder, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", Root: filepath.Dir(filepath.Dir(folder))}
	if r.Record, err = NewRecord(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = r.Close() }()
	if r.Folder, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(r.Folder) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- run(r) }()
	select {
	case err = <-result:
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	case <-time.After(maxRunTime):
		err = fmt.Errorf("not over after %v", maxRunTime)
	}
	verdict, code := r.verdict(err)
	r.killNodes() // before the output, whose reader may have left
	fmt.Println(verdict)
	return code
}

// verdict records the result of the run and returns it with the exit code.
func (r *Run) verdict(err error) (verdict string, code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		select {
		case <-n.Exited():
			if err == nil && !n.ended {
				r.broken = append(r.broken, fmt.Sprintf("a node ended by itself: %v", n.err))
			}
		default:
		}
	}
	verdict, code = "the rule held", 0
	switch {
	case len(r.broken) > 0:
		verdict, code = fmt.Sprintf("the rule was broken %d times, first: %s", len(r.broken), r.broken[0]), 1
	case err != nil:
		verdict, code = fmt.Sprintf("could not run: %v", err), 2
	}
	r.Printf("RESULT (trouble %v): %s", r.Trouble, verdict)
	return verdict, code
}

// Broken records a breach of the rule.
func (r *Run) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Printf("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// Node starts a node and waits until it is ready. The node is killed at the end of the run.
func (r *Run) Node(c *Config) (*Node, error) {
	n, err := StartNode(r.Root, r.Folder, c)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	ended := r.ended
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	if ended {
		n.Kill()
		return nil, fmt.Errorf("the run has ended")
	}
	r.Printf("node %s started, process %d, listens at %s", c.Name, n.PID(), n.Listen)
	if err := n.AwaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	r.Printf("node %s is ready", c.Name)
	return n, nil
}

func (r *Run) killNodes() {
	r.mu.Lock()
	nodes := r.nodes
	r.ended = true
	r.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
}
