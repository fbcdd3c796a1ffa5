package drain

import "net/http"

// effectSafe is the effect of a class whose requests change nothing, as configurations write it.
const effectSafe = "safe"

// FinalAnswer returns how a gateway answers a request that is still in flight when the grace of its drain is over: with a status, and
// whether the client is invited to retry. Effect is that of the request's class; sent is whether the request has left for an endpoint.
//
// Only a request that cannot have had an effect is offered for retry. One with an idempotency key is not: its key holds within a group
// of endpoints alone, and another gateway may choose a different group.
func FinalAnswer(effect string, sent bool) (status int, retryable bool) {
	if !sent || effect == effectSafe {
		return http.StatusServiceUnavailable, true
	}
	return http.StatusGatewayTimeout, false
}
