package record

import (
	"math"

	"ferrypitch/policy"
)

// The methods in this file record calls into the decision module, and are named for
// the methods of policy that they stand for. Each is called before the call itself,
// except for Host, which needs the handle that the module returns.

// Host records that a host was introduced.
func (r *Recorder) Host(node *policy.Host, set int64) {
	if r == nil {
		return
	}
	r.lastHost++
	r.hosts[node] = r.lastHost
	r.addEvent(Host, []int64{r.lastHost, set}, []string{node.Name})
}

// Listed records what discovery lists of a host.
func (r *Recorder) Listed(node *policy.Host, standing policy.ListState, leader bool, zone, model string, size float64, boot policy.TenthMs) {
	if r != nil {
		sizeBits := int64(math.Float64bits(size))
		r.addEvent(Listed, []int64{r.hosts[node], int64(standing), flag(leader), sizeBits, boot}, []string{zone, model})
	}
}

// ListDone records the end of a list.
func (r *Recorder) ListDone(whole bool) {
	if r != nil {
		r.addNumbers(ListDone, flag(whole))
	}
}

// Unlisted records that the list was refused, or that its watch ended.
func (r *Recorder) Unlisted() {
	if r != nil {
		r.addNumbers(Unlisted)
	}
}

// Take records a new command, before the module's Take; Taken must be called with
// the handle that it returns. What the module asks for in between belongs to the
// new command, whose handle the recorder does not know yet.
func (r *Recorder) Take(id string, group int, set int64, session string, timeout, since policy.TenthMs, again bool) {
	if r == nil {
		return
	}
	if !r.isSampled(session) {
		r.pendingCommand = notSampled
		return
	}
	r.lastCommand++
	r.pendingCommand = r.lastCommand
	r.addEvent(Take, []int64{r.pendingCommand, int64(group), set, timeout, since, flag(again)}, []string{id, session})
}

// Taken assigns the handle of the command of the last Take. It records no event.
func (r *Recorder) Taken(command *policy.Command) {
	if r == nil {
		return
	}
	if r.pendingCommand != notSampled && !command.IsFinished() {
		r.commands[command] = r.pendingCommand
	}
	r.pendingCommand = 0
}

// Ended records the outcome of a dispatch. over says that the
// command has had its final answer.
func (r *Recorder) Ended(command *policy.Command, outcome policy.Outcome, position policy.TenthMs, role policy.Role, took policy.TenthMs, over bool) {
	if r == nil {
		return
	}
	if number := r.commandNumber(command); number != 0 {
		r.addNumbers(Ended, number, int64(outcome), position, int64(role), took, flag(over))
	}
}

// Settled forgets a command for which nothing more comes. It records no event.
func (r *Recorder) Settled(command *policy.Command) {
	if r != nil {
		delete(r.commands, command)
	}
}

// Left records that the client of a command has disconnected.
func (r *Recorder) Left(command *policy.Command) {
	if r == nil {
		return
	}
	if number := r.commandNumber(command); number != 0 {
		r.addNumbers(Left, number)
	}
}

// Reported records the position and role that a host reported.
func (r *Recorder) Reported(node *policy.Host, position policy.TenthMs, role policy.Role) {
	if r != nil {
		r.addNumbers(Reported, r.hosts[node], position, int64(role))
	}
}

// Probed records the end of a probe.
func (r *Recorder) Probed(node *policy.Host, ok bool) {
	if r != nil {
		r.addNumbers(Probed, r.hosts[node], flag(ok))
	}
}

// Heard records a message of another router.
func (r *Recorder) Heard(body string) {
	if r != nil {
		r.addEvent(Heard, nil, []string{body})
	}
}

// Woke records that a time that the module asked for by Wake has come.
func (r *Recorder) Woke() {
	if r != nil {
		r.addNumbers(Woke)
	}
}

// Told records what planners state of a host.
func (r *Recorder) Told(node *policy.Host, position policy.TenthMs, role policy.Role, rolePosition, lateness policy.TenthMs) {
	if r != nil {
		r.addNumbers(Told, r.hosts[node], position, int64(role), rolePosition, lateness)
	}
}

// Count records how many routers share the hosts, and whether no planner is current.
func (r *Recorder) Count(routers int, blind bool) {
	if r != nil {
		r.addNumbers(Count, int64(routers), flag(blind))
	}
}

// Anew records that another module has replaced one that panicked. The hosts are
// introduced again after it.
func (r *Recorder) Anew() {
	if r != nil {
		clear(r.commands)
		r.addNumbers(Anew)
	}
}
