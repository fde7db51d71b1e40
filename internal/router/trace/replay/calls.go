package replay

import (
	"fmt"
	"math"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

func (r *Replay) startModule(now int64) { r.module = policy.New(r, r.deployment, now) }

// replaceModule starts a new module, as the router does after a panic. The trace adds the
// hosts again afterwards.
func (r *Replay) replaceModule(now int64) {
	clear(r.commands)
	clear(r.commandNumbers)
	clear(r.hostNumbers)
	r.startModule(now)
}

// addHost adds a host to the module. Its event is recorded after the call, unlike others, which
// makes no difference since the call causes no action.
func (r *Replay) addHost(event format.Event) {
	number, set := event.Ints[0], event.Ints[1]
	r.module.SetTime(event.At)
	host := r.module.AddHost(event.Texts[0], set)
	r.hosts[number], r.hostNumbers[host] = host, number
}

// call makes the call of an event.
func (r *Replay) call(event format.Event) error {
	switch event.Kind {
	case record.UpdateListing, record.ReportLoad, record.EndProbe, record.ApplyPlannerUpdate:
		return r.callHost(event)
	case record.Submit:
		return r.submit(event)
	case record.EndDispatch, record.Abandon:
		return r.callCommand(event)
	}
	numbers := event.Ints
	switch event.Kind {
	case record.EndList:
		r.module.EndList(isSet(numbers[0]))
	case record.ListUnavailable:
		r.module.ListUnavailable()
	case record.ReceivePeerUpdate:
		r.module.ReceivePeerUpdate(event.Texts[0])
	case record.WakeUp:
		r.module.WakeUp()
	case record.SetRouterCount:
		r.module.SetRouterCount(int(numbers[0]), isSet(numbers[1]))
	}
	return nil
}

// callHost calls a method of a host. The first number of the event identifies the host.
func (r *Replay) callHost(event format.Event) error {
	host := r.hosts[event.Ints[0]]
	if host == nil {
		return fmt.Errorf("%w: event %d refers to a host that was never added", ErrIncomplete, r.eventNumber)
	}
	numbers := event.Ints[1:]
	switch event.Kind {
	case record.UpdateListing:
		size := math.Float64frombits(uint64(numbers[2]))
		host.UpdateListing(policy.ListState(numbers[0]), isSet(numbers[1]), event.Texts[0], event.Texts[1], size, numbers[3])
	case record.ReportLoad:
		host.ReportLoad(numbers[0], policy.Role(numbers[1]))
	case record.EndProbe:
		host.EndProbe(isSet(numbers[0]))
	case record.ApplyPlannerUpdate:
		host.ApplyPlannerUpdate(numbers[0], policy.Role(numbers[1]), numbers[2], numbers[3])
	}
	return nil
}

// submit submits a new command.
func (r *Replay) submit(event format.Event) error {
	numbers := event.Ints
	number, group, set, timeout, sinceWrite := numbers[0], numbers[1], numbers[2], numbers[3], numbers[4]
	if group < 0 || group >= int64(len(r.deployment.Groups)) {
		return fmt.Errorf("event %d: command group %d is not one of %d groups", r.eventNumber, group, len(r.deployment.Groups))
	}
	r.pendingCommand = number
	command := r.module.Submit(event.Texts[0], r.deployment.Groups[group], set, event.Texts[1], timeout, sinceWrite)
	r.pendingCommand = 0
	if !command.IsFinished() {
		r.commands[number], r.commandNumbers[command] = command, number
	}
	return nil
}

// callCommand calls a method of a command. The first number of the event identifies the command.
func (r *Replay) callCommand(event format.Event) error {
	number := event.Ints[0]
	command := r.commands[number]
	if command == nil {
		return fmt.Errorf("%w: event %d refers to a command that was never submitted", ErrIncomplete, r.eventNumber)
	}
	numbers := event.Ints[1:]
	switch event.Kind {
	case record.EndDispatch:
		command.EndDispatch(policy.Outcome(numbers[0]), numbers[1], policy.Role(numbers[2]), numbers[3], isSet(numbers[4]))
	case record.Abandon:
		command.Abandon()
	}
	if command.IsFinished() {
		delete(r.commands, number)
		delete(r.commandNumbers, command)
	}
	return nil
}

// isSet decodes a flag of an event.
func isSet(number int64) bool { return number == 1 }
