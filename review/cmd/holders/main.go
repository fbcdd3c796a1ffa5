// Holders runs three gateways as a fleet with one leader-only task, a post every 100 ms, and freezes, kills and restarts them at random. It
// checks that no token comes from two processes and that no accepted post has a lower token than one before it. It is no case.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"robindrum/review/rig"
)

var (
	mu       sync.Mutex
	start    = time.Now()
	highest  uint64
	accepted int
	stale    int
	holders  = map[uint64]string{} // member and process by token
	lastBy   string
	acts     []time.Time
)

func receive(w http.ResponseWriter, r *http.Request) {
	token, _ := strconv.ParseUint(r.Header.Get("Robindrum-Token"), 10, 64)
	member := r.Header.Get("Robindrum-Member")
	mu.Lock()
	defer mu.Unlock()
	if h, ok := holders[token]; ok && h != member {
		fmt.Printf("%8.3f BROKEN token %d from %s and %s\n", time.Since(start).Seconds(), token, h, member)
	}
	holders[token] = member
	if token < highest {
		stale++
		w.WriteHeader(http.StatusConflict)
		return
	}
	if token == 0 {
		fmt.Println("BROKEN token 0")
	}
	highest = token
	accepted++
	lastBy = member
	acts = append(acts, time.Now())
}

type process struct {
	name, path string
	cmd        *exec.Cmd
}

func (p *process) start(root, folder string) {
	log, err := os.OpenFile(filepath.Join(folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	p.cmd = exec.Command(filepath.Join(root, "bin", "robindrum"), "serve", "-c", p.path)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = folder, log, log
	if err := p.cmd.Start(); err != nil {
		panic(err)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func main() {
	root := flag.String("root", ".", "the project's root")
	length := flag.Duration("for", 60*time.Second, "length")
	flag.Parse()
	absolute, err := filepath.Abs(*root)
	if err != nil {
		panic(err)
	}
	folder, err := os.MkdirTemp("", "holders")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(receive)) }()
	var addresses []string
	for range 3 {
		a, err := rig.FreeAddress()
		if err != nil {
			panic(err)
		}
		addresses = append(addresses, a)
	}
	voters := ""
	for i, a := range addresses {
		voters += fmt.Sprintf("      - {name: gw-%d, address: %q}\n", i, a)
	}
	var all []*process
	for i, a := range addresses {
		listen, err := rig.FreeAddress()
		if err != nil {
			panic(err)
		}
		p := &process{name: fmt.Sprintf("gw-%d", i), path: filepath.Join(folder, fmt.Sprintf("gw-%d.yaml", i))}
		text := fmt.Sprintf(`listeners: [{name: web, address: %q}]
admin: {address: "127.0.0.1:0"}
clusters: [{name: origin, endpoints: [{address: %q}]}]
routes: [{match: {prefix: /}, cluster: origin}]
fleet:
  name: tickets
  member: %s
  site: sapporo
  address: %s
  seeds: [%q, %q, %q]
  lease: 2s
  quorum:
    folder: votes-%d
    heartbeat: 200ms
    voters:
%s  posts: [{name: cleanup, url: "http://%s/cleanup", every: 100ms}]
`, listen, l.Addr().String(), p.name, a, addresses[0], addresses[1], addresses[2], i, voters, l.Addr().String())
		if err := os.WriteFile(p.path, []byte(text), 0o600); err != nil {
			panic(err)
		}
		p.start(absolute, folder)
		all = append(all, p)
	}
	defer func() {
		for _, p := range all {
			p.kill()
		}
	}()
	time.Sleep(6 * time.Second)
	end := time.Now().Add(*length)
	for time.Now().Before(end) {
		mu.Lock()
		holder := lastBy
		mu.Unlock()
		p := all[rand.IntN(len(all))]
		if rand.IntN(2) == 0 {
			for _, q := range all {
				if q.name == holder {
					p = q
				}
			}
		}
		switch rand.IntN(4) {
		case 0, 1:
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		case 2:
			p.kill()
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			p.start(absolute, folder)
		case 3:
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			_ = p.cmd.Wait()
			p.start(absolute, folder)
		}
		time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	var longest time.Duration
	for i := 1; i < len(acts); i++ {
		longest = max(longest, acts[i].Sub(acts[i-1]))
	}
	fmt.Printf("%d posts accepted, %d with a stale token, %d tokens, longest time without a post %v\n", accepted, stale, len(holders), longest.Round(time.Millisecond))
	for _, p := range all {
		text, _ := os.ReadFile(filepath.Join(folder, p.name+".log"))
		if accepted == 0 {
			fmt.Println(p.name, string(text[:min(len(text), 800)]))
		}
	}
}
