package fleet

import (
	"testing"
	"time"
)

func TestRetryDue(t *testing.T) {
	const (
		rolledBackAt = 100 * time.Second
		pause        = 20 * time.Second
		retryAt      = rolledBackAt + pause
	)
	tests := []struct {
		name              string
		retryAt           time.Duration
		now               time.Duration
		releaseInProgress bool
		leaderHeardAt     time.Duration
		want              bool
	}{
		{"nothing rolled back", 0, retryAt, false, retryAt, false},
		{"pause not over", retryAt, retryAt - 1, false, rolledBackAt + 1, false},
		{"pause over", retryAt, retryAt, false, rolledBackAt + 1, true},
		{"leader still silent", retryAt, retryAt, false, rolledBackAt, false},
		{"release in progress", retryAt, retryAt, true, rolledBackAt + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &configurer{now: func() time.Duration { return test.now }, retryAt: test.retryAt, retryPause: pause}
			if got := c.retryDue(test.releaseInProgress, test.leaderHeardAt); got != test.want {
				t.Errorf("retryDue(release in progress %v, leader heard from at %v) at %v: got %v, want %v", test.releaseInProgress, test.leaderHeardAt, test.now, got, test.want)
			}
		})
	}
}
