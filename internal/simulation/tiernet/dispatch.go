package tiernet

import (
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// drainGrace is how long after the notice of a drain commands may still go to a host.
	drainGrace = second
	// boundTolerance is added to a staleness bound, for the time that a command is on its way.
	boundTolerance = 50 * millisecond
	// Range of the time that a command takes at a host.
	minWorkTime = 2 * millisecond
	maxWorkTime = 10 * millisecond
)

// maxLateness is the most that a report counts for one answer, in the units of policy.Cmd.Spent.
const maxLateness = 10

// thousandths is the scale of fractions in reports.
const thousandths = 1000

// dispatch is a command on its way to a host and back.
type dispatch struct {
	forwarder   *forwarderProcess
	incarnation int // of the forwarder
	command     *command
	host        *host
	serial      int
	sentAt      policy.TenthMs
	// staleBefore is the oldest position that a read with a staleness bound may see.
	staleBefore policy.TenthMs
	// excused says that the host was the primary, and the forwarder cannot know that it is no more. By the rule, a read there
	// may be stale.
	excused bool
}

// dispatch sends a command to a host, and checks that it may go there now.
func (f *forwarderProcess) dispatch(handle *policy.Command, node *policy.Host, timeout policy.TenthMs) {
	w, c, h := f.w, f.commands[handle.Name], f.w.host(f.nodeNames[node])
	if c == nil || c.answered {
		w.Violate("%s: %s is sent after its final answer", f.name, handle.Name)
		return
	}
	if c.dispatchSerial != 0 {
		w.Violate("%s: %s is out twice", f.name, handle.Name)
	}
	if drainedAt := f.drainedAt[h.name]; drainedAt != 0 && w.Now > drainedAt+drainGrace {
		w.Violate("%s: %s goes to %s, drained or gone %d ms ago", f.name, handle.Name, h.name, inMs(w.Now-drainedAt))
	}
	f.trace.Dispatch(handle, node, timeout)
	w.LastSerial++
	c.dispatchSerial = w.LastSerial
	if startedAt := node.ColdSince(); startedAt != 0 {
		f.observation(h.name).ColdWork += int64(handle.Work() * thousandths)
		f.observation(h.name).BootedAt = startedAt
	}
	d := &dispatch{
		forwarder:   f,
		incarnation: f.incarnation,
		command:     c,
		host:        h,
		serial:      c.dispatchSerial,
		sentAt:      w.Now,
		excused:     h.wasPrimary && !f.demoted[h.name],
	}
	if c.group.ConsistencyLevel == policy.BoundedStaleness {
		d.staleBefore = w.Now - c.group.MaxStaleness - boundTolerance
	}
	span := c.deadline - w.Now
	if timeout > 0 {
		span = min(span, timeout)
	}
	w.After(span, func() { d.end(policy.TimedOut, noPosition, policy.UnknownRole) })
	w.afterNetwork(d.arrive)
}

// arrive runs the command at the host, or finds it down.
func (d *dispatch) arrive() {
	w, h := d.forwarder.w, d.host
	if !h.up {
		w.afterNetwork(func() { d.end(policy.Unreachable, noPosition, policy.UnknownRole) })
		return
	}
	h.checkOverload(d.forwarder)
	if h.hanging {
		h.queued = append(h.queued, d.run)
		return
	}
	startedAt := h.startedAt
	w.After(w.Between(minWorkTime, maxWorkTime), func() {
		if !h.up || h.startedAt != startedAt {
			d.end(policy.Reset, noPosition, policy.UnknownRole)
			return
		}
		d.run()
	})
}

func (d *dispatch) run() {
	if d.command.group.ConsistencyLevel == policy.Write {
		d.write()
	} else {
		d.read()
	}
}

// write commits at the primary, and checks that the command runs once.
func (d *dispatch) write() {
	w, name := d.forwarder.w, d.command.handle.Name
	position, role := d.host.position(), d.host.role()
	if role != policy.Primary {
		w.afterNetwork(func() { d.end(policy.Misrouted, position, role) })
		return
	}
	w.executions[name]++
	if runs := w.executions[name]; runs > 1 {
		w.Violate("%s ran %d times", name, runs)
	}
	set, electedAt := d.host.set, d.host.set.electedAt
	w.afterNetwork(func() {
		if d.forwarder.up && !d.command.answered {
			w.lastCommits[d.command.session] = max(w.lastCommits[d.command.session], position)
			d.noteFollowing(set, electedAt)
		}
		const roundUp = millisecond - 1 // positions on the wire are whole milliseconds
		d.end(policy.Answered, position+roundUp, role)
	})
}

// noteFollowing notes how soon after an election the forwarder has a write answered by the new primary.
func (d *dispatch) noteFollowing(set *replicaSet, electedAt policy.TenthMs) {
	f := d.forwarder
	if electedAt != 0 && set.electedAt == electedAt && set.following != nil && !set.following[f] {
		set.following[f] = true
		f.w.FollowTimes = append(f.w.FollowTimes, f.w.Now-electedAt)
	}
}

// read checks that the host has what the command must see.
func (d *dispatch) read() {
	f, h := d.forwarder, d.host
	position, role := h.position(), h.role()
	required := max(d.command.requiredPosition, d.staleBefore)
	if position < required && !d.excused && role != policy.Primary {
		f.w.Violate("%s: %s reads at %s %d ms too old", f.name, d.command.handle.Name, h.name, inMs(required-position))
	}
	f.w.afterNetwork(func() { d.end(policy.Answered, position/millisecond*millisecond, role) })
}

// end brings the outcome to the forwarder, unless the dispatch has ended otherwise before, as by its timeout.
func (d *dispatch) end(outcome policy.Outcome, position policy.TenthMs, role policy.Role) {
	if d.forwarder.isRunning(d.incarnation) && d.command.dispatchSerial == d.serial {
		d.forwarder.dispatchEnded(d, outcome, position, role)
	}
}

// dispatchEnded reports an outcome to the module, and notes what the answer says for the next report.
func (f *forwarderProcess) dispatchEnded(d *dispatch, outcome policy.Outcome, position policy.TenthMs, role policy.Role) {
	w, c := f.w, d.command
	c.dispatchSerial = 0
	f.updateClock()
	took := w.Now - d.sentAt
	if outcome == policy.Answered && !c.answered {
		f.countFinalAnswer(c.handle, &w.Answered)
	}
	observation := f.observation(d.host.name)
	if position >= 0 {
		observation.Observe(position, role, d.sentAt >= f.lastObserved[d.host.name])
		f.lastObserved[d.host.name] = w.Now
		f.demoted[d.host.name] = role == policy.Replica
	}
	if outcome == policy.Answered {
		observation.Responses++
		observation.LatenessSum += uint32(min(maxLateness, c.handle.TargetFraction(took)) * thousandths)
	}
	f.trace.EndDispatch(c.handle, outcome, position, role, took, c.answered)
	c.handle.EndDispatch(outcome, position, role, took, c.answered)
	f.forgetFinished(c.handle)
}

// observation returns what answers of a host have said since the last report.
func (f *forwarderProcess) observation(hostName string) *link.Observation {
	if f.observations[hostName] == nil {
		f.observations[hostName] = &link.Observation{Evidence: view.Evidence{Name: hostName}}
	}
	return f.observations[hostName]
}
