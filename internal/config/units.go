package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
)

// Duration is written with its unit, "150ms" or "1m30s".
type Duration time.Duration

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("want a duration with its unit, as 150ms, not %q", b)
	}
	if v < 0 {
		return fmt.Errorf("%q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D is the plain duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Size is bytes, written with their unit, "64MiB" or "512KiB"; "1024B" are single ones.
type Size int64

var units = []struct {
	name string
	n    int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"B", 1}}

// UnmarshalText reads it.
func (s *Size) UnmarshalText(b []byte) error {
	for _, u := range units {
		number, ok := strings.CutSuffix(string(b), u.name)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 || v > (1<<62)/u.n {
			break
		}
		*s = Size(v * u.n)
		return nil
	}
	return fmt.Errorf("want a size with its unit, as 64MiB, not %q", b)
}

// MarshalText writes it.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range units[:3] {
		if s > 0 && int64(s)%u.n == 0 {
			return fmt.Appendf(nil, "%d%s", int64(s)/u.n, u.name), nil
		}
	}
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}

// Mode is how requests are admitted.
type Mode admission.Mode

var modes = []admission.Mode{admission.Adaptive, admission.Fixed, admission.Off}

// UnmarshalText reads it.
func (m *Mode) UnmarshalText(b []byte) error {
	for _, v := range modes {
		if v.String() == string(b) {
			*m = Mode(v)
			return nil
		}
	}
	return fmt.Errorf("want adaptive, fixed or off, not %q", b)
}

// MarshalText writes it.
func (m Mode) MarshalText() ([]byte, error) { return []byte(admission.Mode(m).String()), nil }

// Effect is what a second run of a request does.
type Effect balancer.Effect

var effects = []string{"safe", "keyed", "unsafe"}

// UnmarshalText reads it.
func (e *Effect) UnmarshalText(b []byte) error { return unmarshalName(effects, b, (*uint8)(e)) }

// MarshalText writes it.
func (e Effect) MarshalText() ([]byte, error) { return []byte(effects[e]), nil }

// Group says which servers drop the repeats of a keyed request.
type Group balancer.Group

var groups = []string{"all", "zone", "cell"}

// UnmarshalText reads it.
func (g *Group) UnmarshalText(b []byte) error { return unmarshalName(groups, b, (*uint8)(g)) }

// MarshalText writes it.
func (g Group) MarshalText() ([]byte, error) { return []byte(groups[g]), nil }

// Variant is how resources are asked for.
type Variant uint8

const (
	StateOfTheWorld Variant = iota
	Delta
)

var variants = []string{"sotw", "delta"}

// UnmarshalText reads it.
func (v *Variant) UnmarshalText(b []byte) error { return unmarshalName(variants, b, (*uint8)(v)) }

// MarshalText writes it.
func (v Variant) MarshalText() ([]byte, error) { return []byte(variants[v]), nil }

func unmarshalName(names []string, b []byte, to *uint8) error {
	for i, n := range names {
		if n == string(b) {
			*to = uint8(i)
			return nil
		}
	}
	return errors.New("want one of " + strings.Join(names, ", ") + fmt.Sprintf(", not %q", b))
}
