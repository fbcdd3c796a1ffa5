package config

import (
	"cmp"
	"time"
)

// setDefault sets a value that was left out, which is then zero.
func setDefault[T cmp.Ordered](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// setDefaultPointer sets a value that was left out, where zero is a value as well.
func setDefaultPointer[T any](target **T, value T) {
	if *target == nil {
		*target = new(value)
	}
}

// checkNumber checks that a number is within bounds; NaN is not.
func checkNumber(d *decoder, field string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		d.errorAt(field, "want %v to %v, not %v", minimum, maximum, value)
	}
}

// checkRange checks that a duration is within bounds.
func checkRange(d *decoder, field string, value Duration, minimum, maximum time.Duration) {
	if value.D() < minimum || value.D() > maximum {
		d.errorAt(field, "want %v to %v, not %v", minimum, maximum, value.D())
	}
}
