// Package retry decides what follows a call between processes that ended without a clear answer: whether it may be sent again, by
// what it does and how far it was written. Statements to database hosts, control queries, calls to the platform and the members'
// own calls all follow the one table here; docs/design/control-state.md gives the reasons at length.
//
//	Operation, Progress -> Decide -> Action
//
// A call that was delayed because its process or its host was suspended counts as Sent: what was written may be executed at any
// time until the host is known to have done all that it received.
//
// The package is pure: it makes no calls and reads no clock.
package retry
