// Package checker judges what clients were answered by what simulated hosts ran and kept: no read is stale, no acknowledged
// write is lost, no write is in the log twice, and no write is kept whose client was answered that nothing is kept. Seeded
// simulations and runs on sockets share it.
//
// A client reports each write before it sends it (ReportAttempt) and the answer to it (ReportAnswer or
// ReportNothingKept); the hosts have each read checked as it runs (CheckRead); CheckFinalLog comes last.
package checker

import (
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/wire"
)

// checkWindow limits how far before a read the check of it goes back. It is longer than every staleness bound in use. A host
// that lacks an older commit lacks all after it too, some of which lie in the window while writes go on.
const checkWindow = 2 * database.Second

// Checker judges one service. Times are in the units of a database.Scheduler. Its methods are called by one goroutine at a
// time. The fields are set before the first call.
type Checker struct {
	// Bounds is how old reads may be, by the kind of their route; reads of other kinds see every acknowledged write.
	Bounds map[string]int64
	// ReadYourWrites is the kinds of routes whose sessions see all their own writes.
	ReadYourWrites map[string]bool
	// Group is the hosts.
	Group *database.Group
	// Violate is called for each violation.
	Violate func(format string, args ...any)

	commits  []commit // in the order of their acknowledgement
	outcomes map[string]outcome
}

// outcome is what the client of a write was answered.
type outcome int

const (
	unknown      outcome = iota // not answered, or with an error that leaves it open
	acknowledged                // it is kept
	notKept                     // it is not kept, and never will be
)

// commit is an acknowledged transaction or single write.
type commit struct {
	acknowledgedAt int64
	position       wire.Position
	session        string
}

// Reader is the client of a read.
type Reader struct {
	// Kind is the kind of its route.
	Kind string
	// Session names the client's session.
	Session string
	// BeganAt is when the read was sent, or the first statement of its transaction.
	BeganAt int64
}

// CheckRead checks, as a read runs at a host, that it misses no commit that it must see.
func (c *Checker) CheckRead(h *database.Host, reader Reader) {
	kindBound, seesOwn := c.Bounds[reader.Kind], c.ReadYourWrites[reader.Kind]
	for i := len(c.commits) - 1; i >= 0; i-- {
		commit, bound := &c.commits[i], kindBound
		if seesOwn && commit.session == reader.Session {
			bound = 0
		}
		if commit.acknowledgedAt < reader.BeganAt-checkWindow {
			return
		}
		if commit.acknowledgedAt < reader.BeganAt-bound && !h.Visible(commit.position) {
			age := float64(reader.BeganAt-commit.acknowledgedAt) / database.Millisecond
			c.Violate("STALE: a read of %s (%s) at %s of %s misses %s, acknowledged %.1f ms before it",
				reader.Session, reader.Kind, h.PositionAt(h.VisibleEntries()), h.ID, commit.position, age)
			return
		}
	}
}

// ReportAttempt takes in that a write is sent. The data of each write is its own.
func (c *Checker) ReportAttempt(data string) {
	if c.outcomes == nil {
		c.outcomes = map[string]outcome{}
	}
	c.outcomes[data] = unknown
}

// ReportAnswer takes in the answer to the statement that ends writes: to a single write, or to the COMMIT of several. An
// empty code is that of success. Each write was reported as an attempt before.
func (c *Checker) ReportAnswer(session string, data []string, code wire.Code, now int64) {
	if code != "" {
		if code.NothingKept() {
			c.ReportNothingKept(data)
		}
		return
	}
	if len(data) == 0 {
		return
	}
	for _, write := range data {
		c.outcomes[write] = acknowledged
	}
	position, found := c.Group.FindWrite(data[0])
	if !found {
		c.Violate("LOST: %s was acknowledged and is in no log", data[0])
		return
	}
	c.commits = append(c.commits, commit{now, position, session})
}

// ReportNothingKept takes in that a client was answered that nothing of its writes is kept.
func (c *Checker) ReportNothingKept(data []string) {
	for _, write := range data {
		c.outcomes[write] = notKept
	}
}

// AcknowledgedWrites returns how many writes were acknowledged.
func (c *Checker) AcknowledgedWrites() int {
	writes := 0
	for _, outcome := range c.outcomes {
		if outcome == acknowledged {
			writes++
		}
	}
	return writes
}

// CheckFinalLog checks the log of the primary against what clients were answered. It is called after all faults have ended and
// the log has settled.
func (c *Checker) CheckFinalLog() {
	primary := c.Group.Primary()
	if primary == nil {
		c.Violate("no host is the primary in the end")
		return
	}
	counts := primary.WriteCounts()
	for write, outcome := range c.outcomes {
		switch count := counts[write]; {
		case count > 1:
			c.Violate("TWICE: %s is in the log %d times", write, count)
		case outcome == acknowledged && count == 0:
			c.Violate("LOST: %s was acknowledged", write)
		case outcome == notKept && count > 0:
			c.Violate("REJECTED: %s is kept, its client was answered that it is not", write)
		}
	}
}
