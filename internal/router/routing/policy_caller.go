package routing

import (
	"time"

	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

var _ policy.Caller = (*Router)(nil)

// Statements of health checks.
const (
	probeStatement      = "SELECT 1"
	loadReportStatement = "SHOW server_load" // used where load reports contain positions
)

// Dispatch implements policy.Caller: it sends a command to a host. A timeout of 0 means the deadline of the command.
func (r *Router) Dispatch(handle *policy.Command, node *policy.Host, timeout policy.TenthMs) {
	c, now := r.commands[handle.Name], time.Now()
	deadline, sendBy := c.deadline, now.Add(r.start.Limits.ConnectTimeout)
	if at := now.Add(clock.ToDuration(timeout)); timeout > 0 && at.Before(deadline) {
		deadline = at
	}
	if handle.SendBy > 0 {
		if at := now.Add(clock.ToDuration(handle.SendBy - r.clock.Now())); at.Before(sendBy) {
			sendBy = at
		}
	}
	r.Dispatched.Add(1)
	r.trace.Dispatch(handle, node, timeout)
	if r.start.Deployment.UsesPlanners {
		r.nodes[node].recordDispatch(handle)
	}
	c.inFlight = r.send(r.nodes[node], c.statement, deadline, sendBy, true, func(answer transport.Answer) { r.finishDispatch(c, answer) })
}

// RejectRetryable implements policy.Caller: it answers with an error after which the client may retry.
func (r *Router) RejectRetryable(handle *policy.Command, retryAfter policy.TenthMs) {
	r.trace.RejectRetryable(handle, retryAfter)
	r.preview.throttled(retryAfter)
	if c := r.commands[handle.Name]; c.slot != nil {
		r.Throttled.Add(1)
		c.slot.Throttle(retryAfter / 10) // in milliseconds
		r.clearSlot(c)
		r.removeIfFinished(handle)
	}
}

// Fail implements policy.Caller: it answers with an error that leaves the command's effect unknown.
func (r *Router) Fail(handle *policy.Command) {
	r.trace.Fail(handle)
	if c := r.commands[handle.Name]; c.slot != nil {
		r.Failed.Add(1)
		c.slot.Fail(protocol.SystemError, "no answer from a host")
		r.clearSlot(c)
		r.removeIfFinished(handle)
	}
}

// Probe implements policy.Caller: it sends a host a health check.
func (r *Router) Probe(node *policy.Host) {
	statement := probeStatement
	if r.start.Deployment.PositionsReported {
		statement = loadReportStatement
	}
	deadline := time.Now().Add(r.start.Limits.ConnectTimeout)
	r.Probes.Add(1)
	r.trace.Probe(node)
	r.send(r.nodes[node], []byte(statement), deadline, deadline, false, func(answer transport.Answer) {
		answered := answer.Outcome == policy.Answered
		if answered {
			r.applyLoadReport(node, answer.Value)
		}
		r.trace.EndProbe(node, answered)
		node.EndProbe(answered)
	})
}

// CloseIdleConns implements policy.Caller: it closes the idle connections to a host.
func (r *Router) CloseIdleConns(node *policy.Host) {
	r.trace.CloseIdleConns(node)
	r.nodes[node].connections.CloseIdle()
}

// ReleaseHost implements policy.Caller: it removes a host that has left the list and that the policy no longer uses.
func (r *Router) ReleaseHost(node *policy.Host) {
	r.HostsRemoved.Add(1)
	r.trace.ReleaseHost(node)
	r.nodes[node].connections.Remove()
	delete(r.nodes, node)
	delete(r.hosts, node.Name)
}

// RequestHostList implements policy.Caller: it requests the host list from discovery.
func (r *Router) RequestHostList() {
	r.ListRequests.Add(1)
	r.trace.RequestHostList()
	r.requestList()
}

// Broadcast implements policy.Caller: it sends a message to every other router.
func (r *Router) Broadcast(body string) {
	r.trace.Broadcast(body)
	r.broadcast(body)
}

// ScheduleWakeUp implements policy.Caller: it schedules a call of the policy's WakeUp.
func (r *Router) ScheduleWakeUp(after policy.TenthMs) {
	r.trace.ScheduleWakeUp(after)
	r.scheduleWakeUp(after)
}
