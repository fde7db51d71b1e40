package policy

// TenthMs is a time or a span in tenths of a millisecond. Times count from an epoch that the caller chooses. Positions in the
// log are times too, counted from Deployment.Zero.
type TenthMs = int64

// Idempotency says how often a command may run.
type Idempotency uint8

// The effects of a command.
const (
	Idempotent    Idempotency = iota // idempotent: may run any number of times
	Keyed                            // carries an idempotency key, by which its replica set drops a repeat
	NotIdempotent                    // must never run twice
)

// Consistency says what data a command must see, or that it writes.
type Consistency uint8

// The needs of a command. From Strong on, only a primary will do.
const (
	AnyAge           Consistency = iota // data of any age
	BoundedStaleness                    // data that is no older than CommandGroup.Bound
	ReadYourWrites                      // the earlier writes of its own session
	Strong                              // the latest data
	Write
)

// Outcome is how a dispatch ended.
type Outcome uint8

// The outcomes of a dispatch.
const (
	Answered    Outcome = iota
	Errored             // the host answered with an error: may have had its effect
	Overloaded          // the host rejected it for overload: never ran
	TimedOut            // may have run, may run still
	Unreachable         // no connection: never ran
	Reset               // the connection broke: may have run
	Cancelled           // may have run
	Expired             // expired before it was sent
	Misrouted           // rejected, as the host is not the primary, or too far behind: never ran
)

var outcomeNames = [Misrouted + 1]string{
	"answered", "errored", "full", "timed_out", "unreached", "reset", "cancelled", "moot", "missed",
}

// String is the name of an outcome in counters, logs and summaries.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Role is what a host said it is.
type Role uint8

// The roles of a host.
const (
	UnknownRole Role = iota
	Primary
	Replica
)

// ListState is what the list says of a host.
type ListState uint8

// The standings of a host.
const (
	Active   ListState = iota // may be sent commands
	Draining                  // is sent no more
	Removed                   // left the list
)

// CommandGroup is a group of commands with the same requirements, as the deployment states it. Trace files store the names of the
// exported fields.
type CommandGroup struct {
	Effect    Idempotency
	Need      Consistency
	Bound     TenthMs // how old the data of a BoundedStaleness read may be
	Target    TenthMs // the response target
	Timeout   TenthMs // the client timeout, over all attempts of a client
	Memory    TenthMs // how long a replica set remembers the key of a Keyed command
	EverySet  bool    // all replica sets drop repeats of a Keyed command, not only the one that it was sent to
	Benefit   float64 // of an answer within the response target
	LateShare float64 // the part of the benefit that is left past the response target

	meanLatency   float64 // in tenths
	samples       float64 // that it is a mean of
	firstTryTime  TenthMs // the time that clients give first attempts
	firstTryVotes int     // for that time
}

// Deployment is what a deployment states at the start. Trace files store the names of its fields.
type Deployment struct {
	Seed       uint32  // of the random numbers
	Zero       TenthMs // where positions are counted from
	Tick       TenthMs // the shortest time between two calls of Router.WakeUp; at least 10
	Routers    int     // how many routers there are, this one included
	Zone       string  // of this router
	Dispatches int     // the most that one command may have

	Guarded    bool    // hosts reject a read that they are too far behind for
	Wait       TenthMs // how long they let it wait before that
	Kept       bool    // only this router knows the sessions' writes: commands don't bring their times
	Reports    bool    // probes and answers bring positions
	Probes     bool    // hosts can be probed
	Led        bool    // the primary is known by Host.SetPrimary alone: no other host is tried for writes
	Told       bool    // planners tell what is new by Host.ApplyPlannerUpdate and Router.SetRouterCount; there are no probes
	Peers      bool    // routers may send each other messages
	PeerPrice  float64 // what a full message (256 bytes) for each command costs, as a part of the service
	ProbePrice float64 // what a probe for each command costs, as a part of the service

	Streams    int     // commands that one connection carries at a time; at least 1
	IdleFor    TenthMs // after which an idle connection is closed
	ConnectFor TenthMs // the longest time that opening a connection may take
	Comeback   TenthMs // the longest wait that a throttled client heeds; 0: none
	FallFactor float64 // by how much a cold host may exceed ColdFrom before it fails
	FallSpan   TenthMs // over which that is measured
	ColdFrom   float64 // capacity of a host at its start, as a part of a warm one's
	ColdFor    TenthMs // how long a host is cold
	DrainAlone bool    // only a drain binds: a host that left the list may be up
	AskWithin  TenthMs // the list must be requested, and counts as unknown after this time; 0: it comes by itself

	Groups []*CommandGroup
}

