package policy

// Router is one router's view of the deployment, and the entry point of the package.
type Router struct {
	Deployment
	caller Caller

	now          TenthMs
	wakeAt       TenthMs // when the next call of WakeUp is expected
	evaluatedAt  TenthMs // when all hosts were last evaluated
	stalledUntil TenthMs // when the last stall of this process ended; silence before it proves nothing
	noPlanner    bool    // no planner is there to tell what is new
	randomDraws  TenthMs // how many random numbers were drawn

	listRequested  bool
	listRequestAt  TenthMs // when to request the list next; 0: it comes
	listRetryDelay TenthMs // after the next refusal

	sets        map[int64]*replicaSet
	orderedSets []*replicaSet // in order of appearance
	hosts       []*Host
	hostsByID   map[string]*Host // by peerID
	models      map[string]*hostModel

	positionTTL TenthMs            // how long a position counts as recent
	tokens      map[string]TenthMs // by session, the position of its last write
	tokenFloor  TenthMs            // no token that was dropped is greater

	answerGaps    window  // tenths between the answers of any one host
	meanLatency   float64 // of answers, in tenths
	meanPriority  float64 // of commands
	meanReportAge float64 // of load reports, in tenths

	probesForReads bool    // probes go to replicas that a waiting read could use
	probeCredit    float64 // probes that may be sent
	probeSpend     float64 // what the probes for one command may cost, as a part of its worth
	peerCredit     float64 // bytes that may be sent to other routers
}

// hostModel measures the hosts of one hardware model.
type hostModel struct {
	warmRate    float64 // mean work of a warm host in a tenth for each unit of size
	measuredFor float64 // tenths that warmRate is a mean over
	workDone    float64 // by warm hosts, since the last evaluation
	warmSize    float64 // sum of the sizes of warm hosts, at this evaluation
}

// replicaSet is a primary and the replicas of its data.
type replicaSet struct {
	router       *Router
	members      []*Host    // by name
	primary      *Host      // as far as known
	primaryDueAt TenthMs    // when a primary is expected; long past: not known
	queue        []*Command // highest priority first

	nextCandidate int     // the member to try next as primary
	nextTryAt     TenthMs // the earliest time of that try

	probed      *Host   // the replica that was probed for reads
	probedUntil TenthMs // until when reads wait for its answer
}

// replicaSet is the replica set with a number, which it adds if it is new.
func (r *Router) replicaSet(id int64) *replicaSet {
	set := r.sets[id]
	if set == nil {
		set = &replicaSet{router: r}
		r.sets[id], r.orderedSets = set, append(r.orderedSets, set)
	}
	return set
}

// Host is a database host.
type Host struct {
	Name string

	set       *replicaSet
	model     *hostModel
	zone      string
	size      float64 // capacity relative to other hosts
	inList    bool    // seen in the list that is being read
	listState ListState

	role     Role
	roleAt   TenthMs // when the host said so
	inFlight []*Command

	positionKnown bool
	position      TenthMs // the host has applied all up to here
	positionAt    TenthMs // when that was learned, or a probe was last sent
	lag           TenthMs // estimate of how far behind the present the host is

	probing      bool
	ejected      bool // silent or unreachable: gets single trials only
	unreachable  bool // a probe must succeed first
	down         bool // took no connection, and no probe will tell when it is back
	backoff      TenthMs
	retryAt      TenthMs // until when nothing is sent
	lastAnswerAt TenthMs
	quickSentAt  TenthMs // send time of the latest command known to be answered in good time

	openConns        int // as far as known
	peakInFlight     int
	peakSince        TenthMs // since when the peak is taken
	slowConnectUntil TenthMs // until then no connection is opened
	connsScarceUntil TenthMs // until then no idle connection is kept

	limit      float64 // commands in flight at most
	limitCutAt TenthMs // when the limit was last reduced
	share      float64 // the part of the offered commands that is accepted
	lateness   float64 // mean latency, as a part of the response target
	ratedAt    TenthMs // when the lateness was last updated
	sharedAt   TenthMs // when any router last told the others of this host

	startedAt    TenthMs // the latest known start; 0: long ago
	coldBudget   float64
	coldBudgetAt TenthMs // when the budget was last filled up
}

// Command is the handle of a command.
type Command struct {
	Name     string
	Host     *Host   // where a dispatch is in flight; nil: none is
	Attempts int     // dispatches so far
	SendBy   TenthMs // when the dispatch in flight must have been sent; 0: no limit

	set     *replicaSet
	group   *CommandGroup
	session string

	submittedAt TenthMs
	targetAt    TenthMs // when the response target ends
	timeoutAt   TenthMs // when the client gives up
	benefit     float64
	draw        float64 // random, compared with the share of a host
	minPosition TenthMs // what a read must see, unless it is BoundedStaleness

	done           bool // has its final answer, or is owed none
	queued         bool
	tried          []*Host
	sentAt         TenthMs
	neededPosition TenthMs // of the last dispatch; 0: none
	opensConn      bool    // the dispatch in flight opens a connection
	overdue        bool    // the dispatch in flight is past the response target
	mayHaveRunAt   TenthMs // first dispatch that may have run; 0: none
	faultPoints    int     // for errors and broken connections
	probes         int     // sent for it
	lastProbed     *Host   // the last host that was
}
