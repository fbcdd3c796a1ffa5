package locality

import (
	"testing"
	"time"
)

func TestNewRejectsInvalidOptions(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"factor":    func(o *Options) { o.Overprovision = -1 },
		"panic":     func(o *Options) { o.Panic = 2 },
		"share":     func(o *Options) { o.FirstShare = 2 },
		"tolerance": func(o *Options) { o.Tolerance = 1 },
		"floor":     func(o *Options) { o.Floor = 0.9 },
		"hold":      func(o *Options) { o.Hold, o.MaxHold = time.Minute, time.Second },
		"room":      func(o *Options) { o.FirstRoom = 0.5 },
		"retries":   func(o *Options) { o.RetryShare = 2 },
		"tiers":     func(o *Options) { o.Tiers = [][]string{{"a"}, {"b", "a"}} },
	} {
		o := options()
		change(&o)
		if _, err := New(o, 1); err == nil {
			t.Errorf("New with invalid %s: got no error", name)
		}
	}
}
