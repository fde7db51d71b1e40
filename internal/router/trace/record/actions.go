package record

import "ferrypitch/policy"

// The methods in this file record the calls of the methods of policy.Caller: Throttle
// records RejectRetryable, Close CloseIdleConns, Forget ReleaseHost, Watch RequestHostList,
// Tell Broadcast and Wake ScheduleWakeUp.

// Dispatch records that a command is sent to a host, and with candidates the hosts
// that it could have been sent to.
func (r *Recorder) Dispatch(command *policy.Command, node *policy.Host, timeout policy.TenthMs) {
	if r == nil {
		return
	}
	number := r.commandNumber(command)
	if number == 0 {
		return
	}
	if r.withCandidates {
		command.VisitMembers(func(member *policy.Host, seen policy.MemberState) {
			r.addNumbers(Candidate, number, r.hosts[member], int64(seen.ListState), int64(seen.Role), seen.Position,
				int64(seen.InFlight), int64(seen.LatencyRatio*thousandths), int64(seen.Share*thousandths), seen.Flags)
		})
	}
	r.addNumbers(Dispatch, number, r.hosts[node], timeout, command.SendBy, command.NeededPosition(), int64(command.Work()*thousandths))
}

// Throttle records that a command is rejected, and when its client may retry.
func (r *Recorder) Throttle(command *policy.Command, comeback policy.TenthMs) {
	if r == nil {
		return
	}
	if number := r.commandNumber(command); number != 0 {
		r.addNumbers(Throttle, number, comeback)
	}
}

// Fail records that a command fails.
func (r *Recorder) Fail(command *policy.Command) {
	if r == nil {
		return
	}
	if number := r.commandNumber(command); number != 0 {
		r.addNumbers(Fail, number)
	}
}

// Probe records that a host is to be probed.
func (r *Recorder) Probe(node *policy.Host) {
	if r != nil {
		r.addNumbers(Probe, r.hosts[node])
	}
}

// Close records that the idle connections of a host are to be closed.
func (r *Recorder) Close(node *policy.Host) {
	if r != nil {
		r.addNumbers(Close, r.hosts[node])
	}
}

// Forget records that the module has forgotten a host.
func (r *Recorder) Forget(node *policy.Host) {
	if r != nil {
		r.addNumbers(Forget, r.hosts[node])
		delete(r.hosts, node)
	}
}

// Tell records a message to the other routers.
func (r *Recorder) Tell(body string) {
	if r != nil {
		r.addEvent(Tell, nil, []string{body})
	}
}

// Wake records that the module is to be called after a time.
func (r *Recorder) Wake(after policy.TenthMs) {
	if r != nil {
		r.addNumbers(Wake, after)
	}
}

// Watch records that the module asked for a list.
func (r *Recorder) Watch() {
	if r != nil {
		r.addNumbers(Watch)
	}
}
