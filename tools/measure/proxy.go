package main

import (
	"fmt"
	"os"
	"slices"
)

// proxyConnections is the number of connections that the load uses to a measured proxy.
const proxyConnections = 32

// proxyKind is a kind of measured proxy with the arguments of its process.
type proxyKind struct {
	name string
	args []string
}

// proxyFigure holds the results of one round with a proxy.
type proxyFigure struct {
	rate     float64 // requests per second
	cpu      float64 // microseconds per request
	rejected int64
}

// measureProxy compares the gateway, the platform's node and httputil.ReverseProxy. Each round measures them one after another.
func measureProxy(requests, rounds int) error {
	printMachine()
	var origins []string
	for range 2 {
		listener, err := startFixedResponder()
		if err != nil {
			return err
		}
		defer listener.Close()
		origins = append(origins, listener.Addr().String())
	}
	configuration := fmt.Sprintf("listeners: [{name: web, address: '127.0.0.1:0'}]\nadmin: {address: none}\nclusters: [{name: c, endpoints: [{address: %q}, {address: %q}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n",
		origins[0], origins[1])
	kinds := []proxyKind{
		{childRobindrum, []string{configuration}},
		{childNode, origins},
		{childReverse, origins[:1]},
	}
	figures := map[string][]proxyFigure{}
	for round := range rounds {
		for _, kind := range kinds {
			figure, err := measureProxyRound(kind, requests)
			if err != nil {
				return fmt.Errorf("%s: %w", kind.name, err)
			}
			figures[kind.name] = append(figures[kind.name], figure)
		}
		fmt.Fprintf(os.Stderr, "round %d of %d\n", round+1, rounds)
	}
	fmt.Printf("%d rounds of %d requests over %d connections, alternating between proxies; medians (minimum to maximum)\n", rounds, requests, proxyConnections)
	for _, kind := range kinds {
		printProxyFigures(kind.name, figures[kind.name])
	}
	return nil
}

// measureProxyRound starts a proxy, warms it up with a tenth as many requests and then measures it under all requests.
func measureProxyRound(kind proxyKind, requests int) (proxyFigure, error) {
	p, err := startProcess(kind.name, kind.args...)
	if err != nil {
		return proxyFigure{}, err
	}
	defer p.stop()
	if _, _, err := drive(p.addr[0], requests/10+1, proxyConnections); err != nil {
		return proxyFigure{}, err
	}
	before, _ := p.usage()
	took, rejected, err := drive(p.addr[0], requests, proxyConnections)
	if err != nil {
		return proxyFigure{}, err
	}
	after, _ := p.usage()
	return proxyFigure{
		rate:     float64(requests) / took.Seconds(),
		cpu:      float64((after - before).Microseconds()) / float64(requests),
		rejected: rejected,
	}, nil
}

func printProxyFigures(name string, figures []proxyFigure) {
	var rates, costs []float64
	var rejected int64
	for _, figure := range figures {
		rates = append(rates, figure.rate)
		costs = append(costs, figure.cpu)
		rejected += figure.rejected
	}
	fmt.Printf("%-11s %7.0f requests/s (%.0f to %.0f)  %6.1f us CPU per request (%.1f to %.1f)  %d rejected and sent again\n",
		name, median(rates), slices.Min(rates), slices.Max(rates), median(costs), slices.Min(costs), slices.Max(costs), rejected)
}
