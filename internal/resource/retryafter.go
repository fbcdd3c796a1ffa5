package resource

import "time"

// RetryAfter returns how long a rejected client should wait before it retries. The delay grows with the ratio of rejected to
// served requests, both in requests per second. draw is a random number in [0, 1) that spreads the delay over the upper two
// thirds of a span of at most maxDelay. The span is limited before it is spread; limiting the delay afterwards would make many
// clients retry at the same time in a heavy overload.
func RetryAfter(rejected, served float64, maxDelay time.Duration, draw float64) time.Duration {
	span := 1.5 * (1 + min(rejected/(served+1), 4)) * float64(time.Second)
	span = min(span, float64(maxDelay))
	return time.Duration(span/3 + draw*span*2/3)
}
