package policy

// Tenth is a time or a span in tenths of a millisecond. Times count from an epoch that the caller chooses. Positions in the
// log are times too, counted from Deployment.Zero.
type Tenth = int64

// Effect says how often a command may run.
type Effect uint8

// The effects of a command.
const (
	Replayable Effect = iota // idempotent: may run any number of times
	Keyed                    // carries an idempotency key, by which its replica set drops a repeat
	Mutating                 // must never run twice
)

// Need says what data a command must see, or that it writes.
type Need uint8

// The needs of a command. From Fresh on, only a primary will do.
const (
	Any     Need = iota // data of any age
	Bounded             // data that is no older than CmdGroup.Bound
	Session             // the earlier writes of its own session
	Fresh               // the latest data
	Write
)

// Outcome is how a dispatch ended.
type Outcome uint8

// The outcomes of a dispatch.
const (
	Answered  Outcome = iota
	Errored           // the host answered with an error: may have had its effect
	Full              // the host rejected it for overload: never ran
	TimedOut          // may have run, may run still
	Unreached         // no connection: never ran
	Reset             // the connection broke: may have run
	Cancelled         // may have run
	Moot              // expired before it was sent
	Missed            // rejected, as the host is not the primary, or too far behind: never ran
)

var outcomeNames = [Missed + 1]string{
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
	Unknown Role = iota
	Primary
	Replica
)

// Standing is what the list says of a host.
type Standing uint8

// The standings of a host.
const (
	In       Standing = iota // may be sent commands
	Draining                 // is sent no more
	Gone                     // left the list
)

// CmdGroup is a group of commands with the same requirements, as the deployment states it. Trace files store the names of the
// exported fields.
type CmdGroup struct {
	Effect    Effect
	Need      Need
	Bound     Tenth   // how old the data of a Bounded read may be
	Target    Tenth   // the response target
	Timeout   Tenth   // the client timeout, over all attempts of a client
	Memory    Tenth   // how long a replica set remembers the key of a Keyed command
	EverySet  bool    // all replica sets drop repeats of a Keyed command, not only the one that it was sent to
	Benefit   float64 // of an answer within the response target
	LateShare float64 // the part of the benefit that is left past the response target

	meanLatency   float64 // in tenths
	samples       float64 // that it is a mean of
	firstTryTime  Tenth   // the time that clients give first attempts
	firstTryVotes int     // for that time
}

// Deployment is what a deployment states at the start. Trace files store the names of its fields.
type Deployment struct {
	Seed       uint32 // of the random numbers
	Zero       Tenth  // where positions are counted from
	Tick       Tenth  // the shortest time between two calls of Router.Woke; at least 10
	Routers    int    // how many routers there are, this one included
	Zone       string // of this router
	Dispatches int    // the most that one command may have

	Guarded    bool    // hosts reject a read that they are too far behind for
	Wait       Tenth   // how long they let it wait before that
	Kept       bool    // only this router knows the sessions' writes: commands don't bring their times
	Reports    bool    // probes and answers bring positions
	Probes     bool    // hosts can be probed
	Led        bool    // the primary is known by Node.Leads alone: no other host is tried for writes
	Told       bool    // planners tell what is new by Node.Told and Router.Count; there are no probes
	Peers      bool    // routers may send each other messages
	PeerPrice  float64 // what a full message (256 bytes) for each command costs, as a part of the service
	ProbePrice float64 // what a probe for each command costs, as a part of the service

	Streams    int     // commands that one connection carries at a time; at least 1
	IdleFor    Tenth   // after which an idle connection is closed
	ConnectFor Tenth   // the longest time that opening a connection may take
	Comeback   Tenth   // the longest wait that a throttled client heeds; 0: none
	FallFactor float64 // by how much a cold host may exceed ColdFrom before it fails
	FallSpan   Tenth   // over which that is measured
	ColdFrom   float64 // capacity of a host at its start, as a part of a warm one's
	ColdFor    Tenth   // how long a host is cold
	DrainAlone bool    // only a drain binds: a host that left the list may be up
	AskWithin  Tenth   // the list must be requested, and counts as unknown after this time; 0: it comes by itself

	Groups []*CmdGroup
}

