package record

import "ferrypitch/internal/router/trace/format"

// Kinds of events, by their index in Schema. The indices are stored in files: new
// kinds go to the end.
const (
	// Calls into the decision module, named for the methods of policy.
	Host = iota
	Listed
	ListDone
	Take
	Ended
	Left
	Reported
	Probed
	Heard
	Woke
	Told
	Count
	Anew // another module replaced one that panicked

	// What the module asked for: calls of policy.Caller, under their stored names.
	Dispatch
	Throttle
	Fail
	Probe
	Close
	Forget
	Tell
	Wake

	// What happened in the router beside the module.
	Candidate // one host that the next Dispatch could choose
	List
	Stall
	Reload
	Clock
	View

	// What happened in a planner.
	PlanList
	PlanProbe
	PlanProbed
	PlanChange
	PlanReport
	PlanForwarder

	// Added later.
	Unlisted // a call into the module
	Watch    // the module asked for it
)

// Schema is the schema of all files that are written here. Commands and hosts are
// numbered. Times and durations are in tenths of a millisecond, sizes are the bits
// of a float64, work, lateness and shares are in thousandths. Its names are stored
// in files and printed by tools: they never change.
var Schema = format.Schema{
	Host:      eventKind("host", numbers("host", "set"), text("name", format.Topology)),
	Listed:    eventKind("listed", numbers("host", "standing", "leader", "size", "boot"), text("zone", format.Topology), text("model", format.Plain)),
	ListDone:  eventKind("list_done", numbers("whole")),
	Take:      eventKind("take", numbers("command", "group", "set", "timeout", "since", "again"), text("id", format.Identity), text("session", format.Identity)),
	Ended:     eventKind("ended", numbers("command", "outcome", "position", "role", "took", "over")),
	Left:      eventKind("left", numbers("command")),
	Reported:  eventKind("reported", numbers("host", "position", "role")),
	Probed:    eventKind("probed", numbers("host", "ok")),
	Heard:     eventKind("heard", text("body", format.FreeText)),
	Woke:      eventKind("woke"),
	Told:      eventKind("told", numbers("host", "position", "role", "role_at", "late")),
	Count:     eventKind("count", numbers("routers", "blind")),
	Anew:      eventKind("anew"),
	Dispatch:  eventKind("dispatch", numbers("command", "host", "timeout", "send_by", "for", "work")),
	Throttle:  eventKind("throttle", numbers("command", "comeback")),
	Fail:      eventKind("fail", numbers("command")),
	Probe:     eventKind("probe", numbers("host")),
	Close:     eventKind("close", numbers("host")),
	Forget:    eventKind("forget", numbers("host")),
	Tell:      eventKind("tell", text("body", format.FreeText)),
	Wake:      eventKind("wake", numbers("after")),
	Candidate: eventKind("candidate", numbers("command", "host", "standing", "role", "position", "out", "late", "share", "state")),
	List:      eventKind("list", numbers("revision", "whole", "entries")),
	Stall:     eventKind("stall", numbers("span")),
	Reload:    eventKind("reload", numbers("ok")),
	Clock:     eventKind("clock", numbers("system")),
	View:      eventKind("view", numbers("hosts", "dropped", "routers", "blind")),

	PlanList:      eventKind("plan_list", numbers("revision", "whole", "entries", "held")),
	PlanProbe:     eventKind("plan_probe", text("name", format.Topology)),
	PlanProbed:    eventKind("plan_probed", numbers("ok", "position", "role", "took"), text("name", format.Topology)),
	PlanChange:    eventKind("plan_change", numbers("seq", "hosts", "dropped", "routers", "every", "whole", "links")),
	PlanReport:    eventKind("plan_report", numbers("entries", "answers", "cold"), text("forwarder", format.Topology)),
	PlanForwarder: eventKind("plan_forwarder", numbers("open", "life"), text("forwarder", format.Topology), text("why", format.FreeText)),

	Unlisted: eventKind("unlisted"),
	Watch:    eventKind("watch"),
}

func eventKind(name string, columns ...[]format.Column) format.Kind {
	kind := format.Kind{Name: name}
	for _, some := range columns {
		kind.Columns = append(kind.Columns, some...)
	}
	return kind
}

// numbers returns columns of numbers, which tell nothing of people.
func numbers(names ...string) []format.Column {
	var columns []format.Column
	for _, name := range names {
		columns = append(columns, format.Column{Name: name, Type: format.Int, Privacy: format.Plain})
	}
	return columns
}

func text(name string, privacy format.Privacy) []format.Column {
	return []format.Column{{Name: name, Type: format.Text, Privacy: privacy}}
}
