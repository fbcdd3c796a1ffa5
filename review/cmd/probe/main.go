// Probe sends ten requests of each class to a node whose backends answer in one odd way, and prints what the clients get. It is no case:
// it shows what the report says of matters that were left out of the cases.
package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"robindrum/review/rig"
)

// answers are the odd ways to answer, by their names on the command line.
var answers = map[string]func(c net.Conn, a rig.Arrival) bool{
	"nolength": func(c net.Conn, a rig.Arrival) bool { // whole, and ended by the connection's orderly end
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", rig.Answer(a.ID))
		return false
	},
	"endless": func(c net.Conn, _ rig.Arrival) bool { // a chunked answer that never ends
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		part := make([]byte, 8<<10)
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
	},
}

func run() error {
	if len(os.Args) != 3 || answers[os.Args[2]] == nil {
		return fmt.Errorf("two arguments are wanted: the project's root, and nolength or endless")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	var targets []rig.Target
	var backends []*rig.Backend
	for i := range 4 {
		b, err := rig.StartBackend(fmt.Sprintf("s-%d", i), answers[os.Args[2]])
		if err != nil {
			return err
		}
		defer b.Close()
		backends = append(backends, b)
		targets = append(targets, rig.Sapporo(b.Name, b.Addr))
	}
	d, err := rig.StartDiscovery(1, targets)
	if err != nil {
		return err
	}
	defer d.Close()
	n, err := rig.StartNode(os.Args[1], folder, &rig.Config{Name: "n0", Discovery: d.Addr, Nodes: 1, Known: targets, Classes: rig.SeatClasses(), Parallel: true})
	if err != nil {
		return err
	}
	defer n.Kill()
	if err := n.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	for i := range 20 {
		q := rig.SeatMap()
		if i%2 == 1 {
			q = rig.SeatHold()
		}
		c, err := rig.Dial(n.Listen)
		if err != nil {
			return err
		}
		result := c.Do(q, q.Expires+2*time.Second)
		c.Close()
		attempts := 0
		for _, b := range backends {
			for _, a := range b.Arrivals() {
				if a.ID == q.ID {
					attempts++
				}
			}
		}
		fmt.Printf("%s: status %d, %d bytes, the answer made for it: %v, error %v, after %v of %v; attempts: %d\n", q.Class, result.Status, len(result.Body),
			result.Body == rig.Answer(q.ID), result.Err, result.Took.Round(time.Millisecond), q.Expires, attempts)
		time.Sleep(time.Second) // ejected backends return
	}
	return nil
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
