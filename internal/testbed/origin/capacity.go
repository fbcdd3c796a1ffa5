package origin

import "time"

// Capacity limits an origin.
type Capacity struct {
	// Workers is how many requests are served at once; others wait.
	Workers int
	// WarmUp is for how long after a Restart requests take longer.
	WarmUp time.Duration
	// InitialSpeed is the fraction of the full speed at a Restart, which grows linearly to 1 during WarmUp.
	InitialSpeed float64
}

// loadWindow is the time over which MaxColdLoad measures.
const loadWindow = time.Second

// SetCapacity limits the origin from now on. Requests that are being served do not count.
func (o *Origin) SetCapacity(c Capacity) {
	workers := make(chan struct{}, c.Workers)
	o.workers.Store(&workers)
	o.capacity.Store(&c)
}

// MaxColdLoad returns the highest load in any second while the origin was warming up, as a multiple of what it could serve in that
// second.
func (o *Origin) MaxColdLoad() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.maxColdLoad
}

// speed returns the present fraction of the full speed. It must be called with mu held.
func (o *Origin) speed(c *Capacity, now time.Time) float64 {
	age := now.Sub(o.restarted)
	if o.restarted.IsZero() || age >= c.WarmUp {
		return 1
	}
	return c.InitialSpeed + (1-c.InitialSpeed)*float64(age)/float64(c.WarmUp)
}

// measureLoad updates the highest load while the origin is warming up. It must be called with mu held.
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
