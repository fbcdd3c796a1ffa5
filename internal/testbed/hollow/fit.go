package hollow

import (
	"fmt"
	"math"
	"slices"
)

// Fit is a least-squares line through values measured at several fleet sizes, and their deviation from it.
type Fit struct {
	Sizes, Values    []float64
	Slope, Intercept float64 // value = Intercept + Slope * size
	// Residual is the largest deviation of a value from the line, as a fraction of the largest absolute value.
	Residual float64
	// Power is the slope between the last two sizes on logarithmic scales: 0 for constant values, 1 for linear and 2 for quadratic growth.
	Power             float64
	smallest, largest float64
}

const (
	// maxLinearResidual is the Residual above which values count as nonlinear.
	maxLinearResidual = 0.10
	// flatRange is the maximum difference between values that count as constant, as a fraction of the largest value.
	flatRange = 0.10
)

// NewFit fits a line to the values at two or more sizes. The sizes must be positive and strictly increasing.
func NewFit(sizes, values []float64) (Fit, error) {
	f := Fit{Sizes: slices.Clone(sizes), Values: slices.Clone(values)}
	count := float64(len(sizes))
	if len(sizes) != len(values) || len(sizes) < 2 {
		return f, fmt.Errorf("fit needs at least two sizes and one value per size, got %d sizes and %d values", len(sizes), len(values))
	}
	var sumX, sumY, sumXX, sumXY, largest float64
	f.smallest, f.largest = math.Inf(1), math.Inf(-1)
	for i, x := range sizes {
		y := values[i]
		if i > 0 && x <= sizes[i-1] || x <= 0 {
			return f, fmt.Errorf("fit needs positive, strictly increasing sizes, got %v after %v", x, sizes[max(i-1, 0)])
		}
		sumX, sumY, sumXX, sumXY, largest = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y, max(largest, math.Abs(y))
		f.smallest, f.largest = min(f.smallest, y), max(f.largest, y)
	}
	f.Slope = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	f.Intercept = (sumY - f.Slope*sumX) / count
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

// Extrapolate returns the estimated value at a size, and the size as a multiple of the largest measured one. The estimate is the largest
// measured value if the values are flat or the line is below zero at that size, the value of the line if they are linear, and otherwise
// a power law with the exponent Power through the last value.
func (f *Fit) Extrapolate(size float64) (value, multiple float64) {
	last := len(f.Sizes) - 1
	multiple = size / f.Sizes[last]
	if f.IsFlat() || f.smallest >= 0 && !f.IsNonlinear() && f.line(size) < 0 { // extrapolated noise can fall below zero
		return f.largest, multiple
	}
	if f.IsNonlinear() {
		return f.Values[last] * math.Pow(multiple, f.Power), multiple
	}
	return f.line(size), multiple
}

// CrossingSize returns the estimated size at which the value exceeds bound, or +Inf if it does not at any size.
func (f *Fit) CrossingSize(bound float64) float64 {
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

// String returns the formula of the line and its residual, and Power if the values are nonlinear.
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
