package demo

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"robindrum/internal/gateway"
)

// loss is the story of a zone that goes dark and comes back.
func (p *play) loss() []scene {
	zone := p.servers[:3]
	return []scene{
		{0, "the load begins; the gateway stands in sapporo and serves there", nil},
		{0.15, "sapporo goes dark: its three servers die, and nobody says so", func() error {
			for _, s := range zone {
				s.Kill()
			}
			return nil
		}},
		{0.4, "sapporo is back, all cold: taken from the list and put on it again", func() error {
			for _, s := range zone {
				if err := s.Restart(); err != nil {
					return err
				}
				s.listed = false
			}
			if err := p.push(); err != nil {
				return err
			}
			for _, s := range zone {
				s.listed = true
			}
			return p.push()
		}},
	}
}

// zones says how the zones stand.
func zones(s gateway.Status) string {
	var b strings.Builder
	for _, c := range s.Clusters {
		for _, z := range c.Zones {
			fmt.Fprintf(&b, " | %s %s, share %.2f, %d in flight", z.Zone, z.State, z.Share, z.InFlight)
		}
	}
	return b.String()
}

// listener hands on what the gateway's log says of zones. The gateway logs it while it decides, so nothing may be asked
// of it here.
type listener struct {
	slog.Handler
	news chan<- string
}

func (l *listener) Enabled(context.Context, slog.Level) bool { return true }

func (l *listener) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == "zone" {
		m := map[string]string{}
		r.Attrs(func(a slog.Attr) bool { m[a.Key] = a.Value.String(); return true })
		select {
		case l.news <- fmt.Sprintf("    %s: %s to %s (%s)", m["zone"], m["from"], m["to"], m["evidence"]):
		default: // there is more of it than anyone can read
		}
	}
	if strings.HasPrefix(r.Message, "cluster ") {
		text := "    " + r.Message
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "evidence" {
				text += ": " + a.Value.String()
			}
			return true
		})
		select {
		case l.news <- text:
		default:
		}
	}
	if !l.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}
