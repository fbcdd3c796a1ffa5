package experiment

import (
	"slices"
	"time"
)

// workerPool holds the idle workers of a loopback server and the requests that wait for a worker. Each start of the server creates a
// new pool. Its methods are called with the server's lock held, so that no request is queued while a worker is idle.
type workerPool struct {
	idleSince []time.Duration      // when each idle worker became idle; its next work may begin at that time, so that a late wake-up of a goroutine costs no capacity
	waiters   []chan time.Duration // in order of arrival; each has a buffer of one
}

// acquire returns the channel on which the caller receives a worker, represented by the time since which the worker has been idle. If no
// worker is idle, the caller has to wait until the earlier waiters have received theirs.
func (w *workerPool) acquire() chan time.Duration {
	worker := make(chan time.Duration, 1)
	if len(w.idleSince) == 0 {
		w.waiters = append(w.waiters, worker)
		return worker
	}
	worker <- w.idleSince[0]
	w.idleSince = w.idleSince[1:]
	return worker
}

// release returns a worker, idle since the given time, to the pool, or passes it to the request that has waited longest.
func (w *workerPool) release(since time.Duration) {
	if len(w.waiters) == 0 {
		w.idleSince = append(w.idleSince, since)
		return
	}
	w.waiters[0] <- since
	w.waiters = w.waiters[1:]
}

// abandon cancels an acquire. If the channel has already received a worker, abandon releases that worker.
func (w *workerPool) abandon(worker chan time.Duration) {
	if i := slices.Index(w.waiters, worker); i >= 0 {
		w.waiters = slices.Delete(w.waiters, i, i+1)
		return
	}
	w.release(<-worker)
}
