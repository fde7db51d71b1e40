// Package failover decides when a service needs a new primary, which replica to promote, and in which order to act on
// hosts, the platform and the replicated log. The leader of the control plane runs one Coordinator.
//
//	replicated state, heartbeats, suspicions, query results, promotion outcomes
//	    -> Coordinator.Tick, HandleEvents -> Actions: proposals to the log, queries to hosts, promotion requests to the platform
//
// A tick evaluates the services that are due, and an event the services that it affects (schedule.go). An evaluation picks
// a table of steps by the service's state in the log, and runs the steps in order until one of them stops:
//
//	no primary known                          discoverPrimary  finds the host that already acts as primary
//	primary in place                          monitorSteps     failure detection, replica maintenance, start of a switchover
//	primary in place, with a nominee          switchoverSteps  planned: the primary serves until the nominee is promoted
//	primary revoked                           failoverSteps    unplanned failover, and the last phase of each switchover
//
// Failover: the revocation is committed to the log; the coordinator waits until no proxy uses the old primary, because each
// has applied the revocation or its lease has expired; all replicas are paused and report their positions; the most advanced
// one is nominated in the log, promoted by the platform, and appointed in the log once it reports itself primary.
//
// Switchover: the successor is nominated; from then on the proxies acknowledge a write to a client only once the successor has
// received it; the successor is promoted while the old primary still serves; then the old primary is revoked, and the
// failover steps appoint the successor.
//
// All state that must survive a change of leader is in the log, so the next leader continues from there.
//
// The package performs no I/O and reads no clock: callers pass the time, in milliseconds of a monotonic clock.
package failover
