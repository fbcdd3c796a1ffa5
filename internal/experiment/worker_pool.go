package experiment

import (
	"slices"
	"time"
)

// workerPool is the workers of one start of a loopback server and the requests that wait for one. Its methods are called with the
// server's lock held, so that a request never occupies a place in the queue while a worker is idle.
type workerPool struct {
	idleSince []time.Duration      // of each idle worker, so that late wake-ups cost no capacity
	waiters   []chan time.Duration // in order of arrival; each has a buffer of one
}

// acquire returns the channel on which the caller receives a worker, as the time since which that worker is idle. It receives one at
// once if a worker is idle, and after the earlier waiters otherwise.
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

// release returns a worker that is idle since a time to the pool, or hands it to the longest waiter.
func (w *workerPool) release(since time.Duration) {
	if len(w.waiters) == 0 {
		w.idleSince = append(w.idleSince, since)
		return
	}
	w.waiters[0] <- since
	w.waiters = w.waiters[1:]
}

// abandon withdraws an acquire. A worker that was received meanwhile is released.
func (w *workerPool) abandon(worker chan time.Duration) {
	if i := slices.Index(w.waiters, worker); i >= 0 {
		w.waiters = slices.Delete(w.waiters, i, i+1)
		return
	}
	w.release(<-worker)
}
