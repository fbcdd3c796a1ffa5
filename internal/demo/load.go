package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout    = 5 * time.Second
	requestTimeout = 10 * time.Second
	maxConnections = 1024
	// requestCycle is the number of requests after which the sequence of classes repeats: one payment, five holds, then reads.
	requestCycle  = 20
	holdsPerCycle = 5
	// mapPaths is the number of paths that reads use.
	mapPaths = 100
)

// loadCounts counts requests by result.
type loadCounts struct {
	sent     atomic.Int64
	served   atomic.Int64
	rejected atomic.Int64
	failed   atomic.Int64
	lost     atomic.Int64 // without a response
}

// requestClass is the class of a request, an index of overloadClasses.
type requestClass int

const (
	readClass requestClass = iota
	holdClass
	payClass
)

// classOf returns the class of the request with the given number.
func classOf(number int) requestClass {
	position := number % requestCycle
	switch {
	case position == 0:
		return payClass
	case position <= holdsPerCycle:
		return holdClass
	}
	return readClass
}

// load sends requests at the rate of the scene, without waiting for responses. It returns when all requests have ended.
func (r *run) load(ctx context.Context) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	base := "http://" + r.gateway.Addr("web").String()
	var requests sync.WaitGroup
	defer requests.Wait()
	number := 0
	gap := 0.0 // seconds
	// Sums of gaps are inexact: the load ends half a gap early, so that rounding does not add a request.
	for seconds := 0.0; seconds+gap/2 < r.options.Duration.Seconds(); seconds += gap {
		at := time.Duration(seconds * float64(time.Second))
		gap = 1 / r.rate(at)
		if !sleepUntil(ctx, r.began.Add(at)) {
			return
		}
		current := number
		requests.Go(func() { r.send(client, base, current) })
		number++
	}
}

// sleepUntil blocks until the given time and returns true, or returns false if ctx ends first. If the time has passed, it returns true
// without checking ctx.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// send sends the request with the given number and counts its result.
func (r *run) send(client *http.Client, base string, number int) {
	request, err := newRequest(base, number)
	if err != nil {
		r.counts.lost.Add(1)
		return
	}
	r.counts.sent.Add(1)
	began := time.Now()
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if err != nil {
		r.counts.lost.Add(1)
		return
	}
	r.countOverload(classOf(number), began, response.StatusCode)
	switch response.StatusCode {
	case http.StatusOK:
		r.counts.served.Add(1)
	case http.StatusServiceUnavailable:
		r.counts.rejected.Add(1)
	default:
		r.counts.failed.Add(1)
	}
}

func newRequest(base string, number int) (*http.Request, error) {
	method, path, body := http.MethodGet, fmt.Sprintf("/maps/%d", rand.IntN(mapPaths)), ""
	class := classOf(number)
	switch class {
	case payClass:
		method, path, body = http.MethodPost, "/pay", "pay"
	case holdClass:
		method, path, body = http.MethodPost, fmt.Sprintf("/holds/%d", number), "hold"
	}
	request, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-Id", fmt.Sprint("try-", number))
	if class == holdClass {
		request.Header.Set("Idempotency-Key", fmt.Sprint("key-", number))
	}
	return request, nil
}
