package replay

import "ferrypitch/internal/router/trace/record"

// eventClass determines what a replay does with an event.
type eventClass int

const (
	ignored      eventClass = iota // skipped
	moduleAction                   // action of the module; compared with the replay
	hostAddition                   // call that adds a host; made again, and causes no action
	moduleCall                     // any other call into the module; made again
)

// classify returns the class of a kind of event.
func classify(kind int) eventClass {
	if kind < 0 || kind >= len(record.Schema) { // of a newer schema, which cannot concern this module
		return ignored
	}
	switch kind {
	case record.List, record.Stall, record.Reload, record.Clock, record.View,
		record.PlanList, record.PlanProbe, record.PlanEndProbe, record.PlanChange, record.PlanReport, record.PlanLinkState:
		return ignored
	case record.Candidate, record.Dispatch, record.RejectRetryable, record.Fail, record.Probe, record.CloseIdleConns, record.ReleaseHost,
		record.Broadcast, record.ScheduleWakeUp, record.RequestHostList:
		return moduleAction
	case record.AddHost:
		return hostAddition
	}
	return moduleCall
}
