package simadapter

import (
	"fmt"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// eventHandler handles one type of event.
type eventHandler func(i *instance, event setup.Object)

// instanceEvents maps types of events for an instance to their handlers.
var instanceEvents = map[string]eventHandler{
	"members":     (*instance).handleMembers,
	"ingress":     (*instance).handleIngress,
	"accepted":    func(*instance, setup.Object) {}, // has no effect except to set the time
	"attempt_end": (*instance).handleAttemptEnd,
	"dropped":     (*instance).handleDropped,
	"status_back": (*instance).handleStatusBack,
	"peer_data":   func(i *instance, event setup.Object) { i.policy.ReceivePeerUpdate(event.Text("body")) },
	"ring":        func(i *instance, _ setup.Object) { i.policy.WakeUp() },
}

// handle sets the policy's time, processes an event, and removes the event's command if that is finished.
func (i *instance) handle(handle eventHandler, event setup.Object) {
	i.policy.SetTime(setup.RoundUp(i.adapter.now))
	handle(i, event)
	name := event.OptionalText("req")
	if command := i.commands[name]; name != "" && command != nil {
		i.removeIfFinished(command)
	}
}

// listStates maps the simulator's host states to list states. Other states mean policy.Active.
var listStates = map[string]policy.ListState{"LAME": policy.Draining, "OUT": policy.Removed}

// handleMembers processes a host list, complete or with changes only.
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
		host.UpdateListing(listStates[entry.Text("stage_state")], entry.OptionalNumber("leader") == 1, entry.OptionalText("az"),
			entry.OptionalText("shape"), entry.OptionalNumber("scale"), setup.RoundUp(entry.OptionalNumber("boot_time")))
	}
	i.policy.EndList(mode != "changes")
}

// handleIngress submits a new command.
func (i *instance) handleIngress(event setup.Object) {
	group := i.formats.Groups[event.Text("tier_class")]
	if group == nil {
		panic(setup.FieldError("tier_class: not among the classes of spawn"))
	}
	name := event.Text("req")
	i.commands[name] = i.policy.Submit(name, group, event.Integer("group_no"), event.OptionalText("user"),
		setup.RoundDown(event.Number("give_up_at")), setup.RoundDown(event.OptionalNumber("since_write_ms")))
}

// The layout of an attempt's stamp: the host's role in the low bits, its log position in milliseconds in the bits above.
const (
	stampRoleBits = 2
	stampRoleMask = 1<<stampRoleBits - 1
	maxStampRole  = int64(policy.Replica)
	tenthsPerMs   = 10
)

const unknownPosition policy.TenthMs = -1

// handleAttemptEnd reports the end of a dispatch. Only the command's latest dispatch counts.
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
	if position == 0 && !i.formats.AnswersHavePosition {
		position = unknownPosition
	}
	role := policy.Role(min(stamp&stampRoleMask, maxStampRole))
	command.EndDispatch(outcomeOf(event), position, role, setup.RoundDown(event.Number("cost_time")), event.Bool("ended"))
}

// handleDropped abandons a command whose client has disconnected.
func (i *instance) handleDropped(event setup.Object) {
	if command := i.commands[event.Text("req")]; command != nil {
		command.Abandon()
	}
}

// handleStatusBack reports the result of a probe.
func (i *instance) handleStatusBack(event setup.Object) {
	if host := i.hosts[event.Text("host")]; host != nil {
		i.reportLoad(host, event)
		host.EndProbe(outcomeOf(event) == policy.Answered)
	}
}

// reportLoad passes the load report of an event, if there is one, to the policy.
func (i *instance) reportLoad(host *policy.Host, event setup.Object) {
	columns := event.OptionalList("telemetry")
	position, role, ok := i.formats.ParseLoadReport(func(column int) (float64, bool) {
		if column >= len(columns) {
			return 0, false
		}
		return setup.AsNumber(columns[column])
	})
	if host != nil && ok {
		host.ReportLoad(position, role)
	}
}

// outcomeOf returns the outcome in an event. The simulator numbers outcomes from 1.
func outcomeOf(event setup.Object) policy.Outcome {
	number := event.Integer("how")
	if number < 1 || number > int64(policy.Misrouted)+1 {
		panic(setup.FieldError(fmt.Sprintf("how: no outcome %d", number)))
	}
	return policy.Outcome(number - 1)
}
