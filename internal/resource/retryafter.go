package resource

import "time"

// RetryAfter returns when a rejected client may retry: the later, the more requests are rejected for each one served, both
// in requests a second. draw, from 0 to below 1, spreads the result over the later two thirds of a span of at most most.
// The span is bounded before the draw, so that the many clients of a heavy overload do not all retry at the same moment.
func RetryAfter(refused, served float64, most time.Duration, draw float64) time.Duration {
	span := 1.5 * (1 + min(refused/(served+1), 4)) * float64(time.Second)
	span = min(span, float64(most))
	return time.Duration(span/3 + draw*span*2/3)
}
