package gateway

import (
	"fmt"
	"net"

	"robindrum/internal/config"
)

// listener is an open listener and its address in the configuration.
type listener struct {
	net.Listener
	configuredAddress string
}

// openListeners opens the new listeners of a configuration, and returns them by name. A listener whose name and configured
// address are unchanged stays open.
func (g *Gateway) openListeners(f *config.File) (map[string]*listener, error) {
	opened := map[string]*listener{}
	for _, c := range f.Listeners {
		current := g.listeners[c.Name]
		if current != nil && current.configuredAddress == c.Address {
			continue
		}
		l, err := net.Listen("tcp", c.Address)
		if err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("listener %q: %w", c.Name, err)
		}
		opened[c.Name] = &listener{Listener: l, configuredAddress: c.Address}
	}
	return opened, nil
}

func closeListeners(listeners map[string]*listener) {
	for _, l := range listeners {
		l.Close()
	}
}

// replaceListeners closes the listeners that are replaced or no longer in the configuration, and serves the opened ones.
func (g *Gateway) replaceListeners(f *config.File, opened map[string]*listener) {
	configured := map[string]bool{}
	for _, c := range f.Listeners {
		configured[c.Name] = true
	}
	for name, l := range g.listeners {
		if !configured[name] || opened[name] != nil {
			l.Close()
			delete(g.listeners, name)
		}
	}
	for name, l := range opened {
		g.listeners[name] = l
		g.background.Go(func() { g.front.ServeAs(name, l) })
	}
}
