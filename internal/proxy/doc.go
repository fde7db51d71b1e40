// Package proxy implements the data-plane process (program ferrypitch-proxy): it accepts client sessions and forwards each
// statement to a database host that may serve it.
//
//	client -> clientSession -> statement -> policy: which host -> hostPool -> hostConn -> host
//	client <- clientSession <- statement <- policy: retry or finish <- hostConn <- host
//	control plane -> controlLink -> stateReplica -> reconcile -> services, routes, hostPools
//
// One goroutine, the event loop, owns all state except the sockets. Socket readers, the control link and signal handling run in
// goroutines of their own and pass what they receive to the event loop through its queue. The event loop never blocks: it writes
// through nonblockingConn.
//
// Package policy chooses hosts, package session interprets statements, package position computes the log position that a read
// must include, and package lease determines how long the replicated state may be relied on. A proxy treats a host as the primary
// only while its lease is valid and the host's appointment is still in force (primaryEpoch). This keeps two proxies from treating
// different hosts as the primary.
package proxy
