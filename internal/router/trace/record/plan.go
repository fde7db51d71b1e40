package record

import (
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// Planner records the events of one planner: lists, probes and reports that it receives,
// and changes that it sends. It is not safe for concurrent use; the planner's owner calls
// it. A nil Planner records nothing.
type Planner struct{ recorder *Recorder }

// NewPlanner returns a recorder that fills blocks up to about blockBytes.
func NewPlanner(sink Sink, blockBytes int) *Planner {
	return &Planner{New(sink, blockBytes, allSessions, [32]byte{}, false)}
}

// SetTime sets the time of the events that follow. system is the reading of the
// system clock at that time, in tenths of a millisecond of Unix time.
func (p *Planner) SetTime(now policy.TenthMs, system int64) {
	if p != nil {
		p.recorder.SetTime(now)
		p.recorder.SystemClock(system)
	}
}

// Flush passes the buffered events to the sink. If the sink does not accept them, they are lost.
func (p *Planner) Flush() {
	if p != nil {
		p.recorder.Flush()
	}
}

// List records a host list received from discovery, and whether it was applied.
func (p *Planner) List(revision int64, complete bool, entries int, applied bool) {
	if p != nil {
		p.recorder.addNumbers(PlanList, revision, flag(complete), int64(entries), flag(applied))
	}
}

// Probe records the start of a probe of a host.
func (p *Planner) Probe(name string) {
	if p != nil {
		p.recorder.addEvent(PlanProbe, nil, []string{name})
	}
}

// EndProbe records the result of a probe. position is -1 if the response stated none.
func (p *Planner) EndProbe(name string, ok bool, position policy.TenthMs, role policy.Role, latency policy.TenthMs) {
	if p != nil {
		p.recorder.addEvent(PlanEndProbe, []int64{flag(ok), position, int64(role), latency}, []string{name})
	}
}

// Change records a change that is sent to a number of links, of which fullViews receive
// the full view instead. An empty change that no link receives as a full view is not recorded.
func (p *Planner) Change(change *view.Change, fullViews, links int) {
	if p == nil || len(change.Hosts)+len(change.Removed)+fullViews == 0 {
		return
	}
	p.recorder.addNumbers(PlanChange, int64(change.Sequence), int64(len(change.Hosts)), int64(len(change.Removed)),
		int64(change.RouterCount), change.ReportInterval, int64(fullViews), int64(links))
}

// Report records a report from a forwarder, as sums over its hosts.
func (p *Planner) Report(forwarder string, report link.Report) {
	if p == nil {
		return
	}
	var responses, coldWork int64
	for _, observation := range report.Observations {
		responses += int64(observation.Responses)
		coldWork += observation.ColdWork
	}
	p.recorder.addEvent(PlanReport, []int64{int64(len(report.Observations)), responses, coldWork}, []string{forwarder})
}

// LinkState records that a forwarder's link was opened, or that it ended and why.
func (p *Planner) LinkState(name string, incarnation uint64, open bool, reason string) {
	if p != nil {
		p.recorder.addEvent(PlanLinkState, []int64{flag(open), int64(incarnation)}, []string{name, reason})
	}
}
