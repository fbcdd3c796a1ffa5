package hollow

import (
	"fmt"
	"math"
	"slices"
)

// Fit is what a figure does as a size grows: a straight line by least squares, how far the points are off it, and how it bends.
type Fit struct {
	Sizes, Values []float64
	Slope, Start  float64 // value = Start + Slope * size
	// Residual is the largest distance of a point from the line, as a part of the largest value.
	Residual float64
	// Power is the slope between the last two sizes on logarithmic scales: 1 a figure that grows as the size does, 0 one that does
	// not grow, 2 one that grows as its square.
	Power             float64
	smallest, largest float64
}

const (
	// bend is the residual over which a line does not stand for the points.
	bend = 0.10
	// flat is the range within which points are taken for one figure and noise.
	flat = 0.10
)

// NewFit fits a line to at least two points with different sizes.
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
	f.Start = (sy - f.Slope*sx) / n
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

func (f *Fit) line(size float64) float64 { return f.Start + f.Slope*size }

// Flat tells that the points do not differ by more than noise: a slope between them would be noise, too, and large where it is drawn
// out to another size.
func (f *Fit) Flat() bool { return f.smallest >= 0 && f.largest-f.smallest <= flat*f.largest }

// Bends tells that no line stands for the points.
func (f *Fit) Bends() bool { return !f.Flat() && f.Residual > bend }

// At is the figure at a size: the largest of flat ones, and of those whose line would go below zero, else by the line, or where that bends by the power between the last two sizes. far is how many times larger
// than the largest one measured the size is.
func (f *Fit) At(size float64) (value, far float64) {
	last := len(f.Sizes) - 1
	far = size / f.Sizes[last]
	if f.Flat() || f.smallest >= 0 && !f.Bends() && f.line(size) < 0 { // a line below zero is noise that was drawn out
		return f.largest, far
	}
	if f.Bends() {
		return f.Values[last] * math.Pow(far, f.Power), far
	}
	return f.line(size), far
}

// Crosses is the size at which a figure that rises reaches a bound; +Inf: it does not, as far as the points tell.
func (f *Fit) Crosses(bound float64) float64 {
	last := len(f.Sizes) - 1
	if f.Flat() {
		if f.largest > bound {
			return f.Sizes[0]
		}
		return math.Inf(1)
	}
	if f.Bends() {
		if f.Power <= 0 || f.Values[last] <= 0 {
			return math.Inf(1)
		}
		return f.Sizes[last] * math.Pow(bound/f.Values[last], 1/f.Power)
	}
	if f.Slope <= 0 {
		return math.Inf(1)
	}
	return max((bound-f.Start)/f.Slope, 0)
}

// String tells the formula, its residual and, where it bends, that.
func (f *Fit) String() string {
	if f.Flat() {
		return fmt.Sprintf("flat, %.4g to %.4g", f.smallest, f.largest)
	}
	s := fmt.Sprintf("%.4g + %.4g x size, residual %.0f%%", f.Start, f.Slope, 100*f.Residual)
	if f.Bends() {
		s += fmt.Sprintf(", BENDS: power %.2f between the last two", f.Power)
	}
	return s
}
