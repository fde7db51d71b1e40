package policy

// TenthMs is a point in time or a duration in tenths of a millisecond. Times count from an epoch that the caller chooses.
// Replication positions are times too, relative to Deployment.PositionEpoch.
type TenthMs = int64

// Idempotency states whether a command may run more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Keyed                            // carries an idempotency key; its replica set drops duplicates with the same key
	NotIdempotent                    // must not run more than once
)

// Consistency is the consistency level that a read requires, or Write for a command that writes.
type Consistency uint8

// The values of Consistency. Strong and Write require the primary.
const (
	AnyAge           Consistency = iota // any staleness is acceptable
	BoundedStaleness                    // staleness of at most CommandGroup.MaxStaleness
	ReadYourWrites                      // must see the earlier writes of its session
	Strong                              // must see all committed writes
	Write
)

// Outcome is the result of a dispatch.
type Outcome uint8

// The values of Outcome. Each comment states whether the command may have run.
const (
	Answered    Outcome = iota
	Errored             // the host answered with an error: may have taken effect
	Overloaded          // the host rejected it because of overload: did not run
	TimedOut            // no answer within the timeout: may have run, or may still run
	Unreachable         // no connection could be opened: did not run
	Reset               // the connection was lost: may have run
	Cancelled           // the dispatch was cancelled: may have run
	Expired             // Command.SendBy passed before it was sent: did not run
	Misrouted           // rejected because the host is not the primary or lags too far behind: did not run
)

// outcomeNames are the names of outcomes in counters, logs and stored summaries. They must not change, and some differ from
// the names of the constants.
var outcomeNames = [Misrouted + 1]string{
	"answered", "errored", "full", "timed_out", "unreached", "reset", "cancelled", "moot", "missed",
}

// String returns the name of the outcome in counters, logs and stored summaries.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Role is the replication role that a host reported.
type Role uint8

// The values of Role.
const (
	UnknownRole Role = iota
	Primary
	Replica
)

// ListState is the state of a host in the host list.
type ListState uint8

// The values of ListState.
const (
	Active   ListState = iota // accepts commands
	Draining                  // must not receive new commands
	Removed                   // no longer in the list
)

// CommandGroup defines a class of commands with the same requirements. Trace files store the exported fields under the names
// in their tags, or under their Go names.
type CommandGroup struct {
	IdempotencyClass    Idempotency `cbor:"Effect"`
	ConsistencyLevel    Consistency `cbor:"Need"`
	MaxStaleness        TenthMs     `cbor:"Bound"`  // maximum staleness of a BoundedStaleness read
	ResponseTarget      TenthMs     `cbor:"Target"` // response time that counts as good; no decision uses it
	Timeout             TenthMs     // client timeout, including the client's retries
	KeyRetention        TenthMs     `cbor:"Memory"`   // how long a replica set retains the key of a Keyed command
	DedupAcrossSets     bool        `cbor:"EverySet"` // all replica sets drop duplicates of a key, not only the one that got it first
	Benefit             float64     // value of an answer within the response target; no decision uses it
	LateBenefitFraction float64     `cbor:"LateShare"` // fraction of Benefit that a later answer is worth; no decision uses it

	priority float64 // queued commands of a lower number are served first; 0 is the highest priority
	latency  latencyStats
}

// Deployment is the configuration of a deployment, fixed when a router starts. Trace files store the fields under the names in
// their tags, or under their Go names.
type Deployment struct {
	Seed          uint32  // seed of the random numbers
	PositionEpoch TenthMs `cbor:"Zero"` // epoch of replication positions
	Tick          TenthMs // minimum interval between two calls of Router.WakeUp; at least 10
	RouterCount   int     `cbor:"Routers"` // number of routers, including this one
	Zone          string  // zone of this router
	MaxDispatches int     `cbor:"Dispatches"` // maximum number of dispatches for one command

	HostsCheckPosition bool    `cbor:"Guarded"`    // hosts reject a read whose required position they have not reached
	PositionWait       TenthMs `cbor:"Wait"`       // how long a host delays a read to catch up before it rejects the read
	LocalSessionTokens bool    `cbor:"Kept"`       // only this router tracks sessions' writes; commands do not state the last write
	PositionsReported  bool    `cbor:"Reports"`    // probes and answers include replication positions
	ProbesEnabled      bool    `cbor:"Probes"`     // hosts support probes
	ExplicitPrimary    bool    `cbor:"Led"`        // the primary is set only by Host.SetPrimary, and writes go to no other host
	UsesPlanners       bool    `cbor:"Told"`       // updates come from planners (Host.ApplyPlannerUpdate, SetRouterCount), not probes
	PeerUpdatesEnabled bool    `cbor:"Peers"`      // routers send each other updates
	PeerUpdateCost     float64 `cbor:"PeerPrice"`  // cost of a full message (256 bytes) per command; no decision uses it
	ProbeCost          float64 `cbor:"ProbePrice"` // cost of a probe per command; no decision uses it

	StreamsPerConn     int     `cbor:"Streams"`    // concurrent commands per connection; at least 1
	IdleConnTimeout    TenthMs `cbor:"IdleFor"`    // idle time after which a connection is closed
	ConnectTimeout     TenthMs `cbor:"ConnectFor"` // timeout for opening a connection
	MaxRetryAfter      TenthMs `cbor:"Comeback"`   // maximum retry delay that throttled clients observe; 0: none
	ColdOverloadFactor float64 `cbor:"FallFactor"` // load, relative to a cold host's capacity, at which it fails
	ColdOverloadWindow TenthMs `cbor:"FallSpan"`   // interval over which the load of a cold host is measured
	ColdCapacity       float64 `cbor:"ColdFrom"`   // initial capacity, as a fraction of a warm host's
	ColdDuration       TenthMs `cbor:"ColdFor"`    // duration of the cold start
	KeepUnlistedHosts  bool    `cbor:"DrainAlone"` // hosts that left the list may be up and stay in use; only a drain stops them
	ListTimeout        TenthMs `cbor:"AskWithin"`  // the list must be requested, and counts as unknown after this time; 0: it is pushed

	Groups []*CommandGroup
}

