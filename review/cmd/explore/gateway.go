package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"robindrum/review/rig"
)

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	listen, path string
	cmd          *exec.Cmd
	generation   int
}

// write writes the gateway's file with the given endpoints. Each generation has another limit of attempts, so that a reload replaces the
// cluster's core.
func (g *gatewayProcess) write(targets []rig.Target) {
	g.generation++
	var b strings.Builder
	fmt.Fprintf(&b, "zone: sapporo\nlisteners: [{name: web, address: %q}]\nadmin: {address: \"127.0.0.1:0\"}\n", g.listen)
	fmt.Fprintf(&b, `limits: {descriptors: %d, memory: 64MiB, requests: 4096, drain: 10s}
classes:
  - {name: seat-map, wanted: 300ms, deadline: 2s, worth: 1, effect: safe}
  - {name: seat-hold, wanted: 150ms, deadline: 1500ms, worth: 5, effect: keyed, group: cell, window: 1s}
  - {name: pay, wanted: 300ms, deadline: 1s, worth: 1, effect: unsafe}
routes:
  - {name: hold, match: {prefix: /seat-hold}, cluster: seats, class: seat-hold, key: {header: Idempotency-Key}}
  - {name: pay, match: {prefix: /pay}, cluster: seats, class: pay}
  - {name: rest, match: {prefix: /}, cluster: seats, class: seat-map}
clusters:
  - name: seats
    attempts: %d
    endpoints:
`, *sockets, 4+g.generation%2)
	for _, t := range targets {
		fmt.Fprintf(&b, "      - {address: %q, zone: sapporo, cell: %d}\n", t.Endpoint, t.PodGroup)
	}
	if err := os.WriteFile(g.path+".new", []byte(b.String()), 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(g.path+".new", g.path); err != nil {
		panic(err)
	}
}

func (g *gatewayProcess) start(root, folder string) {
	log, err := os.Create(filepath.Join(folder, "gateway.log"))
	if err != nil {
		panic(err)
	}
	g.cmd = exec.Command(filepath.Join(root, "bin", "robindrum"), "serve", "-c", g.path)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		panic(err)
	}
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		if c, err := net.Dial("tcp", g.listen); err == nil {
			c.Close()
			return
		}
	}
	text, _ := os.ReadFile(log.Name())
	panic("the gateway does not listen: " + string(text))
}

func (g *gatewayProcess) kill() {
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
}

// reloads replaces an endpoint every two seconds, by SIGHUP with a new file.
func (g *gatewayProcess) reloads(end time.Time, add func(i int) rig.Target, targets []rig.Target) {
	go func() {
		for i := 100; time.Now().Before(end); i++ {
			time.Sleep(2 * time.Second)
			k := i % len(targets)
			mu.Lock()
			draining[targets[k].UID] = time.Now().Add(time.Second)
			mu.Unlock()
			next := append([]rig.Target(nil), targets[:k]...)
			targets = append(append(next, targets[k+1:]...), add(i))
			g.write(targets)
			_ = g.cmd.Process.Signal(syscall.SIGHUP)
		}
	}()
}
