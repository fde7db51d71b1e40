// Package lease keeps the leases under which proxies may treat a host as a service's primary.
//
//	proxy: asks at t0 ---- request, with the applied index --->  control plane: Grantor.Grant at t1
//	proxy: Holder.Renew(t0)  <------------ answer -----------
//
// Both sides count from their own clock: the holder from when it asked, the grantor from the later moment at which it
// granted, and the holder's time is shorter. So a holder's lease always ends before the grantor counts it as expired. Who
// is primary of which service comes with the replicated log, not with the lease: a proxy that has applied a revocation
// does not act on the old primary any more, and one whose lease has expired acts on none. Grantor.AllCaughtUp says when
// that holds for every proxy.
//
// The package does no input or output and reads no clock: callers pass the time, in milliseconds of a monotonic clock of
// their own.
package lease
