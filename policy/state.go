package policy

// Router is one router's view of the deployment, and the entry point of the package.
type Router struct {
	Deployment
	caller Caller

	now          Tenth
	wakeAt       Tenth // when the next call of Woke is expected
	evaluatedAt  Tenth // when all hosts were last evaluated
	stalledUntil Tenth // when the last stall of this process ended; silence before it proves nothing
	noPlanner    bool  // no planner is there to tell what is new
	randomDraws  Tenth // how many random numbers were drawn

	listRequested  bool
	listRequestAt  Tenth // when to request the list next; 0: it comes
	listRetryDelay Tenth // after the next refusal

	sets        map[int64]*replicaSet
	orderedSets []*replicaSet // in order of appearance
	hosts       []*Node
	hostsByID   map[string]*Node // by peerID
	models      map[string]*hostModel

	positionTTL Tenth            // how long a position counts as recent
	tokens      map[string]Tenth // by session, the position of its last write
	tokenFloor  Tenth            // no token that was dropped is greater

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
	members      []*Node // by name
	primary      *Node   // as far as known
	primaryDueAt Tenth   // when a primary is expected; long past: not known
	queue        []*Cmd  // highest priority first

	nextCandidate int   // the member to try next as primary
	nextTryAt     Tenth // the earliest time of that try

	probed      *Node // the replica that was probed for reads
	probedUntil Tenth // until when reads wait for its answer
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

// Node is a database host.
type Node struct {
	Name string

	set       *replicaSet
	model     *hostModel
	zone      string
	size      float64 // capacity relative to other hosts
	inList    bool    // seen in the list that is being read
	listState Standing

	role     Role
	roleAt   Tenth // when the host said so
	inFlight []*Cmd

	positionKnown bool
	position      Tenth // the host has applied all up to here
	positionAt    Tenth // when that was learned, or a probe was last sent
	lag           Tenth // estimate of how far behind the present the host is

	probing      bool
	ejected      bool // silent or unreachable: gets single trials only
	unreachable  bool // a probe must succeed first
	down         bool // took no connection, and no probe will tell when it is back
	backoff      Tenth
	retryAt      Tenth // until when nothing is sent
	lastAnswerAt Tenth
	quickSentAt  Tenth // send time of the latest command known to be answered in good time

	openConns        int // as far as known
	peakInFlight     int
	peakSince        Tenth // since when the peak is taken
	slowConnectUntil Tenth // until then no connection is opened
	connsScarceUntil Tenth // until then no idle connection is kept

	limit      float64 // commands in flight at most
	limitCutAt Tenth   // when the limit was last reduced
	share      float64 // the part of the offered commands that is accepted
	lateness   float64 // mean latency, as a part of the response target
	ratedAt    Tenth   // when the lateness was last updated
	sharedAt   Tenth   // when any router last told the others of this host

	startedAt    Tenth // the latest known start; 0: long ago
	coldBudget   float64
	coldBudgetAt Tenth // when the budget was last filled up
}

// Cmd is the handle of a command.
type Cmd struct {
	Name   string
	Node   *Node // where a dispatch is in flight; nil: none is
	Sent   int   // dispatches so far
	SendBy Tenth // when the dispatch in flight must have been sent; 0: no limit

	set     *replicaSet
	group   *CmdGroup
	session string

	submittedAt Tenth
	targetAt    Tenth // when the response target ends
	timeoutAt   Tenth // when the client gives up
	benefit     float64
	draw        float64 // random, compared with the share of a host
	minPosition Tenth   // what a read must see, unless it is Bounded

	done           bool // has its final answer, or is owed none
	queued         bool
	tried          []*Node
	sentAt         Tenth
	neededPosition Tenth // of the last dispatch; 0: none
	opensConn      bool  // the dispatch in flight opens a connection
	overdue        bool  // the dispatch in flight is past the response target
	mayHaveRunAt   Tenth // first dispatch that may have run; 0: none
	faultPoints    int   // for errors and broken connections
	probes         int   // sent for it
	lastProbed     *Node // the last host that was
}
