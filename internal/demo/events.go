package demo

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
)

// eventHandler sends descriptions of the log records about zones and clusters to a channel. The gateway writes these records during its
// decisions, so the handler must not call methods of the gateway. It does not block: if the channel is full, the event is dropped.
type eventHandler struct {
	slog.Handler
	events chan<- string
}

// Enabled returns true for all levels, because events are sent at any log level.
func (h *eventHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle sends the event of a record, if there is one. It passes the record to the wrapped handler if that one is enabled.
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

// describeEvent returns the description of a record about a zone or a cluster. ok is false for other records.
func describeEvent(record slog.Record) (text string, ok bool) {
	attributes := map[string]string{}
	record.Attrs(func(attribute slog.Attr) bool {
		attributes[attribute.Key] = attribute.Value.String()
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
