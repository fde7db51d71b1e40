package replay

import (
	"fmt"
	"math"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

func (r *Replay) startModule(now int64) { r.module = policy.New(r, r.deployment, now) }

// replaceModule starts another module, as the router does for one that panicked.
// Its hosts are introduced again after it.
func (r *Replay) replaceModule(now int64) {
	clear(r.commands)
	clear(r.commandNumbers)
	clear(r.hostNumbers)
	r.startModule(now)
}

// introduceHost introduces a host to the module. The event is recorded after the
// call, which asks for nothing.
func (r *Replay) introduceHost(event format.Event) {
	number, set := event.Ints[0], event.Ints[1]
	r.module.SetTime(event.At)
	node := r.module.AddHost(event.Texts[0], set)
	r.hosts[number], r.hostNumbers[node] = node, number
}

// call makes a call into the module.
func (r *Replay) call(event format.Event) error {
	switch event.Kind {
	case record.Listed, record.Reported, record.Probed, record.Told:
		return r.callHost(event)
	case record.Take:
		return r.take(event)
	case record.Ended, record.Left:
		return r.callCommand(event)
	}
	numbers := event.Ints
	switch event.Kind {
	case record.ListDone:
		r.module.EndList(isSet(numbers[0]))
	case record.Unlisted:
		r.module.ListUnavailable()
	case record.Heard:
		r.module.ReceivePeerUpdate(event.Texts[0])
	case record.Woke:
		r.module.WakeUp()
	case record.Count:
		r.module.SetRouterCount(int(numbers[0]), isSet(numbers[1]))
	}
	return nil
}

// callHost makes a call on a host's handle. The first number of the event is the host's.
func (r *Replay) callHost(event format.Event) error {
	node := r.hosts[event.Ints[0]]
	if node == nil {
		return fmt.Errorf("%w: event %d is of a host that was never introduced", ErrPart, r.eventNumber)
	}
	numbers := event.Ints[1:]
	switch event.Kind {
	case record.Listed:
		size := math.Float64frombits(uint64(numbers[2]))
		node.UpdateListing(policy.ListState(numbers[0]), isSet(numbers[1]), event.Texts[0], event.Texts[1], size, numbers[3])
	case record.Reported:
		node.ReportLoad(numbers[0], policy.Role(numbers[1]))
	case record.Probed:
		node.EndProbe(isSet(numbers[0]))
	case record.Told:
		node.ApplyPlannerUpdate(numbers[0], policy.Role(numbers[1]), numbers[2], numbers[3])
	}
	return nil
}

// take makes the call for a new command.
func (r *Replay) take(event format.Event) error {
	numbers := event.Ints
	number, group, set, timeout, since, again := numbers[0], numbers[1], numbers[2], numbers[3], numbers[4], isSet(numbers[5])
	if group < 0 || group >= int64(len(r.deployment.Groups)) {
		return fmt.Errorf("event %d: command group %d of %d", r.eventNumber, group, len(r.deployment.Groups))
	}
	r.pendingCommand = number
	command := r.module.Submit(event.Texts[0], r.deployment.Groups[group], set, event.Texts[1], timeout, since, again)
	r.pendingCommand = 0
	if !command.IsFinished() {
		r.commands[number], r.commandNumbers[command] = command, number
	}
	return nil
}

// callCommand makes a call on a command's handle. The first number of the event is the command's.
func (r *Replay) callCommand(event format.Event) error {
	number := event.Ints[0]
	command := r.commands[number]
	if command == nil {
		return fmt.Errorf("%w: event %d is of a command that was never taken", ErrPart, r.eventNumber)
	}
	numbers := event.Ints[1:]
	switch event.Kind {
	case record.Ended:
		command.EndDispatch(policy.Outcome(numbers[0]), numbers[1], policy.Role(numbers[2]), numbers[3], isSet(numbers[4]))
	case record.Left:
		command.Abandon()
	}
	if command.IsFinished() {
		delete(r.commands, number)
		delete(r.commandNumbers, command)
	}
	return nil
}

// isSet reads a flag of an event.
func isSet(number int64) bool { return number == 1 }
