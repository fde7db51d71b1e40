// Package failover decides on fail-over: when a service's primary is given up,
// which replica takes its place, and in which order all that is said. It acts for the member that leads the control
// plane's view, and goes on where another left off by what the ordered log says.
//
//	state, beats, suspicions, rows, platform's answers  ->  Tick  ->  proposals, questions to hosts, promotions
//
// A lead that is lost: Recall in the log; every router has applied it or its lease is over; all replicas are PAUSEd and
// say what they received; the one that has most is named, promoted and seen to lead; Lead in the log.
// A lead that is handed over: the successor is named; the other replicas are PAUSEd, so that nothing is acknowledged
// that it has not received; it is promoted while the old primary goes on; once it leads, Recall, STEPDOWN and Lead.
//
// Pure: the caller brings time in milliseconds.
package failover

import (
	"slices"

	"ferrypitch/internal/control/statemachine"
)

// Times in milliseconds.
const (
	patience = 350  // a question to a host has so long
	twice    = 40   // between two questions to a host that is suspected
	hasten   = 100  // a question that is out for so long has another go beside it, by a connection of its own
	again    = 250  // between questions while a move goes on
	quick    = 90   // between looks at a host that is about to lead
	closing  = 35   // and where it is due by how long the last promotion took, or says that it does
	believed = 3000 // a suspicion counts for so long
	renew    = 700  // between calls to the platform that got no clear answer
	handing  = 1200 // a replica that is to be PAUSEd for a planned move has so long to answer
	lingers  = 1000 // an order without a clear answer may run so long after its host was last silent
	settles  = 5000 // a host that was promoted has so long before another is looked for
)

// farOff is how many terms beyond the last one a host may tell of.
const farOff = 1000

// Actions is what a Tick asks for.
type Actions struct {
	Proposals  []statemachine.Change
	Queries    []HostQuery
	Promotions []Promotion
}

// Counters are of steps, for counters.
type Counters struct {
	Suspected, Cleared, Lost, Planned, Promoted, Resumed, Missing, Waiting int64
}

type service struct {
	name      string
	suspect   map[string]int64 // by router: when it last could not reach the primary
	of        string           // which primary the suspicions are of
	questions map[string]*asked
	beside    *asked // a second one to a primary that is suspected
	rows      map[string]told
	strikes   int   // questions in a row that the primary did not answer
	struckAt  int64 // when the last question that counted was sent
	doubtAt   int64 // since when it is doubted that the primary is there; 0: it is not
	proposed  int64 // when a change was proposed that has not come yet
	calling   bool
	call      Promotion // the newest; out where calling
	calledAt  int64
	called    string
	named     string   // by this member, in the log
	gaveNone  bool     // the one that was called did not answer when it was looked at
	clearAt   int64    // when no router acted on the lead any more
	lacking   []string // whose answers a move waits for, and what is owed
	callEnded int64
	paused    map[string]bool
	doubted   map[order]int64 // orders that may run still, and when their hosts were last silent
	started   int64
	rejected  map[string]int64
	refuses   map[string]int64 // replicas whose machines refuse, since when
	why       string
	resuming  uint64 // the lead whose move's PAUSEs are lifted
	resumeAt  int64  // since when
}

// Coordinator is the state of one member that leads. It lives as long as its view.
type Coordinator struct {
	self     string
	beatMs   int64
	view     uint64
	serial   uint64
	services map[string]*service
	beats    map[string]HostHeartbeat
	since    int64
	Counters Counters
	Log      func(service, what, host string)
}

// New starts a member that leads a view from now on. beatMs is how often hosts beat.
func New(self string, view uint64, beatMs, now int64) *Coordinator {
	return &Coordinator{self: self, view: view, beatMs: max(beatMs, 100), services: map[string]*service{}, beats: map[string]HostHeartbeat{}, since: now,
		Log: func(string, string, string) {}}
}

func (h *Coordinator) service(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{name: name, suspect: map[string]int64{}, questions: map[string]*asked{}, rows: map[string]told{},
			paused: map[string]bool{}, doubted: map[order]int64{}, rejected: map[string]int64{},
			refuses: map[string]int64{}}
		h.services[name] = s
	}
	return s
}

func (s *service) propose(do *Actions, c statemachine.Change, now int64) {
	if s.proposed == 0 || now > s.proposed+1000 {
		s.proposed = now
		do.Proposals = append(do.Proposals, c)
	}
}

// Tick goes over all services. clear says whether no router acts any more on what the log said before an index.
func (h *Coordinator) Tick(state *statemachine.State, clear func(index uint64) bool, now int64) (do Actions) {
	names := map[string]bool{}
	for _, host := range state.Hosts {
		names[host.Service] = true
	}
	for name := range state.Primaries {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	for _, name := range sorted {
		h.tend(&do, state, h.service(name), clear, now)
	}
	return do
}

// ChangeApplied tells that a change has come, so that what was proposed is no longer awaited.
func (h *Coordinator) ChangeApplied(name string) { h.service(name).proposed = 0 }

// ChangesApplied is Applied for a change that names no service.
func (h *Coordinator) ChangesApplied() {
	for _, s := range h.services {
		s.proposed = 0
	}
}

func (h *Coordinator) tend(do *Actions, state *statemachine.State, s *service, clear func(uint64) bool, now int64) {
	lead, known := state.Primaries[s.name]
	members := state.HostIDs(s.name)
	switch {
	case !known:
		h.first(do, s, members, now)
	case lead.Revoked:
		h.move(do, state, s, lead, members, clear, now)
	case lead.Nominee != "":
		h.handOver(do, state, s, lead, members, now)
	default:
		h.watch(do, state, s, lead, members, now)
	}
}

// settle forgets a move that is over.
func (s *service) settle() {
	s.called, s.named, s.calling, s.started, s.clearAt, s.lacking, s.gaveNone = "", "", false, 0, 0, nil, false
	clear(s.paused)
}

// Active says whether any service is on the move or looked into.
func (h *Coordinator) Active(state *statemachine.State) bool {
	for name, s := range h.services {
		l := state.Primaries[name]
		if l.Revoked || l.Nominee != "" || len(s.suspect) > 0 || len(s.questions) > 0 || s.strikes > 0 {
			return true
		}
	}
	return false
}
