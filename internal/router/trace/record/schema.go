package record

import "ferrypitch/internal/router/trace/format"

// Kinds of events, as indices in Schema. The indices are stored in files, so new kinds
// must be added at the end. Constants for calls have the names of the methods that they
// stand for; the names of the kinds in Schema differ, since those are stored names.
const (
	// Calls into the decision module: methods of policy.Router, Host and Command.
	AddHost = iota
	UpdateListing
	EndList
	Submit
	EndDispatch
	Abandon
	ReportLoad
	EndProbe
	ReceivePeerUpdate
	WakeUp
	ApplyPlannerUpdate
	SetRouterCount
	ReplaceModule // not a method of policy: a new module replaced one that panicked

	// Calls by the module: methods of policy.Caller.
	Dispatch
	RejectRetryable
	Fail
	Probe
	CloseIdleConns
	ReleaseHost
	Broadcast
	ScheduleWakeUp

	// Other events in a router, which a replay does not use, except that it compares Candidate.
	Candidate // a host that the next Dispatch could choose
	List
	Stall
	Reload
	Clock
	View

	// Events in a planner.
	PlanList
	PlanProbe
	PlanEndProbe
	PlanChange
	PlanReport
	PlanLinkState

	// Calls into and by the module that later versions of the schema added.
	ListUnavailable // a call into the module
	RequestHostList // a call by the module
)

// Schema is the schema of recorded traces. Commands and hosts are identified by numbers.
// Times and durations are in tenths of a millisecond; sizes are stored as the bits of a
// float64; work, latency ratios and shares are in thousandths. The names of kinds and
// columns are stored in files and printed by tools, so they never change.
var Schema = format.Schema{
	AddHost:            eventKind("host", intColumns("host", "set"), textColumn("name", format.Topology)),
	UpdateListing:      eventKind("listed", intColumns("host", "standing", "leader", "size", "boot"), textColumn("zone", format.Topology), textColumn("model", format.Plain)),
	EndList:            eventKind("list_done", intColumns("whole")),
	Submit:             eventKind("take", intColumns("command", "group", "set", "timeout", "since", "again"), textColumn("id", format.Identity), textColumn("session", format.Identity)),
	EndDispatch:        eventKind("ended", intColumns("command", "outcome", "position", "role", "took", "over")),
	Abandon:            eventKind("left", intColumns("command")),
	ReportLoad:         eventKind("reported", intColumns("host", "position", "role")),
	EndProbe:           eventKind("probed", intColumns("host", "ok")),
	ReceivePeerUpdate:  eventKind("heard", textColumn("body", format.FreeText)),
	WakeUp:             eventKind("woke"),
	ApplyPlannerUpdate: eventKind("told", intColumns("host", "position", "role", "role_at", "late")),
	SetRouterCount:     eventKind("count", intColumns("routers", "blind")),
	ReplaceModule:      eventKind("anew"),
	Dispatch:           eventKind("dispatch", intColumns("command", "host", "timeout", "send_by", "for", "work")),
	RejectRetryable:    eventKind("throttle", intColumns("command", "comeback")),
	Fail:               eventKind("fail", intColumns("command")),
	Probe:              eventKind("probe", intColumns("host")),
	CloseIdleConns:     eventKind("close", intColumns("host")),
	ReleaseHost:        eventKind("forget", intColumns("host")),
	Broadcast:          eventKind("tell", textColumn("body", format.FreeText)),
	ScheduleWakeUp:     eventKind("wake", intColumns("after")),
	Candidate:          eventKind("candidate", intColumns("command", "host", "standing", "role", "position", "out", "late", "share", "state")),
	List:               eventKind("list", intColumns("revision", "whole", "entries")),
	Stall:              eventKind("stall", intColumns("span")),
	Reload:             eventKind("reload", intColumns("ok")),
	Clock:              eventKind("clock", intColumns("system")),
	View:               eventKind("view", intColumns("hosts", "dropped", "routers", "blind")),

	PlanList:      eventKind("plan_list", intColumns("revision", "whole", "entries", "held")),
	PlanProbe:     eventKind("plan_probe", textColumn("name", format.Topology)),
	PlanEndProbe:  eventKind("plan_probed", intColumns("ok", "position", "role", "took"), textColumn("name", format.Topology)),
	PlanChange:    eventKind("plan_change", intColumns("seq", "hosts", "dropped", "routers", "every", "whole", "links")),
	PlanReport:    eventKind("plan_report", intColumns("entries", "answers", "cold"), textColumn("forwarder", format.Topology)),
	PlanLinkState: eventKind("plan_forwarder", intColumns("open", "life"), textColumn("forwarder", format.Topology), textColumn("why", format.FreeText)),

	ListUnavailable: eventKind("unlisted"),
	RequestHostList: eventKind("watch"),
}

func eventKind(name string, columns ...[]format.Column) format.Kind {
	kind := format.Kind{Name: name}
	for _, group := range columns {
		kind.Columns = append(kind.Columns, group...)
	}
	return kind
}

// intColumns returns integer columns, which contain no personal data.
func intColumns(names ...string) []format.Column {
	var columns []format.Column
	for _, name := range names {
		columns = append(columns, format.Column{Name: name, Type: format.Int, Privacy: format.Plain})
	}
	return columns
}

func textColumn(name string, privacy format.Privacy) []format.Column {
	return []format.Column{{Name: name, Type: format.Text, Privacy: privacy}}
}
