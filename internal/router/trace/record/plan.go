package record

import (
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// Planner records one planner: what it heard, whom it asked, and what it told. It is called by the planner's
// owner alone; nil records nothing.
type Planner struct{ recorder *Recorder }

// NewPlanner records into blocks of about size bytes.
func NewPlanner(sink Sink, size int) *Planner {
	return &Planner{New(sink, size, 1000, [32]byte{}, false)}
}

// Now tells the moment of the events that follow, and system the reading of the system's clock beside it.
func (p *Planner) Now(now policy.Tenth, system int64) {
	if p != nil {
		p.recorder.Now(now)
		p.recorder.System(system)
	}
}

// Flush hands over what was gathered.
func (p *Planner) Flush() {
	if p != nil {
		p.recorder.Flush()
	}
}

func (p *Planner) List(revision int64, whole bool, entries int, held bool) {
	if p != nil {
		p.recorder.addNumbers(PlanList, revision, flag(whole), int64(entries), flag(held))
	}
}

func (p *Planner) Probe(name string) {
	if p != nil {
		p.recorder.addEvent(PlanProbe, nil, []string{name})
	}
}

func (p *Planner) Probed(name string, ok bool, pos policy.Tenth, role policy.Role, took policy.Tenth) {
	if p != nil {
		p.recorder.addEvent(PlanProbed, []int64{flag(ok), pos, int64(role), took}, []string{name})
	}
}

// Change is a change that goes to so many links, to whole of them as a whole view.
func (p *Planner) Change(c *view.Change, whole, links int) {
	if p != nil && (len(c.Hosts)+len(c.Dropped) > 0 || whole > 0) {
		p.recorder.addNumbers(PlanChange, int64(c.Seq), int64(len(c.Hosts)), int64(len(c.Dropped)), int64(c.Routers), c.Every, int64(whole), int64(links))
	}
}

func (p *Planner) Report(forwarder string, r link.Report) {
	if p == nil {
		return
	}
	answers, cold := int64(0), int64(0)
	for _, h := range r.Heard {
		answers, cold = answers+int64(h.Count), cold+h.Cold
	}
	p.recorder.addEvent(PlanReport, []int64{int64(len(r.Heard)), answers, cold}, []string{forwarder})
}

// Forwarder is the beginning of a link, or its end and why.
func (p *Planner) Forwarder(name string, life uint64, open bool, why string) {
	if p != nil {
		p.recorder.addEvent(PlanForwarder, []int64{flag(open), int64(life)}, []string{name, why})
	}
}