// Caller carries out what the router asks for. Its methods are called during calls into the router, and must not call back
// into it.
type Caller interface {
	// Dispatch sends a command to a host, unless Command.SendBy has passed: then it ends as Expired. If there is no answer within
	// timeout, it ends as TimedOut; 0: the client's own timeout.
	Dispatch(c *Command, host *Host, timeout TenthMs)
	// Throttle is the final answer of a command whose client may retry, after comeback if that is not 0.
	Throttle(c *Command, comeback TenthMs)
	// Fail is the final answer of a command that must not be retried.
	Fail(c *Command)
	// Probe asks for a health check, whose end is reported by Host.EndProbe.
	Probe(host *Host)
	// Close closes the idle connections to a host.
	Close(host *Host)
	// Forget says that no later call names the host, which left the list.
	Forget(host *Host)
	// Watch requests the list of hosts, and its changes from then on.
	Watch()
	// Tell sends a message to all other routers, which call Router.ReceivePeerUpdate. It may be lost.
	Tell(body string)
	// Wake asks for one call of Router.WakeUp after a span. It replaces the one before.
	Wake(after TenthMs)
}

// InitGroup readies a command group that was not among Deployment.Groups.
func (r *Router) InitGroup(group *CommandGroup) *CommandGroup {
	group.meanLatency, group.samples = float64(group.Target)/3, 1
	return group
}

// SetPrimary says that a host is the primary of its replica set from now on, or is no longer.
func (h *Host) SetPrimary(isPrimary bool) {
	role := Replica
	if isPrimary {
		role = Primary
	}
	h.updateRole(role, h.set.router.now)
}

// ExpectPrimary says when a replica set without a primary is expected to have one.
func (r *Router) ExpectPrimary(set int64, at TenthMs) { r.replicaSet(set).primaryDueAt = at }

// PlannerLatency converts a planner's latency, one more than the tenths of the response target and 0 for unknown, to that of
// Host.ApplyPlannerUpdate.
func PlannerLatency(late uint8) TenthMs {
	if late == 0 {
		return peerLatencyUnknown
	}
	return TenthMs(late) - 1
}

// SetRouterCount says how many routers there are, and whether no planner is there to tell what is new.
func (r *Router) SetRouterCount(routers int, noPlanner bool) {
	r.Routers, r.noPlanner = max(1, routers), noPlanner
}

// IsFinished says that the command has its final answer, or is owed none, and that no dispatch of it is in flight.
func (c *Command) IsFinished() bool { return c.done && c.Host == nil }

// Abandon ends a command whose client is gone.
func (c *Command) Abandon() { c.done, c.queued = true, false }

// IsQueued says whether a command is queued.
func (c *Command) IsQueued() bool { return c.queued }

// Work is how much a command asks for, in commands of the usual mix.
func (c *Command) Work() float64 { return c.work() }

// ColdSince is when a cold host started, or 0 for a warm one.
func (h *Host) ColdSince() TenthMs {
	if h.cold() {
		return h.startedAt
	}
	return 0
}

// TargetFraction is a latency as a part of the command's response target.
func (c *Command) TargetFraction(took TenthMs) float64 {
	return float64(took) / float64(max(1, c.group.Target))
}

// NeededPosition is the position that a command's last dispatch needed; 0: none.
func (c *Command) NeededPosition() TenthMs { return c.neededPosition }

// The bits of MemberState.Flags, which trace files store.
const (
	memberEjected = 1 << iota
	memberUnreachable
	memberCold
	memberPositionKnown
	memberPrimary // the one that is followed
)

// MemberState is a member of a replica set as the router sees it now.
type MemberState struct {
	ListState       ListState
	Role            Role
	Position        TenthMs
	InFlight        int     // commands in flight
	Lateness, Share float64 // mean latency as a part of the response target; part of the offered commands that it gets
	Flags           int64   // 1: ejected, 2: unreachable, 4: cold, 8: its position is known, 16: the primary that is followed
}

// VisitMembers visits the members of a command's replica set, by name.
func (c *Command) VisitMembers(visit func(host *Host, state MemberState)) {
	for _, h := range c.set.members {
		visit(h, MemberState{h.listState, h.role, h.position, len(h.inFlight), h.lateness, h.share, h.memberFlags()})
	}
}

func (h *Host) memberFlags() (state int64) {
	for _, flag := range []struct {
		set bool
		bit int64
	}{
		{h.ejected, memberEjected},
		{h.unreachable || h.down, memberUnreachable},
		{h.cold(), memberCold},
		{h.positionKnown, memberPositionKnown},
		{h == h.set.primary, memberPrimary},
	} {
		if flag.set {
			state |= flag.bit
		}
	}
	return state
}
