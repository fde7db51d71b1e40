package tiernet

import "ferrypitch/policy"

// The methods of this file are what the decision module asks of its owner: it is a policy.Caller.

// Throttle answers a command with a rejection.
func (f *forwarderProcess) Throttle(handle *policy.Command, retryAfter policy.TenthMs) {
	f.trace.Throttle(handle, retryAfter)
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

// Wake calls the module again after a span.
func (f *forwarderProcess) Wake(after policy.TenthMs) {
	incarnation := f.incarnation
	f.trace.Wake(after)
	f.w.After(max(millisecond, after), func() {
		if f.isRunning(incarnation) {
			f.updateClock()
			f.trace.Woke()
			f.module.WakeUp()
		}
	})
}

// Close closes the idle connections to a host, of which there are none here.
func (f *forwarderProcess) Close(node *policy.Host) { f.trace.Close(node) }

// Forget drops a host that is gone.
func (f *forwarderProcess) Forget(node *policy.Host) {
	f.trace.Forget(node)
	delete(f.nodes, f.nodeNames[node])
	delete(f.nodeNames, node)
}

// Probe is the planners' task.
func (f *forwarderProcess) Probe(node *policy.Host) {
	f.w.Violate("%s probes %s", f.name, f.nodeNames[node])
}

// Tell is a message to other routers, which forwarders do not have.
func (f *forwarderProcess) Tell(string) { f.w.Violate("%s tells others", f.name) }

// Watch is the planners' task.
func (f *forwarderProcess) Watch() { f.w.Violate("%s asks for a list", f.name) }
