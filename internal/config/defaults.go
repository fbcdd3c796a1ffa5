package config

import (
	"cmp"
	"time"
)

// setDefault sets a field that the file does not set. A zero value counts as not set.
func setDefault[T cmp.Ordered](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// setDefaultPointer sets a field that the file does not set. The field is a pointer because zero is a valid value of it.
func setDefaultPointer[T any](target **T, value T) {
	if *target == nil {
		*target = new(value)
	}
}

// checkNumber checks that minimum <= value <= maximum. NaN is rejected.
func checkNumber(d *decoder, field string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		d.errorAt(field, "must be from %v to %v, got %v", minimum, maximum, value)
	}
}

// checkRange checks that minimum <= value <= maximum.
func checkRange(d *decoder, field string, value Duration, minimum, maximum time.Duration) {
	if value.D() < minimum || value.D() > maximum {
		d.errorAt(field, "must be from %v to %v, got %v", minimum, maximum, value.D())
	}
}
