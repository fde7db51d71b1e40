// Package lease implements the leases that allow a proxy to act on the primaries in its copy of the replicated log.
//
//	proxy: sends at t0 --- request with the applied index ---->  control plane: Grantor.Grant at t1
//	proxy: Holder.Renew(t0)  <----------- response ----------
//
// Each side uses its own clock. The holder counts the lease from when it sent the request, the grantor from when it granted
// the lease, which is later, and the holder's duration is shorter. So a holder's lease always ends before the grantor
// considers it expired. The primary of each service is part of the replicated log, not of the lease: a proxy that has applied
// a revocation no longer uses the old primary, and a proxy without a valid lease uses none. Grantor.AllCaughtUp reports when
// this holds for every proxy.
//
// The package does no I/O and reads no clock: callers pass the time, in milliseconds of their own monotonic clock.
package lease