// Caller carries out the actions that the router decides on. The router calls its methods during calls into the router. They
// must not call back into it.
type Caller interface {
	// Dispatch sends a command to a host. If Command.SendBy has passed, the dispatch ends as Expired; if there is no answer within
	// timeout, as TimedOut. If timeout is 0, the client's timeout applies.
	Dispatch(c *Command, host *Host, timeout TenthMs)
	// RejectRetryable rejects a command. The client may retry it, after retryAfter if that is not 0. It is the final answer.
	RejectRetryable(c *Command, retryAfter TenthMs)
	// Fail fails a command that must not be retried. It is the final answer.
	Fail(c *Command)
	// Probe starts a health check of a host. Its result is reported with Host.EndProbe.
	Probe(host *Host)
	// CloseIdleConns closes the idle connections to a host.
	CloseIdleConns(host *Host)
	// ReleaseHost releases a host that left the list. No later call refers to it.
	ReleaseHost(host *Host)
	// RequestHostList requests the host list and a subscription to its changes.
	RequestHostList()
	// Broadcast sends a message to all other routers, which pass it to Router.ReceivePeerUpdate. Delivery is not guaranteed.
	Broadcast(body string)
	// ScheduleWakeUp schedules one call of Router.WakeUp, which replaces the one scheduled before.
	ScheduleWakeUp(after TenthMs)
}

// SetPriority sets the priority of a group's commands in queues; 0, as at the start, is the highest, and lower numbers are served first.
// Trace files do not store it.
func (g *CommandGroup) SetPriority(priority float64) { g.priority = priority }

// SetPrimary records that, from now on, a host is or is not the primary of its replica set.
func (h *Host) SetPrimary(isPrimary bool) {
	role := Replica
	if isPrimary {
		role = Primary
	}
	h.updateRole(role, h.set.router.now)
}

// ExpectPrimary sets the time at which a replica set without a primary is expected to have one.
func (r *Router) ExpectPrimary(set int64, at TenthMs) { r.replicaSet(set).primaryExpectedAt = at }

// PlannerLatency converts a latency as planners encode it to the form that Host.ApplyPlannerUpdate takes. Planners send 0 for
// unknown, and otherwise the latency in steps of half the unloaded latency, plus 1.
func PlannerLatency(encoded uint8) TenthMs {
	if encoded == 0 {
		return peerLatencyUnknown
	}
	return TenthMs(encoded) - 1
}

// SetRouterCount sets the number of routers, and whether no planner is available.
func (r *Router) SetRouterCount(routers int, noPlanner bool) {
	r.RouterCount, r.noPlanner = max(1, routers), noPlanner
}

// IsFinished reports whether the command has its final answer, or needs none, and has no dispatch in flight.
func (c *Command) IsFinished() bool { return c.done && c.Host == nil }

// Abandon ends a command that needs no answer any more, for example because its client has disconnected.
func (c *Command) Abandon() { c.done, c.queued = true, false }

// IsQueued reports whether the command waits in the queue.
func (c *Command) IsQueued() bool { return c.queued }

// Work returns the cost of a command relative to the average command.
func (c *Command) Work() float64 { return c.work() }

// ColdSince returns the start time of a cold host, or 0 for a warm host.
func (h *Host) ColdSince() TenthMs {
	if h.isCold() {
		return h.startedAt
	}
	return 0
}

// ReportedLatency returns a latency as reports to planners state it: in hundredths of the steps that PlannerLatency decodes.
func (c *Command) ReportedLatency(latency TenthMs) uint32 {
	return uint32(reportsPerLatencyStep * min(maxLatencyRatio, c.group.latency.ratio(latency)) * peerLatencySteps)
}

// NeededPosition returns the position that the command's last dispatch required, or 0 for none.
func (c *Command) NeededPosition() TenthMs { return c.neededPosition }

// The bits of MemberState.Flags, which trace files store.
const (
	memberEjected = 1 << iota
	memberUnreachable
	memberCold
	memberPositionKnown
	memberPrimary // the member that this router treats as the primary
)

// MemberState is a router's current view of a member of a replica set.
type MemberState struct {
	ListState           ListState
	Role                Role
	Position            TenthMs
	InFlight            int     // number of commands in flight
	LatencyRatio, Share float64 // mean latency as a multiple of the unloaded latency; fraction of offered commands accepted
	Flags               int64   // 1: ejected, 2: unreachable, 4: cold, 8: position known, 16: treated as the primary
}

// VisitMembers calls visit for each member of the command's replica set, ordered by name.
func (c *Command) VisitMembers(visit func(host *Host, state MemberState)) {
	for _, h := range c.set.members {
		visit(h, MemberState{h.listState, h.role, h.position, len(h.inFlight), h.latencyRatio, h.share, h.memberFlags()})
	}
}

func (h *Host) memberFlags() (flags int64) {
	for _, flag := range []struct {
		set bool
		bit int64
	}{
		{h.ejected, memberEjected},
		{h.unreachable || h.down, memberUnreachable},
		{h.isCold(), memberCold},
		{h.positionKnown, memberPositionKnown},
		{h == h.set.primary, memberPrimary},
	} {
		if flag.set {
			flags |= flag.bit
		}
	}
	return flags
}
