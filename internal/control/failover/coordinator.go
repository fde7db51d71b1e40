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
	queryTimeoutMs         = 350  // a question to a host has so long
	suspectProbeIntervalMs = 40   // between two questions to a host that is suspected
	hedgeDelayMs           = 100  // a question that is out for so long has another go beside it, by a connection of its own
	queryIntervalMs        = 250  // between questions while a move goes on
	nomineePollIntervalMs  = 90   // between looks at a host that is about to lead
	fastPollIntervalMs     = 35   // and where it is due by how long the last promotion took, or says that it does
	suspicionTTLMs         = 3000 // a suspicion counts for so long
	promotionRetryMs       = 700  // between calls to the platform that got no clear answer
	replicaWaitMs          = 1200 // a replica that is to be PAUSEd for a planned move has so long to answer
	staleCommandMs         = 1000 // an order without a clear answer may run so long after its host was last silent
	promotionTimeoutMs     = 5000 // a host that was promoted has so long before another is looked for
)

// maxTermGap is how many terms beyond the last one a host may tell of.
const maxTermGap = 1000

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

type serviceState struct {
	name               string
	suspicions         map[string]int64 // by router: when it last could not reach the primary
	suspectedHost      string           // which primary the suspicions are of
	pendingQueries     map[string]*pendingQuery
	hedgedQuery        *pendingQuery // a second one to a primary that is suspected
	lastResults        map[string]hostResult
	failedProbes       int   // questions in a row that the primary did not answer
	lastProbeSentAt    int64 // when the last question that counted was sent
	suspectedSince     int64 // since when it is doubted that the primary is there; 0: it is not
	proposedAt         int64 // when a change was proposed that has not come yet
	promotionPending   bool
	promotion          Promotion // the newest; out where calling
	promotionSentAt    int64
	promotedHost       string
	nominated          string   // by this member, in the log
	promotedHostFailed bool     // the one that was called did not answer when it was looked at
	proxiesCaughtUpAt  int64    // when no router acted on the lead any more
	awaitedHosts       []string // whose answers a move waits for, and what is owed
	promotionEndedAt   int64
	paused             map[string]bool
	uncertainCommands  map[hostCommand]int64 // orders that may run still, and when their hosts were last silent
	startedAt          int64
	rejectedAt         map[string]int64
	refusingSince      map[string]int64 // replicas whose machines refuse, since when
	why                string
	resumingChange     uint64 // the lead whose move's PAUSEs are lifted
	resumeStartedAt    int64  // since when
}

// Coordinator is the state of one member that leads. It lives as long as its view.
type Coordinator struct {
	self                string
	heartbeatIntervalMs int64
	leaderTerm          uint64
	lastSerial          uint64
	services            map[string]*serviceState
	heartbeats          map[string]HostHeartbeat
	leaderSince         int64
	Counters            Counters
	Log                 func(service, what, host string)
}

// New starts a member that leads a view from now on. beatMs is how often hosts beat.
func New(self string, view uint64, beatMs, now int64) *Coordinator {
	return &Coordinator{
		self: self, leaderTerm: view, heartbeatIntervalMs: max(beatMs, 100), services: map[string]*serviceState{}, heartbeats: map[string]HostHeartbeat{}, leaderSince: now,
		Log: func(string, string, string) {},
	}
}

func (c *Coordinator) service(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = &serviceState{
			name: name, suspicions: map[string]int64{}, pendingQueries: map[string]*pendingQuery{}, lastResults: map[string]hostResult{},
			paused: map[string]bool{}, uncertainCommands: map[hostCommand]int64{}, rejectedAt: map[string]int64{},
			refusingSince: map[string]int64{},
		}
		c.services[name] = s
	}
	return s
}

func (s *serviceState) propose(do *Actions, c statemachine.Change, now int64) {
	if s.proposedAt == 0 || now > s.proposedAt+1000 {
		s.proposedAt = now
		do.Proposals = append(do.Proposals, c)
	}
}

// Tick goes over all services. clear says whether no router acts any more on what the log said before an index.
func (c *Coordinator) Tick(state *statemachine.State, clear func(index uint64) bool, now int64) (do Actions) {
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
		c.evaluate(&do, state, c.service(name), clear, now)
	}
	return do
}

// ChangeApplied tells that a change has come, so that what was proposed is no longer awaited.
func (c *Coordinator) ChangeApplied(name string) { c.service(name).proposedAt = 0 }

// ChangesApplied is Applied for a change that names no service.
func (c *Coordinator) ChangesApplied() {
	for _, s := range c.services {
		s.proposedAt = 0
	}
}

func (c *Coordinator) evaluate(do *Actions, state *statemachine.State, s *serviceState, clear func(uint64) bool, now int64) {
	lead, known := state.Primaries[s.name]
	members := state.HostIDs(s.name)
	switch {
	case !known:
		c.discoverPrimary(do, s, members, now)
	case lead.Revoked:
		c.failOver(do, state, s, lead, members, clear, now)
	case lead.Nominee != "":
		c.switchOver(do, state, s, lead, members, now)
	default:
		c.monitorPrimary(do, state, s, lead, members, now)
	}
}

// resetTransition forgets a move that is over.
func (s *serviceState) resetTransition() {
	s.promotedHost, s.nominated, s.promotionPending, s.startedAt, s.proxiesCaughtUpAt, s.awaitedHosts, s.promotedHostFailed = "", "", false, 0, 0, nil, false
	clear(s.paused)
}

// Active says whether any service is on the move or looked into.
func (c *Coordinator) Active(state *statemachine.State) bool {
	for name, s := range c.services {
		l := state.Primaries[name]
		if l.Revoked || l.Nominee != "" || len(s.suspicions) > 0 || len(s.pendingQueries) > 0 || s.failedProbes > 0 {
			return true
		}
	}
	return false
}
