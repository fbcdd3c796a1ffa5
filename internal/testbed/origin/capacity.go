package origin

import "time"

// Capacity describes the capacity of an origin.
type Capacity struct {
	// Workers is the maximum number of requests served at once. Further requests wait.
	Workers int
	// WarmUp is how long the origin is slower after a Restart.
	WarmUp time.Duration
	// InitialSpeed is the speed at a Restart, as a fraction of the full speed. The speed grows linearly to 1 during WarmUp.
	InitialSpeed float64
}

// loadWindow is the time window over which MaxColdLoad is measured.
const loadWindow = time.Second

// SetCapacity sets the origin's capacity from now on. Requests in flight do not occupy its workers.
func (o *Origin) SetCapacity(c Capacity) {
	workers := make(chan struct{}, c.Workers)
	o.workers.Store(&workers)
	o.capacity.Store(&c)
}

// MaxColdLoad returns the highest load over any second while the origin was warming up, as a multiple of the capacity at the end of that
// second.
func (o *Origin) MaxColdLoad() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.maxColdLoad
}

// speed returns the current speed as a fraction of the full speed. It must be called with mu held.
func (o *Origin) speed(c *Capacity, now time.Time) float64 {
	age := now.Sub(o.restarted)
	if o.restarted.IsZero() || age >= c.WarmUp {
		return 1
	}
	return c.InitialSpeed + (1-c.InitialSpeed)*float64(age)/float64(c.WarmUp)
}

// measureLoad updates maxColdLoad if the origin is warming up. It must be called with mu held.
func (o *Origin) measureLoad(c *Capacity, speed float64, now time.Time) {
	delay := time.Duration(o.delay.Load()).Seconds()
	if speed >= 1 || delay <= 0 {
		return
	}
	requests := 0
	for i := len(o.times) - 1; i >= 0; i-- {
		if now.Sub(o.times[i]) >= loadWindow || !o.times[i].After(o.restarted) {
			break
		}
		requests++
	}
	capacity := float64(c.Workers) / delay * speed
	o.maxColdLoad = max(o.maxColdLoad, float64(requests)/capacity)
}
