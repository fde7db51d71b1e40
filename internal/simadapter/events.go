package simadapter

import (
	"fmt"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// eventHandler handles one type of event.
type eventHandler func(i *instance, event setup.Object)

// instanceEvents are the handlers of events that are for an instance.
var instanceEvents = map[string]eventHandler{
	"members":     (*instance).handleMembers,
	"ingress":     (*instance).handleIngress,
	"accepted":    func(*instance, setup.Object) {}, // it only tells the time
	"attempt_end": (*instance).handleAttemptEnd,
	"dropped":     (*instance).handleDropped,
	"status_back": (*instance).handleStatusBack,
	"peer_data":   func(i *instance, event setup.Object) { i.policy.ReceivePeerUpdate(event.Text("body")) },
	"ring":        func(i *instance, _ setup.Object) { i.policy.WakeUp() },
}

// handle tells the policy the time, handles an event, and forgets its command if that is complete.
func (i *instance) handle(handle eventHandler, event setup.Object) {
	i.policy.SetTime(setup.RoundUp(i.adapter.now))
	handle(i, event)
	name := event.OptionalText("req")
	if command := i.commands[name]; name != "" && command != nil {
		i.forgetIfOver(command)
	}
}

// standings are the states of hosts that aren't serving normally.
var standings = map[string]policy.ListState{"LAME": policy.Draining, "OUT": policy.Removed}

// handleMembers handles an endpoint list, whole or with changes only.
func (i *instance) handleMembers(event setup.Object) {
	mode := event.Text("mode")
	if mode == "refused" {
		i.policy.ListUnavailable()
		return
	}
	for _, entry := range i.adapter.hostTables[event.Integer("sheet")] {
		name := entry.Text("host")
		host := i.hosts[name]
		if host == nil {
			host = i.policy.AddHost(name, entry.Integer("shard"))
			i.hosts[name] = host
		}
		host.UpdateListing(standings[entry.Text("stage_state")], entry.OptionalNumber("leader") == 1, entry.OptionalText("az"),
			entry.OptionalText("shape"), entry.OptionalNumber("scale"), setup.RoundUp(entry.OptionalNumber("boot_time")))
	}
	i.policy.EndList(mode != "changes")
}

// handleIngress handles a new command.
func (i *instance) handleIngress(event setup.Object) {
	group := i.terms.Groups[event.Text("tier_class")]
	if group == nil {
		panic(setup.Fault("tier_class: not among the classes of spawn"))
	}
	name := event.Text("req")
	i.commands[name] = i.policy.Submit(name, group, event.Integer("group_no"), event.OptionalText("user"),
		setup.RoundDown(event.Number("give_up_at")), setup.RoundDown(event.OptionalNumber("since_write_ms")), event.Flag("is_retry"))
}

// The parts of an attempt's stamp: the role of the host in the low bits, its log position in milliseconds above.
const (
	stampRoleBits = 2
	stampRoleMask = 1<<stampRoleBits - 1
	maxStampRole  = int64(policy.Replica)
	tenthsPerMs   = 10
)

const unknownPosition policy.TenthMs = -1

// handleAttemptEnd handles the end of an attempt. All but the command's latest attempt are ignored.
func (i *instance) handleAttemptEnd(event setup.Object) {
	command := i.commands[event.Text("req")]
	if command == nil || event.Integer("leg") != int64(command.Attempts-1) {
		return
	}
	i.reportLoad(command.Host, event)
	stamp := int64(0)
	if event.Has("stamp") {
		stamp = event.Integer("stamp")
	}
	position := stamp >> stampRoleBits * tenthsPerMs
	if position == 0 && !i.terms.AnswersHavePosition {
		position = unknownPosition
	}
	role := policy.Role(min(stamp&stampRoleMask, maxStampRole))
	command.EndDispatch(outcomeOf(event), position, role, setup.RoundDown(event.Number("cost_time")), event.Flag("ended"))
}

// handleDropped handles a command whose client has left.
func (i *instance) handleDropped(event setup.Object) {
	if command := i.commands[event.Text("req")]; command != nil {
		command.Abandon()
	}
}

// handleStatusBack handles the answer to a probe.
func (i *instance) handleStatusBack(event setup.Object) {
	if host := i.hosts[event.Text("host")]; host != nil {
		i.reportLoad(host, event)
		host.EndProbe(outcomeOf(event) == policy.Answered)
	}
}

// reportLoad passes on the load report of an event, if it has one.
func (i *instance) reportLoad(host *policy.Host, event setup.Object) {
	row := event.OptionalList("telemetry")
	position, role, ok := i.terms.ParseLoadReport(func(column int) (float64, bool) {
		if column >= len(row) {
			return 0, false
		}
		return setup.AsNumber(row[column])
	})
	if host != nil && ok {
		host.ReportLoad(position, role)
	}
}

// outcomeOf returns an attempt's outcome; the simulator counts them from 1.
func outcomeOf(event setup.Object) policy.Outcome {
	how := event.Integer("how")
	if how < 1 || how > int64(policy.Misrouted)+1 {
		panic(setup.Fault(fmt.Sprintf("how: no outcome %d", how)))
	}
	return policy.Outcome(how - 1)
}
