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
	maxTimeoutMs      = 1e9 // beyond, a time-out does not fit a time.Duration
	maxGroupNameShown = 64  // bytes of an unknown name that its rejection repeats
	positionMarginMs  = 2   // by which a true position may be past the clock
)

// command is one that the module has taken.
type command struct {
	handle    *policy.Command
	slot      *transport.Slot // nil once it is answered, or its client gone
	statement []byte
	deadline  time.Time // when its last answer is due
	inFlight  *request
}

// HandleCommand implements transport.CommandHandler.
func (r *Router) HandleCommand(slot *transport.Slot, statement []byte, receivedAt time.Time) {
	parsed, err := protocol.ParseCommand(statement)
	group := r.start.Formats.Groups[parsed.Group]
	switch {
	case err != nil:
		r.reject(slot, err.Error())
		return
	case group == nil:
		r.reject(slot, "no command group of the name "+strconv.Quote(parsed.Group[:min(len(parsed.Group), maxGroupNameShown)]))
		return
	case parsed.IsWrite != (group.ConsistencyLevel == policy.Write):
		r.reject(slot, "a statement that its command group does not have")
		return
	}
	// The group's time-out is the longest, whatever the client names.
	timeout := min(time.Duration(min(parsed.TimeoutMs, maxTimeoutMs)*float64(time.Millisecond)), clock.Span(group.Timeout))
	deadline := receivedAt.Add(timeout - r.start.Limits.AnswerMargin)
	if !r.queue.Put(eventloop.PriorityCommands, func() { r.takeCommand(slot, statement, group, parsed, deadline) }) {
		slot.Fail(protocol.SystemError, errStopped.Error())
	}
}

// HandleEmptyQuery implements transport.CommandHandler. Clients send empty queries to learn whether the router is ready.
func (r *Router) HandleEmptyQuery(slot *transport.Slot) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		if r.hasList {
			slot.AnswerEmptyQuery()
		} else {
			r.awaitingList = append(r.awaitingList, slot)
		}
	})
}

// ClientDisconnected implements transport.CommandHandler.
func (r *Router) ClientDisconnected(slot *transport.Slot) {
	r.queue.Put(eventloop.PriorityOutcomes, func() {
		if c := r.slots[slot]; c != nil {
			r.Disconnected.Add(1)
			r.forgetSlot(c)
			r.trace.Abandon(c.handle)
			c.handle.Abandon()
			r.forgetIfOver(c.handle)
		}
	})
}

// reject answers what is not a command, which costs less than serving one.
func (r *Router) reject(slot *transport.Slot, reason string) {
	r.Rejected.Add(1)
	slot.Reject(protocol.SyntaxError, reason)
}

// takeCommand brings a command to the module.
func (r *Router) takeCommand(slot *transport.Slot, statement []byte, group *policy.CommandGroup, parsed protocol.Command, deadline time.Time) {
	switch {
	case r.hasList && !r.replicaSets[parsed.ReplicaSet]: // the module would keep every number that clients make up
		r.reject(slot, "no host of replica set "+strconv.FormatInt(parsed.ReplicaSet, 10)+" has been listed")
		return
	case r.commands[parsed.ID] != nil: // ids are unique; the first command may have had its effect
		r.reject(slot, "the id of a command that is open")
		return
	}
	slot.CommandAccepted()
	now := r.advanceClock()
	sinceWrite := policy.TenthMs(0)
	if parsed.WrittenAtMs > 0 { // a commit's time is rounded up, so that the read is not too early
		sinceWrite = max(1, now-setup.RoundUp(parsed.WrittenAtMs))
	}
	c := &command{slot: slot, statement: statement, deadline: deadline}
	r.commands[parsed.ID], r.slots[slot] = c, c
	r.Taken.Add(1)
	timeout := now + policy.TenthMs(time.Until(deadline)/clock.Tenth)
	previewed := r.preview.command(r.policy, group, parsed.ReplicaSet, parsed.Key, timeout, sinceWrite, parsed.IsRetry)
	r.trace.Submit(parsed.ID, r.groups[group], parsed.ReplicaSet, parsed.Key, timeout, sinceWrite, parsed.IsRetry)
	c.handle = r.policy.Submit(parsed.ID, group, parsed.ReplicaSet, parsed.Key, timeout, sinceWrite, parsed.IsRetry)
	r.trace.AssignHandle(c.handle)
	previewed.compare(c.handle)
	r.forgetIfOver(c.handle)
}

// commandEnded brings the outcome of a command's dispatch to the module.
func (r *Router) commandEnded(c *command, answer transport.Answer) {
	c.inFlight = nil
	r.Outcomes[answer.Outcome].Add(1)
	if answer.Outcome == policy.Answered && c.slot != nil {
		r.Answered.Add(1)
		c.slot.Answer(answer.Frames)
		r.forgetSlot(c)
	}
	r.applyLoadReport(c.handle.Host, answer.LoadReport)
	position, role := setup.ParseHostStatus(answer.Position, answer.Role, r.maxPositionMs())
	elapsed := policy.TenthMs(answer.Elapsed / clock.Tenth)
	if h := r.nodes[c.handle.Host]; h != nil && r.start.Deployment.UsesPlanners {
		now := r.clock.Now()
		h.noteAnswer(c.handle, answer.Outcome, position, role, now-elapsed, now, elapsed)
	}
	r.trace.EndDispatch(c.handle, answer.Outcome, position, role, elapsed, c.slot == nil)
	c.handle.EndDispatch(answer.Outcome, position, role, elapsed, c.slot == nil)
	r.forgetIfOver(c.handle)
}

// applyLoadReport passes the position and role of a load report to the module.
func (r *Router) applyLoadReport(node *policy.Host, report string) {
	terms := r.start.Formats
	position, role, ok := terms.ParseLoadReport(func(i int) (float64, bool) { return protocol.LoadReportField(report, terms.Fields[i]) })
	if node != nil && ok && position >= 0 && float64(position) <= 10*r.maxPositionMs() {
		r.trace.ReportLoad(node, position, role)
		node.ReportLoad(position, role)
	}
}

// maxPositionMs is the greatest position that can be true, in milliseconds of Unix time: that of a commit now, rounded up.
// Guards against stale reads by positions of the future.
func (r *Router) maxPositionMs() float64 { return float64(r.clock.Now())/10 + positionMarginMs }

// forgetSlot notes that a command needs no answer any more.
func (r *Router) forgetSlot(c *command) {
	delete(r.slots, c.slot)
	c.slot = nil
}

// forgetIfOver forgets a command for which nothing more will come, whichever call into the module ended it.
func (r *Router) forgetIfOver(handle *policy.Command) {
	if handle.IsFinished() {
		r.trace.ReleaseCommand(handle)
		delete(r.commands, handle.Name)
	}
}
