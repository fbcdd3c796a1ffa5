package admission

import (
	"math"
	"testing"
)

func TestNewRejectsInvalidOptions(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"mode":   func(o *Options) { o.Mode = 9 },
		"limit":  func(o *Options) { o.Limit = -1 },
		"floor":  func(o *Options) { o.Floor = 0.9 },
		"budget": func(o *Options) { o.RetryRatio = math.NaN() },
		"wait":   func(o *Options) { o.MaxWait = -1 },
		"most":   func(o *Options) { o.MaxRequests = -1 },
		"high":   func(o *Options) { o.HighPriority.MaxRetries = -1 },
		"bytes":  func(o *Options) { o.PendingBytes = -1 },
	} {
		o := options()
		change(&o)
		if _, err := New(o, 1); err == nil {
			t.Errorf("New with invalid option %s: got no error", name)
		}
	}
}
