// Package proxy is a process of the data plane (program ferrypitch-proxy): it accepts client sessions and forwards each
// statement to a database host that may serve it.
//
//	client -> clientSession -> statement -> policy: which host -> hostPool -> hostConn -> host
//	client <- clientSession <- statement <- policy: retry or finish <- hostConn <- host
//	control plane -> controlLink -> replicated state -> reconcile -> services, routes, hostPools
//
// One goroutine, the event loop, owns all state but the sockets. Readers of sockets, the control link and signal handling
// run in goroutines of their own and hand what they receive to the event loop over its queue. The event loop never blocks:
// it writes through nonblockingConn.
//
// Package policy chooses hosts, package session interprets statements, package position says what a read must see, and
// package lease says until when the replicated state may be acted on. A connection to the primary is used as such only while
// the lease is valid and the primary is the one that was appointed (primaryEpoch): this is what keeps two proxies from
// treating different hosts as the primary.
package proxy
