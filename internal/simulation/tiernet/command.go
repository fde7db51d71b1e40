package tiernet

import (
	"slices"
	"strconv"

	"ferrypitch/policy"
)

const (
	// sessionCount is the number of sessions in a world.
	sessionCount = 40
	// answerMargin is how long before the client timeout the deadline of a command is. The check allows an answer until the
	// timeout.
	answerMargin = 4 * millisecond
)

// command is a command in progress at a forwarder.
type command struct {
	handle   *policy.Command
	group    *policy.CommandGroup
	session  string
	deadline policy.TenthMs
	// requiredPosition is the position that a read must see because of its session's last write, or 0. For reads with a
	// staleness bound, the required position depends on the dispatch time; see dispatch.staleBefore.
	requiredPosition policy.TenthMs
	answered         bool
	dispatchSerial   int // serial number of the dispatch in flight; 0 if there is none
}

// receiveCommand submits a command of a random group and session to the decision module.
func (f *forwarderProcess) receiveCommand() {
	w := f.w
	w.Received++
	id := "c" + strconv.Itoa(w.Received)
	group := f.groups[w.Rand.IntN(len(f.groups))]
	sessionNumber := w.Rand.IntN(sessionCount)
	session := "s" + strconv.Itoa(sessionNumber)
	set := w.sets[sessionNumber%len(w.sets)]
	f.updateClock()
	c := &command{group: group, session: session, deadline: w.Now + group.Timeout - answerMargin}
	var sinceWrite policy.TenthMs
	if group.ConsistencyLevel == policy.ReadYourWrites {
		c.requiredPosition = w.lastCommits[session]
		if c.requiredPosition > 0 {
			sinceWrite = max(1, w.Now-c.requiredPosition)
		}
	}
	incarnation := f.incarnation
	w.After(group.Timeout, func() {
		if f.isRunning(incarnation) && !c.answered {
			w.RecordViolation("%s: %s is not answered within its client timeout", f.name, id)
		}
	})
	f.commands[id] = c
	f.trace.Submit(id, slices.Index(f.groups, group), set.id, session, c.deadline, sinceWrite, false)
	c.handle = f.module.Submit(id, group, set.id, session, c.deadline, sinceWrite)
	f.trace.AssignHandle(c.handle)
	f.forgetFinished(c.handle)
}

// countFinalAnswer counts the final answer to a command, and checks that it is the only one and arrives in time.
func (f *forwarderProcess) countFinalAnswer(handle *policy.Command, count *int) {
	w, c := f.w, f.commands[handle.Name]
	if c == nil || c.answered {
		w.RecordViolation("%s: %s has a second final answer", f.name, handle.Name)
		return
	}
	if w.Now > c.deadline+answerMargin {
		w.RecordViolation("%s: %s is answered after its client timeout", f.name, handle.Name)
	}
	c.answered = true
	*count++
}

// forgetFinished removes a command that is answered and has no dispatch in flight.
func (f *forwarderProcess) forgetFinished(handle *policy.Command) {
	if c := f.commands[handle.Name]; c != nil && c.answered && handle.IsFinished() {
		f.trace.ReleaseCommand(handle)
		delete(f.commands, handle.Name)
	}
}
