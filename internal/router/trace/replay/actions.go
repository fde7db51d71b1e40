package replay

import (
	"fmt"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

// Formats of the lines that describe an action of the module. Recorded events and calls of
// policy.Caller use the same formats, so that equal actions give equal lines. Users see the
// lines in a Difference.
const (
	dispatchLine        = "dispatch %d to host %d, timeout %d, send by %d, needed position %d"
	rejectLine          = "throttle %d, retry after %d"
	failLine            = "fail %d"
	candidateLine       = "candidate %d: host %d, list state %d, role %d, position %d, in flight %d, latency ratio %d, share %d, flags %d"
	broadcastLine       = "tell %s"
	requestHostListLine = "watch"
	genericLine         = "%s %d" // for Probe, CloseIdleConns, ReleaseHost and ScheduleWakeUp: name of the kind, and number of the host or delay
)

// thousandths is the scale of latency ratios and shares in events.
const thousandths = 1000

// describe returns the line for a recorded event.
func describe(event format.Event) string {
	numbers := event.Ints
	switch event.Kind {
	case record.Dispatch:
		return fmt.Sprintf(dispatchLine, numbers[0], numbers[1], numbers[2], numbers[3], numbers[4])
	case record.RejectRetryable:
		return fmt.Sprintf(rejectLine, numbers[0], numbers[1])
	case record.Fail:
		return fmt.Sprintf(failLine, numbers[0])
	case record.Candidate:
		return fmt.Sprintf(candidateLine, numbers[0], numbers[1], numbers[2], numbers[3], numbers[4], numbers[5], numbers[6],
			numbers[7], numbers[8])
	case record.Broadcast:
		return fmt.Sprintf(broadcastLine, event.Texts[0])
	case record.RequestHostList:
		return requestHostListLine
	}
	return describeGeneric(event.Kind, numbers[0])
}

func describeGeneric(kind int, number int64) string {
	return fmt.Sprintf(genericLine, record.Schema[kind].Name, number)
}

func (r *Replay) addReplayed(line string, args ...any) {
	r.replayed = append(r.replayed, fmt.Sprintf(line, args...))
}

// commandNumber returns the number of a command in the trace.
func (r *Replay) commandNumber(command *policy.Command) int64 {
	if number, known := r.commandNumbers[command]; known {
		return number
	}
	return r.pendingCommand
}

// Dispatch implements policy.Caller.
func (r *Replay) Dispatch(command *policy.Command, host *policy.Host, timeout policy.TenthMs) {
	number := r.commandNumber(command)
	command.VisitMembers(func(member *policy.Host, state policy.MemberState) {
		r.addReplayed(candidateLine, number, r.hostNumbers[member], state.ListState, state.Role, state.Position, state.InFlight,
			int64(state.LatencyRatio*thousandths), int64(state.Share*thousandths), state.Flags)
	})
	r.addReplayed(dispatchLine, number, r.hostNumbers[host], timeout, command.SendBy, command.NeededPosition())
}

// RejectRetryable implements policy.Caller.
func (r *Replay) RejectRetryable(command *policy.Command, retryAfter policy.TenthMs) {
	r.addReplayed(rejectLine, r.commandNumber(command), retryAfter)
}

// Fail implements policy.Caller.
func (r *Replay) Fail(command *policy.Command) { r.addReplayed(failLine, r.commandNumber(command)) }

// Probe implements policy.Caller.
func (r *Replay) Probe(host *policy.Host) { r.addGeneric(record.Probe, r.hostNumbers[host]) }

// CloseIdleConns implements policy.Caller.
func (r *Replay) CloseIdleConns(host *policy.Host) {
	r.addGeneric(record.CloseIdleConns, r.hostNumbers[host])
}

// RequestHostList implements policy.Caller.
func (r *Replay) RequestHostList() { r.addReplayed(requestHostListLine) }

// Broadcast implements policy.Caller.
func (r *Replay) Broadcast(body string) { r.addReplayed(broadcastLine, body) }

// ScheduleWakeUp implements policy.Caller.
func (r *Replay) ScheduleWakeUp(after policy.TenthMs) { r.addGeneric(record.ScheduleWakeUp, after) }

// ReleaseHost implements policy.Caller.
func (r *Replay) ReleaseHost(host *policy.Host) {
	number := r.hostNumbers[host]
	r.addGeneric(record.ReleaseHost, number)
	delete(r.hosts, number)
	delete(r.hostNumbers, host)
}

func (r *Replay) addGeneric(kind int, number int64) {
	r.replayed = append(r.replayed, describeGeneric(kind, number))
}
