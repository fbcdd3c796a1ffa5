// Package balancer decides where a proxy sends each HTTP request: it draws two ready servers at random and picks the one with
// fewer of this proxy's own attempts in flight (the power of two choices). It also controls retries, hedged requests, slow start,
// outlier ejection, rejections under overload, the subset of servers in use and the polling of the endpoint list.
//
// # Calling a Balancer
//
// A proxy creates one [Balancer] with [New] and passes it a [Host] that executes its actions. The first call is
// [Balancer.UpdateEndpoints] with the endpoint list that the proxy last knew ([UpdateCached]), which may be stale. After that,
// the proxy reports each event, in the order in which the events happen:
//
//   - [Balancer.Request] when a client's request arrives,
//   - [Balancer.Started] when a streamed answer begins,
//   - [Balancer.Outcome] once for every [Host.Send],
//   - [Balancer.ClientGone] when the client has disconnected,
//   - [Balancer.Expire] when a request must get its final answer,
//   - [Balancer.Timer] when a timer expires,
//   - [Balancer.UpdateEndpoints] when the endpoint list changes.
//
// The Balancer calls the methods of the Host before the reporting method returns.
//
// A Balancer starts no goroutine, reads no clock, never blocks and keeps no global state. It must be called from one goroutine
// at a time, and the Host must not call back into it. The same settings, seed and events produce the same actions. The parameter
// now of each method is a monotonic clock reading: it never decreases, and its origin is arbitrary.
package balancer
