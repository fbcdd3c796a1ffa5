// Package balancer decides where a proxy sends each HTTP request: it draws two ready servers at random and takes the one with
// fewer of this proxy's own requests in flight (the power of two choices). It also decides about retries, hedged requests,
// slow start, outlier ejection, rejections under overload, the subset of servers in use and the polling of the endpoint list.
//
// # Calling a Balancer
//
// A proxy makes one [Balancer] with [New], giving it a [Host] that carries out its actions. The first call is
// [Balancer.UpdateEndpoints] with the endpoint list that the proxy last knew ([UpdateCached]), which may be stale. After that
// each event goes to its method in the order in which it happened: [Balancer.Request] when a client's request arrives,
// [Balancer.Started] when a streamed answer begins, [Balancer.Outcome] once for every [Host.Send], [Balancer.ClientGone] when
// the client has left, [Balancer.Expire] when a request must have its final answer, [Balancer.Timer] when a timer has run out
// and [Balancer.UpdateEndpoints] when the endpoint list changes. Actions leave through the Host while the method runs.
//
// A Balancer starts no goroutine, reads no clock, never blocks and keeps no global state. It must be called from one goroutine
// at a time, and the Host must not call back into it. The same settings, seed and events give the same actions. The now that
// each method takes is a monotonic clock reading: it never goes back, and its origin does not matter.
package balancer
