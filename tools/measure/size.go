package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"robindrum/internal/testbed/controlplane"
)

const (
	sizeChanges    = 100 // of clusters
	sizeIdle       = 3 * time.Second
	ackTimeout     = 60 * time.Second
	hostsPerSubnet = 250 // addresses in use of each simulated /24 network
)

// measureSizes measures memory and CPU by the number of clusters and endpoints.
func measureSizes() error {
	printMachine()
	fmt.Println("clusters  endpoints  resident MiB   CPU at startup  CPU per changed cluster  CPU per second idle")
	for _, size := range []struct{ clusters, each int }{{10, 10}, {100, 10}, {1000, 10}, {1, 10000}} {
		if err := measureSize(size.clusters, size.each); err != nil {
			return err
		}
	}
	return nil
}

// measureSize starts a gateway that gets all clusters by xDS, changes one cluster after another and prints a line of the table.
func measureSize(clusters, each int) error {
	plane, err := controlplane.Start("")
	if err != nil {
		return err
	}
	defer plane.Stop()
	configuration := fmt.Sprintf("listeners: [{name: web, address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\nxds: {servers: [%q], variant: delta, node: {id: m}, clusters: true, message: 64MiB}\nclusters: []\nroutes: [{match: {prefix: /}, cluster: c0}]\n", plane.Addr)
	gateway, err := startProcess(childRobindrum, configuration)
	if err != nil {
		return err
	}
	defer gateway.stop()
	var resources []controlplane.Resource
	for i := range clusters {
		name := fmt.Sprint("c", i)
		resources = append(resources, controlplane.Resource{Name: name, Body: controlplane.Cluster(name, "")}, sizeAssignment(i, each, 1))
	}
	if _, err := plane.Push("1", false, resources...); err != nil {
		return err
	}
	if err := awaitAcks(context.Background(), plane, 0); err != nil {
		return err
	}
	if err := gateway.awaitEndpoints(clusters, each); err != nil {
		return err
	}
	cpuStarted, resident := gateway.usage()
	for i := range sizeChanges {
		seen := len(plane.Requests())
		if _, err := plane.Push(fmt.Sprint("v", i), false, sizeAssignment(i%clusters, each, 2+i)); err != nil {
			return err
		}
		if err := awaitAcks(context.Background(), plane, seen); err != nil {
			return err
		}
	}
	cpuChanged, _ := gateway.usage()
	time.Sleep(sizeIdle)
	cpuIdle, _ := gateway.usage()
	fmt.Printf("%8d  %9d  %12.1f  %15v  %23v  %19v\n", clusters, clusters*each, float64(resident)/(1<<20), cpuStarted,
		((cpuChanged - cpuStarted) / sizeChanges).Round(10*time.Microsecond),
		((cpuIdle - cpuChanged) / (sizeIdle / time.Second)).Round(time.Millisecond))
	return nil
}

// sizeAssignment returns the endpoint list of a cluster; the weight of the first endpoint is higher by 1 than that of the others.
func sizeAssignment(cluster, each, weight int) controlplane.Resource {
	name := fmt.Sprint("c", cluster)
	endpoints := make([]controlplane.Endpoint, each)
	for i := range endpoints {
		address := fmt.Sprintf("127.%d.%d.%d:80", 1+cluster/hostsPerSubnet, cluster%hostsPerSubnet, 1+i%hostsPerSubnet)
		if each > hostsPerSubnet {
			address = wideAddress(i)
		}
		endpoints[i] = controlplane.Endpoint{Addr: address, Zone: fmt.Sprint("z", i%3), Weight: uint32(weight)}
	}
	endpoints[0].Weight = uint32(weight) + 1
	return controlplane.Resource{Name: name, Body: controlplane.Assignment(name, endpoints...)}
}

// wideAddress returns the address of an endpoint of a cluster that spans several simulated subnets.
func wideAddress(endpoint int) string {
	return fmt.Sprintf("127.1.%d.%d:80", endpoint/hostsPerSubnet, 1+endpoint%hostsPerSubnet)
}

// awaitAcks waits until the gateway has acknowledged an endpoint list with a request at index from or later: from then on, the gateway
// uses that list.
func awaitAcks(ctx context.Context, plane *controlplane.Server, from int) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	_, _, err := plane.Await(ctx, from, func(request controlplane.Request) bool {
		return strings.HasSuffix(request.Type(), "ClusterLoadAssignment") && request.Nonce() != ""
	})
	return err
}
