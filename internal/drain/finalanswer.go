package drain

import "net/http"

// effectSafe is the effect that a configuration gives to a request class without side effects.
const effectSafe = "safe"

// FinalAnswer returns how a gateway answers a request that is still in flight when the grace period of its drain ends: the status, and
// whether the response tells the client that it can retry. The effect is that of the request's class; sent is true if the request was
// sent to an endpoint.
//
// Only a request that cannot have had an effect is retryable. A request with an idempotency key is not: the key is valid only within one
// group of endpoints, and another gateway may choose a different group.
func FinalAnswer(effect string, sent bool) (status int, retryable bool) {
	if !sent || effect == effectSafe {
		return http.StatusServiceUnavailable, true
	}
	return http.StatusGatewayTimeout, false
}
