package cluster

import (
	"context"
	"sync"
	"time"
)

// observeInterval is the time between two observations of all gateways.
const observeInterval = 100 * time.Millisecond

// ObserveUnavailable counts the gateways that are unavailable by plan ten times a second and records the counts in result, until stop
// is called. budget is the allowed number. stop returns when result is no longer written; it may be called more than once.
func (s *Site) ObserveUnavailable(result *DrainResult, budget int) (stop func()) {
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
			result.violation("%d gateways unavailable by plan: %v", len(unavailable), unavailable)
		}
	}
}

// plannedUnavailable asks all gateways that are up. It returns the gateways that are unavailable by plan, each with the reason.
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

// unavailableReason returns why a gateway is unavailable by plan: the ID of its drain request, or the error of the status request while
// its supervisor restarts it, when it does not answer although it was neither killed nor frozen. It returns an empty string otherwise.
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
