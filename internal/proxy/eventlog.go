package proxy

import (
	"log/slog"
	"sync"
	"time"
)

// maxEventsPerSecond limits the log messages about single requests, of which an overload would cause thousands.
const maxEventsPerSecond = 20

// eventLog writes log messages about single requests, at most maxEventsPerSecond. Its methods are safe for concurrent use; a nil
// eventLog writes nothing.
type eventLog struct {
	mu       sync.Mutex
	second   time.Time // start of the current second
	messages int       // in the current second
	dropped  uint64    // since the last message
}

// info writes a message, or counts it as dropped. The arguments are those of slog.Info.
func (l *eventLog) info(message string, args ...any) {
	if l == nil {
		return
	}
	dropped, ok := l.allow(time.Now())
	if !ok {
		return
	}
	if dropped > 0 {
		args = append(args, "messages_dropped_before", dropped)
	}
	slog.Info(message, args...)
}

// allow reports whether a message may be written at now, and how many were dropped since the last one.
func (l *eventLog) allow(now time.Time) (dropped uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second = now
		l.messages = 0
	}
	if l.messages == maxEventsPerSecond {
		l.dropped++
		return 0, false
	}
	l.messages++
	dropped = l.dropped
	l.dropped = 0
	return dropped, true
}
