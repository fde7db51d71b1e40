// Package quota limits the operations of each tenant across all proxies, with a distributed token bucket.
//
// The leader of the control plane lends tokens for a short time, and a proxy spends one token for each operation that it sends to
// a host:
//
//	proxy: Accounts.Request at t0 --- used, returned, wanted --->  leader: Lender.Serve at t1
//	proxy: Accounts.HandleResponse, tokens valid until t0+lifetime  <--- granted; the lender counts them until t1+lifetime+margin
//
// For each tenant, the sum of free and lent tokens never exceeds a capacity, and free tokens are refilled at the tenant's rate. So
// the operations in any window are bounded by the capacity plus the refill in that window, wherever the tokens are spent. An
// unspent token expires, and the proxy starts counting its lifetime earlier than the lender does. So lost messages, delays and
// partitions can only reduce the number of operations.
//
// The package does no I/O and reads no clock: callers pass the time, in milliseconds of their own monotonic clock.
package quota
