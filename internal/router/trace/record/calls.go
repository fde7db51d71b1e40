package record

import (
	"math"

	"ferrypitch/policy"
)

// The methods in this file record calls into the decision module, mostly under the names of
// the methods called. Each is called before the call that it records, except for AddHost,
// which requires the handle that the module returns.

// AddHost records that a host was added.
func (r *Recorder) AddHost(host *policy.Host, set int64) {
	if r == nil {
		return
	}
	r.lastHost++
	r.hosts[host] = r.lastHost
	r.addEvent(AddHost, []int64{r.lastHost, set}, []string{host.Name})
}

// UpdateListing records a host's entry in the host list.
func (r *Recorder) UpdateListing(
	host *policy.Host, state policy.ListState, isPrimary bool, zone, model string, size float64, bootedAt policy.TenthMs,
) {
	if r != nil {
		sizeBits := int64(math.Float64bits(size))
		r.addEvent(UpdateListing, []int64{r.hosts[host], int64(state), flag(isPrimary), sizeBits, bootedAt}, []string{zone, model})
	}
}

// EndList records the end of a host list, and whether the list was complete.
func (r *Recorder) EndList(complete bool) {
	if r != nil {
		r.addNumbers(EndList, flag(complete))
	}
}

// ListUnavailable records that a request for the host list was refused, or that the subscription to it ended.
func (r *Recorder) ListUnavailable() {
	if r != nil {
		r.addNumbers(ListUnavailable)
	}
}

// Submit records a new command, before the call of the module's Submit; AssignHandle must be
// called with the handle that Submit returns. Until then, actions of the module for an unknown
// handle are recorded as actions for the new command.
func (r *Recorder) Submit(id string, group int, set int64, session string, timeout, sinceWrite policy.TenthMs, isRetry bool) {
	if r == nil {
		return
	}
	if !r.isSampled(session) {
		r.pendingCommand = notSampled
		return
	}
	r.lastCommand++
	r.pendingCommand = r.lastCommand
	r.addEvent(Submit, []int64{r.pendingCommand, int64(group), set, timeout, sinceWrite, flag(isRetry)}, []string{id, session})
}

// AssignHandle assigns a handle to the command of the last Submit. It records no event.
func (r *Recorder) AssignHandle(command *policy.Command) {
	if r == nil {
		return
	}
	if r.pendingCommand != notSampled && !command.IsFinished() {
		r.commands[command] = r.pendingCommand
	}
	r.pendingCommand = 0
}

// EndDispatch records the outcome of a dispatch. finished means that the command needs no further answer.
func (r *Recorder) EndDispatch(
	command *policy.Command, outcome policy.Outcome, position policy.TenthMs, role policy.Role, latency policy.TenthMs, finished bool,
) {
	if r == nil {
		return
	}
	if number := r.commandNumber(command); number != 0 {
		r.addNumbers(EndDispatch, number, int64(outcome), position, int64(role), latency, flag(finished))
	}
}

// ReleaseCommand removes the handle of a command that has no further events. It records no event.
func (r *Recorder) ReleaseCommand(command *policy.Command) {
	if r != nil {
		delete(r.commands, command)
	}
}

// Abandon records that the client of a command disconnected.
func (r *Recorder) Abandon(command *policy.Command) {
	if r == nil {
		return
	}
	if number := r.commandNumber(command); number != 0 {
		r.addNumbers(Abandon, number)
	}
}

// ReportLoad records the position and role in a host's load report.
func (r *Recorder) ReportLoad(host *policy.Host, position policy.TenthMs, role policy.Role) {
	if r != nil {
		r.addNumbers(ReportLoad, r.hosts[host], position, int64(role))
	}
}

// EndProbe records the result of a probe.
func (r *Recorder) EndProbe(host *policy.Host, ok bool) {
	if r != nil {
		r.addNumbers(EndProbe, r.hosts[host], flag(ok))
	}
}

// ReceivePeerUpdate records a message from another router.
func (r *Recorder) ReceivePeerUpdate(body string) {
	if r != nil {
		r.addEvent(ReceivePeerUpdate, nil, []string{body})
	}
}

// WakeUp records a wake-up that the module had scheduled.
func (r *Recorder) WakeUp() {
	if r != nil {
		r.addNumbers(WakeUp)
	}
}

// ApplyPlannerUpdate records a planner's update about a host. roleAt is the position at which the role was stated.
func (r *Recorder) ApplyPlannerUpdate(host *policy.Host, position policy.TenthMs, role policy.Role, roleAt, latency policy.TenthMs) {
	if r != nil {
		r.addNumbers(ApplyPlannerUpdate, r.hosts[host], position, int64(role), roleAt, latency)
	}
}

// SetRouterCount records the number of routers that share the hosts, and whether no planner is current.
func (r *Recorder) SetRouterCount(routers int, noPlanner bool) {
	if r != nil {
		r.addNumbers(SetRouterCount, int64(routers), flag(noPlanner))
	}
}

// ReplaceModule records that a new module replaced one that panicked. The hosts are added again
// afterwards.
func (r *Recorder) ReplaceModule() {
	if r != nil {
		clear(r.commands)
		r.addNumbers(ReplaceModule)
	}
}
