package proxy

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestEventLogLimitsMessagesAndCountsDroppedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l eventLog
		for range maxEventsPerSecond {
			if dropped, ok := l.allow(time.Now()); !ok || dropped != 0 {
				t.Fatalf("allow = %d, %t, want 0, true within the limit", dropped, ok)
			}
		}
		for range 7 {
			if _, ok := l.allow(time.Now()); ok {
				t.Fatal("allow = true over the limit")
			}
		}
		time.Sleep(time.Second)
		if dropped, ok := l.allow(time.Now()); !ok || dropped != 7 {
			t.Errorf("allow = %d, %t in the next second, want 7, true", dropped, ok)
		}
		if dropped, ok := l.allow(time.Now()); !ok || dropped != 0 {
			t.Errorf("allow = %d, %t after that, want 0, true", dropped, ok)
		}
	})
}
