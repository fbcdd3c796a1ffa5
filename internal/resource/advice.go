package resource

import "time"

// RetryAfter is when a client that is refused may come back: the later, the more are refused for each that is served, both in
// requests a second. draw, from 0 to below 1, spreads it over the later two thirds of a span that ends at most at most.
// Danger: what is cut there after the draw has the many that a heavy shortage refuses come back as one.
func RetryAfter(refused, served float64, most time.Duration, draw float64) time.Duration {
	span := 1.5 * (1 + min(refused/(served+1), 4)) * float64(time.Second)
	span = min(span, float64(most))
	return time.Duration(span/3 + draw*span*2/3)
}
