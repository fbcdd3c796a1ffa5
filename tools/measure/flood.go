package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"robindrum/internal/testbed/controlplane"
)

const (
	floodUpdates  = 2000
	floodInterval = 5 * time.Millisecond
)

// measureFlood pushes 200 updates a second for 10 s and prints what they cost and how soon the last one is in use.
func measureFlood() error {
	printMachine()
	for _, each := range []int{10, 1000} {
		if err := measureFloodOf(each); err != nil {
			return err
		}
	}
	return nil
}

// measureFloodOf measures a flood of endpoint lists of one length.
func measureFloodOf(endpoints int) error {
	plane, err := controlplane.Start("")
	if err != nil {
		return err
	}
	defer plane.Stop()
	configuration := fmt.Sprintf("listeners: [{name: web, address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\nxds: {servers: [%q], node: {id: m}}\nclusters: [{name: c, xds: {}}]\nroutes: [{match: {prefix: /}, cluster: c}]\n", plane.Addr)
	p, err := startProcess(childRobindrum, configuration)
	if err != nil {
		return err
	}
	defer p.stop()
	if _, err := plane.Push("first", false, floodAssignment(0, endpoints)); err != nil {
		return err
	}
	if err := await("the first list", func() bool { return p.endpointVersion() == "first" }); err != nil {
		return err
	}
	before, resident := p.usage()
	began := time.Now()
	maxResident, err := pushFlood(plane, p, endpoints, began)
	if err != nil {
		return err
	}
	took := time.Since(began)
	lastVersion := strconv.Itoa(floodUpdates - 1)
	if err := await("the last update", func() bool { return p.endpointVersion() == lastVersion }); err != nil {
		return err
	}
	late := time.Since(began) - took
	after, _ := p.usage()
	fmt.Printf("%d endpoints: %d updates in %v, the last in use %v after it was sent; resident %.1f MiB, at most %.1f; %v of CPU an update\n", endpoints, floodUpdates,
		took.Round(time.Millisecond), late.Round(time.Millisecond), float64(resident)/(1<<20), float64(max(resident, maxResident))/(1<<20), ((after - before) / floodUpdates).Round(time.Microsecond))
	return nil
}

// pushFlood pushes the updates at their times and returns the most resident memory in bytes that it saw.
func pushFlood(plane *controlplane.Server, p *process, endpoints int, began time.Time) (maxResident int64, err error) {
	const usageEvery = 50 // updates
	for i := range floodUpdates {
		if _, err := plane.Push(strconv.Itoa(i), false, floodAssignment(i, endpoints)); err != nil {
			return 0, err
		}
		if i%usageEvery == 0 {
			_, resident := p.usage()
			maxResident = max(maxResident, resident)
		}
		next := began.Add(time.Duration(i+1) * floodInterval)
		time.Sleep(time.Until(next))
	}
	return maxResident, nil
}

// floodAssignment is the endpoint list of an update; each update changes another endpoint's weight.
func floodAssignment(update, length int) controlplane.Resource {
	endpoints := make([]controlplane.Endpoint, length)
	for j := range endpoints {
		endpoints[j] = controlplane.Endpoint{Addr: wideAddress(j), Zone: fmt.Sprint("z", j%3)}
	}
	endpoints[update%length].Weight = uint32(update + 2)
	return controlplane.Resource{Name: "c", Body: controlplane.Assignment("c", endpoints...)}
}

// endpointVersion is the version of the cluster's endpoint list by the gateway's status page; "" if it has none.
func (p *process) endpointVersion() string {
	status, _ := p.adminPage("/status?endpoints=1")
	_, source, _ := strings.Cut(status, `"service": "c",`)
	_, version, _ := strings.Cut(source, `"version": "`)
	version, _, _ = strings.Cut(version, `"`)
	return version
}
