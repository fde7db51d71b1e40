package policy

// Tenth is a moment or a span in whole tenths of a millisecond. Positions in
// the log are moments too, counted from the deployment's zero.
type Tenth = int64

// Effect says how often a command may run.
type Effect uint8

const (
	Replayable Effect = iota
	Keyed             // carries a mark by which its replica set drops a repeat
	Mutating          // must never run twice
)

// Need says what data a command must see.
type Need uint8

const (
	Any Need = iota
	Bounded
	Session
	Fresh
	Write
)

// Outcome is how a dispatch ended.
type Outcome uint8

const (
	Answered  Outcome = iota
	Errored           // may have had its effect
	Full              // turned away unseen: never ran
	TimedOut          // may have run, may run still
	Unreached         // no connection: never ran
	Reset             // the connection broke: may have run
	Cancelled         // may have run
	Moot              // never sent
	Missed            // not the primary, or too far behind: never ran
)

var outcomes = [Missed + 1]string{"answered", "errored", "full", "timed_out", "unreached", "reset", "cancelled", "moot", "missed"}

// String is an outcome's name in counters, logs and summaries.
func (o Outcome) String() string {
	if int(o) < len(outcomes) {
		return outcomes[o]
	}
	return "unknown"
}

// Role is what a host said it is.
type Role uint8

const (
	Unknown Role = iota
	Primary
	Replica
)

// Standing is what the host list says of a host.
type Standing uint8

const (
	In Standing = iota
	Draining
	Gone
)

// CmdGroup is a command group as the deployment states it.
type CmdGroup struct {
	Effect    Effect
	Need      Need
	Bound     Tenth // how old the data of a Bounded read may be
	Target    Tenth // the response target
	Timeout   Tenth // the client timeout over all of a client's tries
	Memory    Tenth // how long a replica set drops repeats of a Keyed command
	EverySet  bool  // repeats of a Keyed command are dropped everywhere
	Benefit   float64
	LateShare float64 // what is left of the benefit past the response target

	meanLatency, samples float64
	firstTryTime         Tenth // the time that a first try has
	firstTryVotes        int   // for it
}

// Deployment is what a deployment states at start.
type Deployment struct {
	Seed       uint32
	Zero       Tenth // where positions are counted from
	Tick       Tenth // the shortest time between two calls of Woke
	Routers    int   // how many routers there are, this one included
	Zone       string
	Dispatches int // the most that one command may have

	Guarded    bool  // hosts turn away a read that they are too far behind for
	Wait       Tenth // for which they let it wait first
	Kept       bool  // sessions bring no write time, only this router's memory counts
	Reports    bool  // probes, at least, bring positions
	Probes     bool
	Led        bool    // who the primary is comes by Leads alone: no other is tried for writes
	Told       bool    // lives by the views of planners: what is new comes by Told, and Count says how many share it
	Peers      bool    // routers may tell each other
	PeerPrice  float64 // what a full message (256 bytes) a command takes off the service
	ProbePrice float64 // what a probe a command takes off the service

	Streams    int   // commands that one connection carries at a time
	IdleFor    Tenth // after which an idle connection is closed
	ConnectFor Tenth // the longest time that a connection may take to come up
	Comeback   Tenth // the longest wait that a client heeds; 0: none
	FallFactor float64
	FallSpan   Tenth
	ColdFrom   float64
	ColdFor    Tenth
	DrainAlone bool  // only a drain binds; a host that left the list may be up
	AskWithin  Tenth // the list comes only to those who ask, and who have not for so long count as told; 0: it comes

	Groups []*CmdGroup
}

// Caller is what the module asks of whoever runs it: the drill adapter, or a
// real router. None of these calls back into the module.
type Caller interface {
	Dispatch(c *Cmd, n *Node, timeout Tenth) // timeout 0: until the client gives up; past c.SendBy it is Moot
	Throttle(c *Cmd, comeback Tenth)         // final; comeback 0: none named
	Fail(c *Cmd)                             // final
	Probe(n *Node)
	Close(n *Node)    // the idle connections to a host
	Forget(n *Node)   // it left the list, and no call will name it again
	Watch()           // asks for the list, and what changes from then on
	Tell(body string) // to every other router, may be lost
	Wake(after Tenth) // one call of Router.Woke
}

// The calls into the module, besides New: Router.Clock before those of a new
// moment; Router.Host once for each host, Node.Listed for each entry of a list
// and Router.ListDone after it; Router.Take for a command, then Cmd.Ended and
// Cmd.Left on its handle; Node.Reported and Node.Probed; Node.Told and
// Router.Count; Router.Heard; Router.Woke.

// Group readies a command group that was not there at start.
func (r *Router) Group(g *CmdGroup) *CmdGroup {
	g.meanLatency, g.samples = float64(g.Target)/3, 1
	return g
}

// Leads says that a host is the primary of its set from now on, or no longer.
func (n *Node) Leads(yes bool) {
	role := Replica
	if yes {
		role = Primary
	}
	n.updateRole(role, n.set.router.now)
}

// Due says when a set without a primary is expected to have one, where that is known.
func (r *Router) Due(set int64, at Tenth) { r.replicaSet(set).primaryDueAt = at }

// Lateness is the word that Told takes for a view's: one more than the tenths of the response target, 0 for not known.
func Lateness(late uint8) Tenth {
	if late == 0 {
		return peerLatencyUnknown
	}
	return Tenth(late) - 1
}

// Held says whether a command waits for a place.
func (c *Cmd) Held() bool { return c.queued }

// Work is how much a command asks for, in commands of the usual mix.
func (c *Cmd) Work() float64 { return c.work() }

// Cold says since when a host is cold, or 0.
func (n *Node) Cold() Tenth {
	if n.cold() {
		return n.startedAt
	}
	return 0
}

// Spent is the part of the response target that an answer took.
func (c *Cmd) Spent(took Tenth) float64 { return float64(took) / float64(max(1, c.group.Target)) }

// SentFor is the position that a command's last dispatch was for; 0: none.
func (c *Cmd) SentFor() Tenth { return c.neededPosition }

// Seen is a member of a set as the module sees it now. State adds 1 for a silent host, 2 for one out of reach, 4 for a
// cold one, 8 for one whose position is known and 16 for the primary that is followed.
type Seen struct {
	Standing    Standing
	Role        Role
	Position    Tenth
	Out         int
	Late, Share float64
	State       int64
}

// Members visits the members of a command's set.
func (c *Cmd) Members(visit func(n *Node, s Seen)) {
	for _, n := range c.set.members {
		state := int64(0)
		for i, is := range []bool{n.ejected, n.unreachable || n.down, n.cold(), n.positionKnown, n == c.set.primary} {
			if is {
				state |= 1 << i
			}
		}
		visit(n, Seen{n.standing, n.role, n.position, len(n.inFlight), n.lateness, n.share, state})
	}
}
