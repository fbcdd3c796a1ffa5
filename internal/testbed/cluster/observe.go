package cluster

import (
	"context"
	"sync"
	"time"
)

// observeInterval is the time between two observations of all gateways.
const observeInterval = 100 * time.Millisecond

// Watch counts in result how many gateways are unavailable by plan, ten times a second, until stop is called. stop waits until
// result is no longer written; it may be called more than once.
func (s *Site) Watch(result *DrainResult, budget int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.observe(ctx, result, budget) })
	return func() {
		cancel()
		running.Wait()
	}
}

func (s *Site) observe(ctx context.Context, result *DrainResult, budget int) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		unavailable := s.plannedUnavailable()
		result.Observations++
		result.MaxUnavailable = max(result.MaxUnavailable, len(unavailable))
		if len(unavailable) > budget {
			result.OverBudget++
			result.violation("%d gateways are out by order: %v", len(unavailable), unavailable)
		}
	}
}

// plannedUnavailable asks all gateways that are up, and returns why those that are unavailable by plan are.
func (s *Site) plannedUnavailable() map[string]string {
	var mu sync.Mutex
	unavailable := map[string]string{}
	var all sync.WaitGroup
	for _, n := range s.Nodes {
		if !n.Up() {
			continue
		}
		all.Go(func() {
			reason := s.unavailableReason(n)
			if reason == "" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unavailable[n.Name] = reason
		})
	}
	all.Wait()
	return unavailable
}

// unavailableReason returns why a gateway is unavailable by plan: it is drained, or its supervisor restarts it, so that it does
// not answer though it was neither killed nor frozen. It is empty for all others.
func (s *Site) unavailableReason(n *Node) string {
	epoch := n.Epoch()
	status, err := n.Status()
	if err == nil {
		return status.DrainID
	}
	supervised := len(s.options.Versions) > 0
	if supervised && n.Up() && n.Epoch() == epoch {
		return err.Error()
	}
	return ""
}
