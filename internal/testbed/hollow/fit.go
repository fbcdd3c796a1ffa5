package hollow

import (
	"fmt"
	"math"
	"slices"
)

// Fit is a straight line through the values of several sizes by least squares, and how far they deviate from it.
type Fit struct {
	Sizes, Values    []float64
	Slope, Intercept float64 // value = Start + Slope * size
	// Residual is the largest distance of a value from the line, as a fraction of the largest value.
	Residual float64
	// Power is the slope between the last two sizes on logarithmic scales: 1 for linear, 0 for no and 2 for quadratic growth.
	Power             float64
	smallest, largest float64
}

const (
	// maxLinearResidual is the residual above which values count as nonlinear.
	maxLinearResidual = 0.10
	// flatRange is the range, as a fraction of the largest value, within which values count as constant.
	flatRange = 0.10
)

// NewFit fits a line to the values of at least two sizes, which must be positive and rising.
func NewFit(sizes, values []float64) (Fit, error) {
	f := Fit{Sizes: slices.Clone(sizes), Values: slices.Clone(values)}
	n := float64(len(sizes))
	if len(sizes) != len(values) || len(sizes) < 2 {
		return f, fmt.Errorf("a fit of %d sizes and %d values: want two or more of each", len(sizes), len(values))
	}
	var sx, sy, sxx, sxy, largest float64
	f.smallest, f.largest = math.Inf(1), math.Inf(-1)
	for i, x := range sizes {
		y := values[i]
		if i > 0 && x <= sizes[i-1] || x <= 0 {
			return f, fmt.Errorf("a fit: size %v behind %v: want rising sizes over 0", x, sizes[max(i-1, 0)])
		}
		sx, sy, sxx, sxy, largest = sx+x, sy+y, sxx+x*x, sxy+x*y, max(largest, math.Abs(y))
		f.smallest, f.largest = min(f.smallest, y), max(f.largest, y)
	}
	f.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.Intercept = (sy - f.Slope*sx) / n
	for i, x := range sizes {
		if largest > 0 {
			f.Residual = max(f.Residual, math.Abs(values[i]-f.line(x))/largest)
		}
	}
	last := len(sizes) - 1
	if values[last] > 0 && values[last-1] > 0 {
		f.Power = math.Log(values[last]/values[last-1]) / math.Log(sizes[last]/sizes[last-1])
	}
	return f, nil
}

func (f *Fit) line(size float64) float64 { return f.Intercept + f.Slope*size }

// IsFlat reports whether the values differ by no more than noise, so that their slope has no meaning.
func (f *Fit) IsFlat() bool { return f.smallest >= 0 && f.largest-f.smallest <= flatRange*f.largest }

// IsNonlinear reports whether the values deviate too far from a line.
func (f *Fit) IsNonlinear() bool { return !f.IsFlat() && f.Residual > maxLinearResidual }

// Extrapolate returns the value at a size, and the size as a multiple of the largest one measured. It is the largest value if the
// values are flat or the line falls below zero there, that of the line if they are linear, and otherwise that of the power between
// the last two sizes.
func (f *Fit) Extrapolate(size float64) (value, far float64) {
	last := len(f.Sizes) - 1
	far = size / f.Sizes[last]
	if f.IsFlat() || f.smallest >= 0 && !f.IsNonlinear() && f.line(size) < 0 { // a line below zero is noise that was drawn out
		return f.largest, far
	}
	if f.IsNonlinear() {
		return f.Values[last] * math.Pow(far, f.Power), far
	}
	return f.line(size), far
}

// Crosses returns the size at which the value exceeds a bound; +Inf: it does at none.
func (f *Fit) Crosses(bound float64) float64 {
	last := len(f.Sizes) - 1
	if f.IsFlat() {
		if f.largest > bound {
			return f.Sizes[0]
		}
		return math.Inf(1)
	}
	if f.IsNonlinear() {
		if f.Power <= 0 || f.Values[last] <= 0 {
			return math.Inf(1)
		}
		return f.Sizes[last] * math.Pow(bound/f.Values[last], 1/f.Power)
	}
	if f.Slope <= 0 {
		return math.Inf(1)
	}
	return max((bound-f.Intercept)/f.Slope, 0)
}

// String returns the formula, its residual and, if the values are nonlinear, their power.
func (f *Fit) String() string {
	if f.IsFlat() {
		return fmt.Sprintf("flat, %.4g to %.4g", f.smallest, f.largest)
	}
	s := fmt.Sprintf("%.4g + %.4g x size, residual %.0f%%", f.Intercept, f.Slope, 100*f.Residual)
	if f.IsNonlinear() {
		s += fmt.Sprintf(", BENDS: power %.2f between the last two", f.Power)
	}
	return s
}
