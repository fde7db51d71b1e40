package tiernet

import "ferrypitch/policy"

// The methods of this file are what the decision module asks of its owner: it is a policy.Caller.

// RejectRetryable answers a command with a rejection.
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

// ScheduleWakeUp calls the module again after a span.
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

// CloseIdleConns closes the idle connections to a host, of which there are none here.
func (f *forwarderProcess) CloseIdleConns(node *policy.Host) { f.trace.CloseIdleConns(node) }

// ReleaseHost drops a host that is gone.
func (f *forwarderProcess) ReleaseHost(node *policy.Host) {
	f.trace.ReleaseHost(node)
	delete(f.nodes, f.nodeNames[node])
	delete(f.nodeNames, node)
}

// Probe is the planners' task.
func (f *forwarderProcess) Probe(node *policy.Host) {
	f.w.Violate("%s probes %s", f.name, f.nodeNames[node])
}

// Broadcast is a message to other routers, which forwarders do not have.
func (f *forwarderProcess) Broadcast(string) { f.w.Violate("%s tells others", f.name) }

// RequestHostList is the planners' task.
func (f *forwarderProcess) RequestHostList() { f.w.Violate("%s asks for a list", f.name) }
