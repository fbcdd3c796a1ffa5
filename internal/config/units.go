package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
)

// Duration is a duration that is written with its unit, such as "150ms" or "1m30s". It is not negative.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("must be a duration with a unit, such as 150ms, got %q", text)
	}
	if v < 0 {
		return fmt.Errorf("must not be negative, got %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Size is a number of bytes that is written with its unit, such as "64MiB", "512KiB" or "1024B". It is not negative.
type Size int64

// sizeUnit is a unit in which a Size is written.
type sizeUnit struct {
	name  string
	bytes int64
}

// binaryUnits are the units that MarshalText uses, besides B.
var binaryUnits = []sizeUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

// units are the units that UnmarshalText accepts. A unit precedes every unit that is a suffix of it, as B is of all others.
var units = slices.Concat(binaryUnits, []sizeUnit{{"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"B", 1}})

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range units {
		number, ok := strings.CutSuffix(string(text), unit.name)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 || v > (1<<62)/unit.bytes {
			break
		}
		*s = Size(v * unit.bytes)
		return nil
	}
	return fmt.Errorf("must be a size with a unit, such as 64MiB, got %q", text)
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	for _, unit := range binaryUnits {
		if s > 0 && int64(s)%unit.bytes == 0 {
			return fmt.Appendf(nil, "%d%s", int64(s)/unit.bytes, unit.name), nil
		}
	}
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}

// Mode is the admission mode: adaptive, fixed or off.
type Mode admission.Mode

var modes = []admission.Mode{admission.Adaptive, admission.Fixed, admission.Off}

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Mode) UnmarshalText(text []byte) error {
	for _, v := range modes {
		if v.String() == string(text) {
			*m = Mode(v)
			return nil
		}
	}
	return fmt.Errorf("must be adaptive, fixed or off, got %q", text)
}

// MarshalText implements encoding.TextMarshaler.
func (m Mode) MarshalText() ([]byte, error) { return []byte(admission.Mode(m).String()), nil }

// Effect is the effect of executing a request twice: safe, keyed (idempotent with an idempotency key) or unsafe.
type Effect balancer.Effect

var effects = []string{"safe", "keyed", "unsafe"}

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Effect) UnmarshalText(text []byte) error { return unmarshalName(effects, text, (*uint8)(e)) }

// MarshalText implements encoding.TextMarshaler.
func (e Effect) MarshalText() ([]byte, error) { return []byte(effects[e]), nil }

// Group is the group of servers that together drop the repetitions of a keyed request: all, zone or cell.
type Group balancer.Group

var groups = []string{"all", "zone", "cell"}

// UnmarshalText implements encoding.TextUnmarshaler.
func (g *Group) UnmarshalText(text []byte) error { return unmarshalName(groups, text, (*uint8)(g)) }

// MarshalText implements encoding.TextMarshaler.
func (g Group) MarshalText() ([]byte, error) { return []byte(groups[g]), nil }

// Variant is a variant of the xDS protocol: sotw (state of the world) or delta.
type Variant uint8

// The values of Variant.
const (
	StateOfTheWorld Variant = iota
	Delta
)

var variants = []string{"sotw", "delta"}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Variant) UnmarshalText(text []byte) error { return unmarshalName(variants, text, (*uint8)(v)) }

// MarshalText implements encoding.TextMarshaler.
func (v Variant) MarshalText() ([]byte, error) { return []byte(variants[v]), nil }

// unmarshalName sets target to the index of the name in text.
func unmarshalName(names []string, text []byte, target *uint8) error {
	for i, name := range names {
		if name == string(text) {
			*target = uint8(i)
			return nil
		}
	}
	return errors.New("must be one of " + strings.Join(names, ", ") + fmt.Sprintf(", got %q", text))
}
