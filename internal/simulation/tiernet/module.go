package tiernet

import "ferrypitch/policy"

// The exported methods of forwarderProcess implement policy.Caller, the callbacks of the decision module.

// RejectRetryable answers a command with a retryable rejection.
func (f *forwarderProcess) RejectRetryable(handle *policy.Command, retryAfter policy.TenthMs) {
	f.trace.RejectRetryable(handle, retryAfter)
	f.countFinalAnswer(handle, &f.w.Throttled)
	f.forgetFinished(handle)
}

// Fail answers a command with an error.
func (f *forwarderProcess) Fail(handle *policy.Command) {
	f.trace.Fail(handle)
	f.countFinalAnswer(handle, &f.w.Failed)
	f.forgetFinished(handle)
}

// Dispatch sends a command to a host.
func (f *forwarderProcess) Dispatch(handle *policy.Command, node *policy.Host, timeout policy.TenthMs) {
	f.dispatch(handle, node, timeout)
}

// ScheduleWakeUp calls the module's WakeUp after a span.
func (f *forwarderProcess) ScheduleWakeUp(after policy.TenthMs) {
	incarnation := f.incarnation
	f.trace.ScheduleWakeUp(after)
	f.w.After(max(millisecond, after), func() {
		if f.isRunning(incarnation) {
			f.updateClock()
			f.trace.WakeUp()
			f.module.WakeUp()
		}
	})
}

// CloseIdleConns only traces the call, since simulated hosts have no idle connections.
func (f *forwarderProcess) CloseIdleConns(node *policy.Host) { f.trace.CloseIdleConns(node) }

// ReleaseHost forgets a removed host.
func (f *forwarderProcess) ReleaseHost(node *policy.Host) {
	f.trace.ReleaseHost(node)
	delete(f.moduleHosts, f.moduleHostNames[node])
	delete(f.moduleHostNames, node)
}

// Probe reports a violation, since only planners probe hosts.
func (f *forwarderProcess) Probe(node *policy.Host) {
	f.w.RecordViolation("%s probes %s", f.name, f.moduleHostNames[node])
}

// Broadcast reports a violation, since forwarders have no router peers.
func (f *forwarderProcess) Broadcast(string) { f.w.RecordViolation("%s broadcasts a message", f.name) }

// RequestHostList reports a violation, since only planners fetch the list of hosts.
func (f *forwarderProcess) RequestHostList() {
	f.w.RecordViolation("%s requests the list of hosts", f.name)
}