// Caller carries out what the router asks for. Its methods are called during calls into the router, and must not call back
// into it.
type Caller interface {
	// Dispatch sends a command to a host, unless Cmd.SendBy has passed: then it ends as Moot. If there is no answer within
	// timeout, it ends as TimedOut; 0: the client's own timeout.
	Dispatch(c *Cmd, host *Node, timeout Tenth)
	// Throttle is the final answer of a command whose client may retry, after comeback if that is not 0.
	Throttle(c *Cmd, comeback Tenth)
	// Fail is the final answer of a command that must not be retried.
	Fail(c *Cmd)
	// Probe asks for a health check, whose end is reported by Node.Probed.
	Probe(host *Node)
	// Close closes the idle connections to a host.
	Close(host *Node)
	// Forget says that no later call names the host, which left the list.
	Forget(host *Node)
	// Watch requests the list of hosts, and its changes from then on.
	Watch()
	// Tell sends a message to all other routers, which call Router.Heard. It may be lost.
	Tell(body string)
	// Wake asks for one call of Router.Woke after a span. It replaces the one before.
	Wake(after Tenth)
}

// Group readies a command group that was not among Deployment.Groups.
func (r *Router) Group(group *CmdGroup) *CmdGroup {
	group.meanLatency, group.samples = float64(group.Target)/3, 1
	return group
}

// Leads says that a host is the primary of its replica set from now on, or is no longer.
func (h *Node) Leads(isPrimary bool) {
	role := Replica
	if isPrimary {
		role = Primary
	}
	h.updateRole(role, h.set.router.now)
}

// Due says when a replica set without a primary is expected to have one.
func (r *Router) Due(set int64, at Tenth) { r.replicaSet(set).primaryDueAt = at }

// Lateness converts a planner's latency, one more than the tenths of the response target and 0 for unknown, to that of
// Node.Told.
func Lateness(late uint8) Tenth {
	if late == 0 {
		return peerLatencyUnknown
	}
	return Tenth(late) - 1
}

// Count says how many routers there are, and whether no planner is there to tell what is new.
func (r *Router) Count(routers int, noPlanner bool) {
	r.Routers, r.noPlanner = max(1, routers), noPlanner
}

// Over says that the command has its final answer, or is owed none, and that no dispatch of it is in flight.
func (c *Cmd) Over() bool { return c.done && c.Node == nil }

// Left ends a command whose client is gone.
func (c *Cmd) Left() { c.done, c.queued = true, false }

// Held says whether a command is queued.
func (c *Cmd) Held() bool { return c.queued }

// Work is how much a command asks for, in commands of the usual mix.
func (c *Cmd) Work() float64 { return c.work() }

// Cold is when a cold host started, or 0 for a warm one.
func (h *Node) Cold() Tenth {
	if h.cold() {
		return h.startedAt
	}
	return 0
}

// Spent is a latency as a part of the command's response target.
func (c *Cmd) Spent(took Tenth) float64 { return float64(took) / float64(max(1, c.group.Target)) }

// SentFor is the position that a command's last dispatch needed; 0: none.
func (c *Cmd) SentFor() Tenth { return c.neededPosition }

// The bits of Seen.State, which trace files store.
const (
	memberEjected = 1 << iota
	memberUnreachable
	memberCold
	memberPositionKnown
	memberPrimary // the one that is followed
)

// Seen is a member of a replica set as the router sees it now.
type Seen struct {
	Standing    Standing
	Role        Role
	Position    Tenth
	Out         int     // commands in flight
	Late, Share float64 // mean latency as a part of the response target; part of the offered commands that it gets
	State       int64   // 1: ejected, 2: unreachable, 4: cold, 8: its position is known, 16: the primary that is followed
}

// Members visits the members of a command's replica set, by name.
func (c *Cmd) Members(visit func(host *Node, state Seen)) {
	for _, h := range c.set.members {
		visit(h, Seen{h.listState, h.role, h.position, len(h.inFlight), h.lateness, h.share, h.memberFlags()})
	}
}

func (h *Node) memberFlags() (state int64) {
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
