package record

import "ferrypitch/policy"

// The methods in this file record the calls of policy.Caller's methods, whose names they have.

// Dispatch records that a command is dispatched to a host, preceded, if candidates are
// recorded, by the hosts that the module could have chosen.
func (r *Recorder) Dispatch(command *policy.Command, host *policy.Host, timeout policy.TenthMs) {
	if r == nil {
		return
	}
	number := r.commandNumber(command)
	if number == 0 {
		return
	}
	if r.recordCandidates {
		command.VisitMembers(func(member *policy.Host, state policy.MemberState) {
			r.addNumbers(Candidate, number, r.hosts[member], int64(state.ListState), int64(state.Role), state.Position,
				int64(state.InFlight), int64(state.LatencyRatio*thousandths), int64(state.Share*thousandths), state.Flags)
		})
	}
	r.addNumbers(Dispatch, number, r.hosts[host], timeout, command.SendBy, command.NeededPosition(), int64(command.Work()*thousandths))
}

// RejectRetryable records that a command is rejected and after which delay its client may retry.
func (r *Recorder) RejectRetryable(command *policy.Command, retryAfter policy.TenthMs) {
	if r == nil {
		return
	}
	if number := r.commandNumber(command); number != 0 {
		r.addNumbers(RejectRetryable, number, retryAfter)
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

// Probe records that the module requested a probe of a host.
func (r *Recorder) Probe(host *policy.Host) {
	if r != nil {
		r.addNumbers(Probe, r.hosts[host])
	}
}

// CloseIdleConns records that the module closed the idle connections to a host.
func (r *Recorder) CloseIdleConns(host *policy.Host) {
	if r != nil {
		r.addNumbers(CloseIdleConns, r.hosts[host])
	}
}

// ReleaseHost records that the module released a host, and removes the host's handle.
func (r *Recorder) ReleaseHost(host *policy.Host) {
	if r != nil {
		r.addNumbers(ReleaseHost, r.hosts[host])
		delete(r.hosts, host)
	}
}

// Broadcast records a message to the other routers.
func (r *Recorder) Broadcast(body string) {
	if r != nil {
		r.addEvent(Broadcast, nil, []string{body})
	}
}

// ScheduleWakeUp records that the module scheduled a wake-up.
func (r *Recorder) ScheduleWakeUp(after policy.TenthMs) {
	if r != nil {
		r.addNumbers(ScheduleWakeUp, after)
	}
}

// RequestHostList records that the module requested the host list.
func (r *Recorder) RequestHostList() {
	if r != nil {
		r.addNumbers(RequestHostList)
	}
}
