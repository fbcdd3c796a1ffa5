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

// measureFlood pushes 200 updates per second for 10 s and prints their cost in CPU and memory and the delay of the last update.
func measureFlood() error {
	printMachine()
	for _, each := range []int{10, 1000} {
		if err := measureFloodOf(each); err != nil {
			return err
		}
	}
	return nil
}

// measureFloodOf measures updates of an endpoint list with a given number of endpoints.
func measureFloodOf(endpoints int) error {
	plane, err := controlplane.Start("")
	if err != nil {
		return err
	}
	defer plane.Stop()
	configuration := fmt.Sprintf("listeners: [{name: web, address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\nxds: {servers: [%q], node: {id: m}}\nclusters: [{name: c, xds: {}}]\nroutes: [{match: {prefix: /}, cluster: c}]\n", plane.Addr)
	gateway, err := startProcess(childRobindrum, configuration)
	if err != nil {
		return err
	}
	defer gateway.stop()
	if _, err := plane.Push("first", false, floodAssignment(0, endpoints)); err != nil {
		return err
	}
	if err := await("the first endpoint list", func() bool { return gateway.endpointVersion() == "first" }); err != nil {
		return err
	}
	cpuBefore, resident := gateway.usage()
	began := time.Now()
	maxResident, err := pushFlood(plane, gateway, endpoints, began)
	if err != nil {
		return err
	}
	pushTime := time.Since(began)
	lastVersion := strconv.Itoa(floodUpdates - 1)
	if err := await("the last update", func() bool { return gateway.endpointVersion() == lastVersion }); err != nil {
		return err
	}
	lag := time.Since(began) - pushTime
	cpuAfter, _ := gateway.usage()
	fmt.Printf("%d endpoints: %d updates in %v, the last in use %v after it was sent; resident %.1f MiB, at most %.1f; %v of CPU per update\n", endpoints, floodUpdates,
		pushTime.Round(time.Millisecond), lag.Round(time.Millisecond), float64(resident)/(1<<20), float64(max(resident, maxResident))/(1<<20), ((cpuAfter - cpuBefore) / floodUpdates).Round(time.Microsecond))
	return nil
}

// pushFlood pushes an update every floodInterval and returns the highest resident memory in bytes that was observed.
func pushFlood(plane *controlplane.Server, gateway *process, endpoints int, began time.Time) (maxResident int64, err error) {
	const usageInterval = 50 // updates
	for i := range floodUpdates {
		if _, err := plane.Push(strconv.Itoa(i), false, floodAssignment(i, endpoints)); err != nil {
			return 0, err
		}
		if i%usageInterval == 0 {
			_, resident := gateway.usage()
			maxResident = max(maxResident, resident)
		}
		next := began.Add(time.Duration(i+1) * floodInterval)
		time.Sleep(time.Until(next))
	}
	return maxResident, nil
}

// floodAssignment returns the endpoint list of an update. Consecutive updates change the weight of different endpoints.
func floodAssignment(update, length int) controlplane.Resource {
	endpoints := make([]controlplane.Endpoint, length)
	for i := range endpoints {
		endpoints[i] = controlplane.Endpoint{Addr: wideAddress(i), Zone: fmt.Sprint("z", i%3)}
	}
	endpoints[update%length].Weight = uint32(update + 2)
	return controlplane.Resource{Name: "c", Body: controlplane.Assignment("c", endpoints...)}
}

// endpointVersion returns the version of the endpoint list of cluster c as the status page of the gateway reports it, or "" if there is
// none.
func (p *process) endpointVersion() string {
	status, _ := p.adminPage("/status?endpoints=1")
	_, source, _ := strings.Cut(status, `"service": "c",`)
	_, version, _ := strings.Cut(source, `"version": "`)
	version, _, _ = strings.Cut(version, `"`)
	return version
}
