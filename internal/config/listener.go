package config

import (
	"fmt"
	"net"
	"strconv"
)

// Gateway identifies this gateway among the gateways in front of the same servers.
type Gateway struct {
	Index int `yaml:"number"` // from 0 to Count - 1
	Count int `yaml:"of"`     // number of gateways, including this one
}

// Listener is an address at which the gateway accepts HTTP/1.1 connections from clients.
type Listener struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Admin configures the listener for operators, which has no access control.
type Admin struct {
	Address     string `yaml:"address"` // "none": no listener
	AllowRemote bool   `yaml:"remote"`  // allow an address that is not on loopback, although the listener has no access control
}

// Log configures the log output.
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
		d.errorAt("gateway", "number must be from 0 to of-1, got number %d of %d", g.Index, g.Count)
	}
}

func (f *File) checkLog(d *decoder) {
	switch f.Log.Format {
	case "text", "json":
	default:
		d.errorAt("log.format", "must be text or json, got %q", f.Log.Format)
	}
	switch f.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		d.errorAt("log.level", "must be debug, info, warn or error, got %q", f.Log.Level)
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
		d.errorAt("admin.address", "%s is not a loopback address: the admin listener has no access control; set admin.remote: true to allow it", address)
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
		d.errorAt(field, "must be host:port, got %q", address)
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 && !allowZeroPort {
		d.errorAt(field, "invalid port %q", port)
		return false
	}
	return true
}
