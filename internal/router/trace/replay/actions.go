package replay

import (
	"fmt"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

// The lines that describe what the module asks for, as a recorded event and as a
// call of policy.Caller. The two must agree; a user sees them in a Difference.
const (
	dispatchLine  = "dispatch %d to %d, timeout %d, by %d, for %d"
	throttleLine  = "throttle %d, back after %d"
	failLine      = "fail %d"
	candidateLine = "candidate %d: host %d, standing %d, role %d, position %d, out %d, late %d, share %d, state %d"
	tellLine      = "tell %s"
	watchLine     = "watch"
	otherLine     = "%s %d" // of Probe, Close, Forget and Wake: the name of the kind and its number
)

// thousandths is the unit of lateness and shares in events.
const thousandths = 1000

// describe returns the line of a recorded event.
func describe(event format.Event) string {
	numbers := event.Ints
	switch event.Kind {
	case record.Dispatch:
		return fmt.Sprintf(dispatchLine, numbers[0], numbers[1], numbers[2], numbers[3], numbers[4])
	case record.Throttle:
		return fmt.Sprintf(throttleLine, numbers[0], numbers[1])
	case record.Fail:
		return fmt.Sprintf(failLine, numbers[0])
	case record.Candidate:
		return fmt.Sprintf(candidateLine, numbers[0], numbers[1], numbers[2], numbers[3], numbers[4], numbers[5], numbers[6],
			numbers[7], numbers[8])
	case record.Tell:
		return fmt.Sprintf(tellLine, event.Texts[0])
	case record.Watch:
		return watchLine
	}
	return describeOther(event.Kind, numbers[0])
}

func describeOther(kind int, number int64) string {
	return fmt.Sprintf(otherLine, record.Schema[kind].Name, number)
}

func (r *Replay) addReplayed(line string, args ...any) {
	r.replayed = append(r.replayed, fmt.Sprintf(line, args...))
}

// commandNumber returns the number that a command has in the trace.
func (r *Replay) commandNumber(command *policy.Command) int64 {
	if number, known := r.commandNumbers[command]; known {
		return number
	}
	return r.pendingCommand
}

// Dispatch implements policy.Caller.
func (r *Replay) Dispatch(command *policy.Command, node *policy.Host, timeout policy.TenthMs) {
	number := r.commandNumber(command)
	command.VisitMembers(func(member *policy.Host, seen policy.MemberState) {
		r.addReplayed(candidateLine, number, r.hostNumbers[member], seen.ListState, seen.Role, seen.Position, seen.InFlight,
			int64(seen.LatencyRatio*thousandths), int64(seen.Share*thousandths), seen.Flags)
	})
	r.addReplayed(dispatchLine, number, r.hostNumbers[node], timeout, command.SendBy, command.NeededPosition())
}

// RejectRetryable implements policy.Caller.
func (r *Replay) RejectRetryable(command *policy.Command, comeback policy.TenthMs) {
	r.addReplayed(throttleLine, r.commandNumber(command), comeback)
}

// Fail implements policy.Caller.
func (r *Replay) Fail(command *policy.Command) { r.addReplayed(failLine, r.commandNumber(command)) }

// Probe implements policy.Caller.
func (r *Replay) Probe(node *policy.Host) { r.addOther(record.Probe, r.hostNumbers[node]) }

// CloseIdleConns implements policy.Caller.
func (r *Replay) CloseIdleConns(node *policy.Host) { r.addOther(record.Close, r.hostNumbers[node]) }

// RequestHostList implements policy.Caller.
func (r *Replay) RequestHostList() { r.addReplayed(watchLine) }

// Broadcast implements policy.Caller.
func (r *Replay) Broadcast(body string) { r.addReplayed(tellLine, body) }

// ScheduleWakeUp implements policy.Caller.
func (r *Replay) ScheduleWakeUp(after policy.TenthMs) { r.addOther(record.Wake, after) }

// ReleaseHost implements policy.Caller.
func (r *Replay) ReleaseHost(node *policy.Host) {
	number := r.hostNumbers[node]
	r.addOther(record.Forget, number)
	delete(r.hosts, number)
	delete(r.hostNumbers, node)
}

func (r *Replay) addOther(kind int, number int64) {
	r.replayed = append(r.replayed, describeOther(kind, number))
}
