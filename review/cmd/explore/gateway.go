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

// rerouted shows what becomes of a client's time if a reload replaces the cluster's core while the request's body is still coming: the
// client sends half of a request that may take 300 ms, the gateway gets SIGHUP with a new file, and the rest follows. The only endpoint
// never answers.
func rerouted(root, folder string) error {
	told := make(chan string, 9)
	b, err := rig.StartBackend("s-0", func(c net.Conn, a rig.Arrival) bool {
		told <- a.Expires
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	if err != nil {
		return err
	}
	listen, err := rig.FreeAddress()
	if err != nil {
		return err
	}
	g := &gatewayProcess{listen: listen, path: filepath.Join(folder, "gateway.yaml")}
	targets := []rig.Target{rig.Sapporo("s-0", b.Addr)}
	g.write(targets)
	g.start(root, folder)
	defer g.kill()
	for _, reload := range []bool{false, true} {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Expires-In-Ms: 300\r\nContent-Length: 10\r\n\r\nhalf"); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		if reload {
			g.write(targets)
			_ = g.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(500 * time.Millisecond)
		}
		sent := time.Now()
		if _, err := fmt.Fprint(c, "andhal"); err != nil {
			return err
		}
		head := make([]byte, 12)
		_, err = c.Read(head)
		fmt.Printf("reload %v: the endpoint was told %s ms of 300, the answer %q (error %v) came after %v\n", reload, <-told, head, err, time.Since(sent).Round(time.Millisecond))
		c.Close()
	}
	return nil
}
