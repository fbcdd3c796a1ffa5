package demo

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
)

// eventHandler passes on what the gateway logs about zones and clusters. The gateway logs that while it decides, so its methods must not
// be called from here. It does not block: events that nobody receives in time are dropped.
type eventHandler struct {
	slog.Handler
	events chan<- string
}

// Enabled returns true for all levels, as events are passed on whatever is logged.
func (h *eventHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle passes on an event, and logs the record if the handler that it wraps is enabled.
func (h *eventHandler) Handle(ctx context.Context, record slog.Record) error {
	if text, ok := describeEvent(record); ok {
		select {
		case h.events <- text:
		default:
		}
	}
	if !h.Handler.Enabled(ctx, record.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// describeEvent returns the text of a record about a zone or a cluster.
func describeEvent(record slog.Record) (text string, ok bool) {
	attributes := map[string]string{}
	record.Attrs(func(a slog.Attr) bool {
		attributes[a.Key] = a.Value.String()
		return true
	})
	if record.Message == "zone" {
		return fmt.Sprintf("    %s: %s to %s (%s)", attributes["zone"], attributes["from"], attributes["to"], attributes["evidence"]), true
	}
	if !strings.HasPrefix(record.Message, "cluster ") {
		return "", false
	}
	text = "    " + record.Message
	if evidence, ok := attributes["evidence"]; ok {
		text += ": " + evidence
	}
	return text, true
}
