package tiernet

import (
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// drainGrace is how long after the notice of a drain commands may still be sent to a host.
	drainGrace = second
	// boundTolerance is added to a staleness bound to allow for the network delay of a command.
	boundTolerance = 50 * millisecond
	// Range of the processing time of a command at a host.
	minWorkTime = 2 * millisecond
	maxWorkTime = 10 * millisecond
)

// thousandths is the scale of fractions in reports.
const thousandths = 1000

// dispatch is a command in flight to a host and back.
type dispatch struct {
	forwarder   *forwarderProcess
	incarnation int // of the forwarder
	command     *command
	host        *host
	serial      int
	sentAt      policy.TenthMs
	// staleBefore is the oldest position that the host may have for a read with a staleness bound; 0 for other commands.
	staleBefore policy.TenthMs
	// mayBeStale is set if the host was the primary and the forwarder can't know yet that it no longer is. The rule allows
	// stale reads at such a host.
	mayBeStale bool
}

// dispatch sends a command to a host, and checks that the host may receive it now.
func (f *forwarderProcess) dispatch(handle *policy.Command, node *policy.Host, timeout policy.TenthMs) {
	w, c, h := f.w, f.commands[handle.Name], f.w.host(f.moduleHostNames[node])
	if c == nil || c.answered {
		w.RecordViolation("%s: %s is sent after its final answer", f.name, handle.Name)
		return
	}
	if c.dispatchSerial != 0 {
		w.RecordViolation("%s: %s has two dispatches in flight", f.name, handle.Name)
	}
	if drainedAt := f.drainedAt[h.name]; drainedAt != 0 && w.Now > drainedAt+drainGrace {
		w.RecordViolation("%s: %s is sent to %s, which was drained or removed %d ms ago", f.name, handle.Name, h.name, inMs(w.Now-drainedAt))
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
		mayBeStale:  h.wasPrimary && !f.demoted[h.name],
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

// arrive runs the command at the host, or reports that the host is down.
func (d *dispatch) arrive() {
	w, h := d.forwarder.w, d.host
	if !h.up {
		w.afterNetwork(func() { d.end(policy.Unreachable, noPosition, policy.UnknownRole) })
		return
	}
	h.checkOverload(d.forwarder)
	if h.hung {
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

// write commits at the primary, and checks that the command runs only once.
func (d *dispatch) write() {
	w, name := d.forwarder.w, d.command.handle.Name
	position, role := d.host.position(), d.host.role()
	if role != policy.Primary {
		w.afterNetwork(func() { d.end(policy.Misrouted, position, role) })
		return
	}
	w.executions[name]++
	if runs := w.executions[name]; runs > 1 {
		w.RecordViolation("%s ran %d times", name, runs)
	}
	set, electedAt := d.host.set, d.host.set.electedAt
	w.afterNetwork(func() {
		if d.forwarder.up && !d.command.answered {
			w.lastCommits[d.command.session] = max(w.lastCommits[d.command.session], position)
			d.recordFirstWrite(set, electedAt)
		}
		const roundUp = millisecond - 1 // positions on the wire are whole milliseconds
		d.end(policy.Answered, position+roundUp, role)
	})
}

// recordFirstWrite records the time from an election until the forwarder has its first write answered by the new primary.
func (d *dispatch) recordFirstWrite(set *replicaSet, electedAt policy.TenthMs) {
	f := d.forwarder
	if electedAt != 0 && set.electedAt == electedAt && set.firstWriteDone != nil && !set.firstWriteDone[f] {
		set.firstWriteDone[f] = true
		f.w.FirstWriteTimes = append(f.w.FirstWriteTimes, f.w.Now-electedAt)
	}
}

// read checks that the host has the position that the command must see.
func (d *dispatch) read() {
	f, h := d.forwarder, d.host
	position, role := h.position(), h.role()
	required := max(d.command.requiredPosition, d.staleBefore)
	if position < required && !d.mayBeStale && role != policy.Primary {
		f.w.RecordViolation("%s: %s reads at %s, which is %d ms too old", f.name, d.command.handle.Name, h.name, inMs(required-position))
	}
	f.w.afterNetwork(func() { d.end(policy.Answered, position/millisecond*millisecond, role) })
}

// end reports the outcome to the forwarder, unless the dispatch has ended already, for example by its timeout.
func (d *dispatch) end(outcome policy.Outcome, position policy.TenthMs, role policy.Role) {
	if d.forwarder.isRunning(d.incarnation) && d.command.dispatchSerial == d.serial {
		d.forwarder.dispatchEnded(d, outcome, position, role)
	}
}

// dispatchEnded reports an outcome to the module, and adds what the answer says about the host to the next report.
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
		observation.LatenessSum += c.handle.ReportedLatency(took)
	}
	f.trace.EndDispatch(c.handle, outcome, position, role, took, c.answered)
	c.handle.EndDispatch(outcome, position, role, took, c.answered)
	f.forgetFinished(c.handle)
}

// observation returns the observation of a host that the next report will contain.
func (f *forwarderProcess) observation(hostName string) *link.Observation {
	if f.observations[hostName] == nil {
		f.observations[hostName] = &link.Observation{Evidence: view.Evidence{Name: hostName}}
	}
	return f.observations[hostName]
}
