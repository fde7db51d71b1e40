package replay

import "ferrypitch/internal/router/trace/record"

// eventClass is what a replay does with an event.
type eventClass int

const (
	besideModule eventClass = iota // ignores it
	askedFor                       // compares it with what the module asks for
	introduction                   // introduces a host, for which the module asks nothing
	moduleCall                     // makes the call again
)

// classify returns the class of a kind of event.
func classify(kind int) eventClass {
	if kind < 0 || kind >= len(record.Schema) { // of a newer schema; those are after the module's
		return besideModule
	}
	switch kind {
	case record.List, record.Stall, record.Reload, record.Clock, record.View,
		record.PlanList, record.PlanProbe, record.PlanProbed, record.PlanChange, record.PlanReport, record.PlanForwarder:
		return besideModule
	case record.Candidate, record.Dispatch, record.Throttle, record.Fail, record.Probe, record.Close, record.Forget,
		record.Tell, record.Wake, record.Watch:
		return askedFor
	case record.Host:
		return introduction
	}
	return moduleCall
}
