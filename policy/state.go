package policy

// Router holds one router's view of the deployment. It is the entry point of the package.
type Router struct {
	Deployment
	caller Caller

	now          TenthMs
	wakeAt       TenthMs // time of the next scheduled WakeUp
	evaluatedAt  TenthMs // time of the last evaluation of all hosts
	stalledUntil TenthMs // end of the last stall of this process; silence before it is no evidence against a host
	noPlanner    bool    // no planner is available to send updates
	randomDraws  TenthMs // number of random numbers drawn

	listRequested     bool
	nextListRequestAt TenthMs // time of the next list request; 0: none is due
	listRetryDelay    TenthMs // delay after the next refused request

	sets        map[int64]*replicaSet // keyed by ID
	orderedSets []*replicaSet         // replica sets in creation order
	hosts       []*Host
	hostsByID   map[string]*Host      // keyed by peerID
	models      map[string]*hostModel // keyed by name of the hardware model

	positionTTL     TenthMs            // age up to which a position counts as recent
	sessionTokens   map[string]TenthMs // position of the last write, keyed by session
	evictedTokenMax TenthMs            // upper bound of the positions evicted from sessionTokens

	answerGaps    window  // times between consecutive answers of the same host, in tenths of a millisecond
	meanLatency   float64 // mean latency of answers, in tenths of a millisecond
	meanReportAge float64 // mean age of load reports, in tenths of a millisecond

	probesForReads bool    // probes are sent only to find a replica for a waiting read
	probeCredit    float64 // number of probes that may be sent
	peerCredit     float64 // number of bytes that may be sent to other routers
}

// hostModel holds the measured throughput of the hosts of one hardware model.
type hostModel struct {
	warmRate     float64 // mean work of a warm host per tenth of a millisecond and unit of size
	measuredSpan float64 // duration that warmRate averages, in tenths of a millisecond
	workDone     float64 // work done by warm hosts since the last evaluation
	warmSize     float64 // total size of warm hosts in this evaluation
}

// replicaSet is a primary and the replicas of its data.
type replicaSet struct {
	router            *Router
	members           []*Host    // ordered by name
	primary           *Host      // nil: not known
	primaryExpectedAt TenthMs    // time at which a primary is expected; not known if in the past
	queue             []*Command // in the order of Command.precedes

	nextCandidate   int     // index of the member to try next as primary
	nextCandidateAt TenthMs // earliest time to try nextCandidate

	probedReplica  *Host   // replica with a probe in flight on behalf of reads
	probeWaitUntil TenthMs // time until which reads wait for probedReplica's probe
}

// replicaSet returns the replica set with an ID, and creates it if it does not exist.
func (r *Router) replicaSet(id int64) *replicaSet {
	set := r.sets[id]
	if set == nil {
		set = &replicaSet{router: r}
		r.sets[id], r.orderedSets = set, append(r.orderedSets, set)
	}
	return set
}

// Host is this router's view of a database host.
type Host struct {
	Name string

	set           *replicaSet
	model         *hostModel
	zone          string
	size          float64 // relative capacity; 1 is normal
	inCurrentList bool    // appears in the list that is being processed
	listState     ListState

	role     Role
	roleAt   TenthMs // time at which the role was valid
	inFlight []*Command

	positionKnown bool
	position      TenthMs // the host has applied the log at least up to here
	positionAt    TenthMs // time of the last update of position or lag; at least 1 once probed
	lag           TenthMs // estimated replication lag

	probing        bool
	ejected        bool // silent or unreachable: receives only single trial commands
	unreachable    bool // receives no commands until a probe succeeds
	down           bool // accepted no connection; cleared by its next answer or restart, since no probe will detect its recovery
	backoff        TenthMs
	retryAt        TenthMs // no commands are sent before this time
	lastAnswerAt   TenthMs
	lastFastSentAt TenthMs // send time of the latest command that was answered as fast as by a host that is not overloaded

	openConns           int     // estimated number of open connections
	peakInFlight        int     // maximum number of commands in flight at once in the current interval
	peakStartedAt       TenthMs // start of the interval that peakInFlight covers
	slowConnectUntil    TenthMs // no new connections before this time
	connsExhaustedUntil TenthMs // idle connections are closed until this time

	limit            float64 // maximum number of commands in flight
	nextLimitCutAt   TenthMs // earliest time of the next reduction of the limit
	share            float64 // fraction of offered commands that is accepted
	latencyRatio     float64 // mean latency as a multiple of the unloaded latency, at most maxLatencyRatio
	latencyUpdatedAt TenthMs // time of the last update of latencyRatio
	lastPublishedAt  TenthMs // time of the last message of any router about this host

	startedAt          TenthMs // latest known start; 0: long ago
	coldBudget         float64 // work that may be sent to the host while it is cold
	coldBudgetFilledAt TenthMs // time of the last refill of coldBudget
}

// Command is a client's command from Submit to its final answer.
type Command struct {
	Name     string
	Host     *Host   // host of the dispatch in flight; nil: none
	Attempts int     // number of dispatches so far
	SendBy   TenthMs // deadline for sending the dispatch in flight; 0: none

	set     *replicaSet
	group   *CommandGroup
	session string

	timeoutAt   TenthMs // deadline of the client
	sendBefore  TenthMs // time before which a queued command must be sent for an answer before timeoutAt
	shareDraw   float64 // random number in [0, 1), compared with the share of a host
	minPosition TenthMs // position that a read requires, unless it is BoundedStaleness

	done           bool // has its final answer, or needs none
	queued         bool
	triedHosts     []*Host // hosts of the dispatches that have ended
	sentAt         TenthMs // time of the last dispatch
	neededPosition TenthMs // position that the last dispatch required; 0: none
	opensConn      bool    // the dispatch in flight opens a connection
	overdueAt      TenthMs // time at which the answer of the dispatch in flight is assumed lost
	overdue        bool    // overdueAt has passed
	mayHaveRunAt   TenthMs // send time of the first dispatch that may have run; 0: none
	faultPoints    int     // points for errors and resets; see faultLimit
	probeCount     int     // number of probes sent for the command
	lastProbedHost *Host   // host of the command's latest probe
}
