// Package retry decides what to do after a call between processes failed and its outcome is uncertain. Whether the call may be
// retried depends on the operation and on how much of the call was written. Statements to database hosts, control queries, calls
// to the platform and calls between members all follow the table in this package; docs/design/control-state.md gives the reasons
// in detail.
//
//	Operation, Progress -> Decide -> Action
//
// A call that was delayed because its process or its host was suspended counts as Sent: a written call may be executed at any time
// until the host is known to have processed everything it received.
//
// The package does no I/O and reads no clock.
package retry
