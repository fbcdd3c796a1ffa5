package config

import (
	"fmt"
	"net"
	"strconv"
)

// Gateway identifies this gateway among those in front of the same servers.
type Gateway struct {
	Index int `yaml:"number"` // from 0
	Count int `yaml:"of"`
}

// Listener is an address for clients, over HTTP/1.1.
type Listener struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Admin is the operators' listener.
type Admin struct {
	Address     string `yaml:"address"` // "none": no listener
	AllowRemote bool   `yaml:"remote"`  // allows an address that is not on loopback, although the listener is not protected
}

// Log is the form of log lines.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

func (f *File) checkListeners(d *decoder, names *uniqueNames) {
	if len(f.Listeners) == 0 {
		d.errorAt("listeners", "none is given")
	}
	for i, l := range f.Listeners {
		names.add("listener", fmt.Sprintf("listeners[%d].name", i), l.Name)
		field := fmt.Sprintf("listeners[%d].address", i)
		checkAddress(d, field, l.Address, true)
		if l.Address != "" {
			names.add("address", field, l.Address)
		}
	}
}

func (f *File) checkGateway(d *decoder) {
	g := f.Gateway
	if g.Count < 1 || g.Index < 0 || g.Index >= g.Count {
		d.errorAt("gateway", "number %d of %d: it counts from 0 and is below of", g.Index, g.Count)
	}
}

func (f *File) checkLog(d *decoder) {
	switch f.Log.Format {
	case "text", "json":
	default:
		d.errorAt("log.format", "want text or json, not %q", f.Log.Format)
	}
	switch f.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		d.errorAt("log.level", "want debug, info, warn or error, not %q", f.Log.Level)
	}
}

func (f *File) checkAdmin(d *decoder) {
	address := f.Admin.Address
	if address == "none" || !checkAddress(d, "admin.address", address, true) {
		return
	}
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	onLoopback := host == "localhost" || ip != nil && ip.IsLoopback()
	if !onLoopback && !f.Admin.AllowRemote {
		d.errorAt("admin.address", "%s is not on loopback; what answers there is not protected, say admin.remote: true if that is meant", address)
	}
}

// checkAddress checks a host:port and reports whether it is valid.
func checkAddress(d *decoder, field, address string, allowZeroPort bool) bool {
	if address == "" {
		d.errorAt(field, "is missing")
		return false
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		d.errorAt(field, "%q is not host:port", address)
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 && !allowZeroPort {
		d.errorAt(field, "%q is not a port", port)
		return false
	}
	return true
}
