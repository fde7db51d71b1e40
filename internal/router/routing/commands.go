package routing

import (
	"strconv"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

const (
	maxTimeoutMs         = 1e9 // limit for client timeouts; a longer one would overflow time.Duration
	maxRejectedNameBytes = 64  // bytes of an unknown group name that are repeated in the error message
	positionMarginMs     = 2   // a valid position may be ahead of the router's clock by this much
)

// command is a command that was submitted to the policy and is not finished.
type command struct {
	handle    *policy.Command
	slot      *transport.Slot // nil after the command is answered or the client has disconnected
	statement []byte
	deadline  time.Time // latest time for the final answer to the client
	inFlight  *request  // current dispatch; nil for none
}

// HandleCommand implements transport.CommandHandler. It parses a statement and queues it for the policy; invalid commands are
// rejected at once.
func (r *Router) HandleCommand(slot *transport.Slot, statement []byte, receivedAt time.Time) {
	parsed, err := protocol.ParseCommand(statement)
	group := r.start.Formats.Groups[parsed.Group]
	switch {
	case err != nil:
		r.reject(slot, err.Error())
		return
	case group == nil:
		r.reject(slot, "no command group of the name "+strconv.Quote(parsed.Group[:min(len(parsed.Group), maxRejectedNameBytes)]))
		return
	case parsed.IsWrite != (group.ConsistencyLevel == policy.Write):
		r.reject(slot, "a statement that its command group does not have")
		return
	}
	// The command group's timeout caps the client's.
	timeout := min(time.Duration(min(parsed.TimeoutMs, maxTimeoutMs)*float64(time.Millisecond)), clock.ToDuration(group.Timeout))
	deadline := receivedAt.Add(timeout - r.start.Limits.AnswerMargin)
	if !r.queue.Put(eventloop.PriorityCommands, func() { r.submitCommand(slot, statement, group, parsed, deadline) }) {
		slot.Fail(protocol.SystemError, errStopped.Error())
	}
}

// HandleEmptyQuery implements transport.CommandHandler. Clients use empty queries as a readiness check, so they are answered
// only after the first host list.
func (r *Router) HandleEmptyQuery(slot *transport.Slot) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		if r.hasList {
			slot.AnswerEmptyQuery()
		} else {
			r.awaitingList = append(r.awaitingList, slot)
		}
	})
}

// ClientDisconnected implements transport.CommandHandler. It cancels the command of the slot.
func (r *Router) ClientDisconnected(slot *transport.Slot) {
	r.queue.Put(eventloop.PriorityOutcomes, func() {
		if c := r.slots[slot]; c != nil {
			r.Disconnected.Add(1)
			r.clearSlot(c)
			r.trace.Abandon(c.handle)
			c.handle.Abandon()
			r.removeIfFinished(c.handle)
		}
	})
}

// reject answers an invalid command from the caller's goroutine, without using the queue of commands.
func (r *Router) reject(slot *transport.Slot, reason string) {
	r.Rejected.Add(1)
	slot.Reject(protocol.SyntaxError, reason)
}

// submitCommand passes a command to the policy.
func (r *Router) submitCommand(slot *transport.Slot, statement []byte, group *policy.CommandGroup, parsed protocol.Command, deadline time.Time) {
	switch {
	case r.hasList && !r.replicaSets[parsed.ReplicaSet]: // the policy would keep state for every replica set number that clients invent
		r.reject(slot, "no host of replica set "+strconv.FormatInt(parsed.ReplicaSet, 10)+" has been listed")
		return
	case r.commands[parsed.ID] != nil: // ids are unique; the first command with this id may already have been executed
		r.reject(slot, "the id of a command that is open")
		return
	}
	slot.CommandAccepted()
	now := r.advanceClock()
	sinceWrite := policy.TenthMs(0)
	if parsed.WrittenAtMs > 0 { // the commit time is rounded up so that the read is not too early
		sinceWrite = max(1, now-setup.RoundUp(parsed.WrittenAtMs))
	}
	c := &command{slot: slot, statement: statement, deadline: deadline}
	r.commands[parsed.ID], r.slots[slot] = c, c
	r.Taken.Add(1)
	timeout := now + policy.TenthMs(time.Until(deadline)/clock.Resolution)
	previewed := r.preview.command(r.policy, group, parsed.ReplicaSet, parsed.Key, timeout, sinceWrite)
	r.trace.Submit(parsed.ID, r.groups[group], parsed.ReplicaSet, parsed.Key, timeout, sinceWrite, parsed.IsRetry)
	c.handle = r.policy.Submit(parsed.ID, group, parsed.ReplicaSet, parsed.Key, timeout, sinceWrite)
	r.trace.AssignHandle(c.handle)
	previewed.compare(c.handle)
	r.removeIfFinished(c.handle)
}

// finishDispatch answers the client if the host answered, and passes the dispatch's outcome to the policy.
func (r *Router) finishDispatch(c *command, answer transport.Answer) {
	c.inFlight = nil
	r.Outcomes[answer.Outcome].Add(1)
	if answer.Outcome == policy.Answered && c.slot != nil {
		r.Answered.Add(1)
		c.slot.Answer(answer.Frames)
		r.clearSlot(c)
	}
	r.applyLoadReport(c.handle.Host, answer.LoadReport)
	position, role := setup.ParseHostStatus(answer.Position, answer.Role, r.maxPositionMs())
	elapsed := policy.TenthMs(answer.Elapsed / clock.Resolution)
	if h := r.nodes[c.handle.Host]; h != nil && r.start.Deployment.UsesPlanners {
		now := r.clock.Now()
		h.recordAnswer(c.handle, answer.Outcome, position, role, now-elapsed, now, elapsed)
	}
	r.trace.EndDispatch(c.handle, answer.Outcome, position, role, elapsed, c.slot == nil)
	c.handle.EndDispatch(answer.Outcome, position, role, elapsed, c.slot == nil)
	r.removeIfFinished(c.handle)
}

// applyLoadReport passes the position and role in a load report to the policy.
func (r *Router) applyLoadReport(node *policy.Host, report string) {
	formats := r.start.Formats
	position, role, ok := formats.ParseLoadReport(func(i int) (float64, bool) { return protocol.LoadReportField(report, formats.LoadReportFields[i]) })
	if node != nil && ok && position >= 0 && float64(position) <= 10*r.maxPositionMs() {
		r.trace.ReportLoad(node, position, role)
		node.ReportLoad(position, role)
	}
}

// maxPositionMs returns the highest valid position, in milliseconds of Unix time: that of a commit made now, rounded up.
// Accepting positions in the future would cause stale reads.
func (r *Router) maxPositionMs() float64 { return float64(r.clock.Now())/10 + positionMarginMs }

// clearSlot detaches a command from its slot after the answer was sent or the client has disconnected.
func (r *Router) clearSlot(c *command) {
	delete(r.slots, c.slot)
	c.slot = nil
}

// removeIfFinished removes a command that the policy has finished. It is called after each call to the policy that may
// finish a command.
func (r *Router) removeIfFinished(handle *policy.Command) {
	if handle.IsFinished() {
		r.trace.ReleaseCommand(handle)
		delete(r.commands, handle.Name)
	}
}
