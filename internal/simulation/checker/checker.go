// Package checker verifies the answers that clients received against the logs of the simulated hosts: no read is stale, no
// acknowledged write is lost, no write is in the log twice, and no write is in the log that its client was told is not
// committed. Seeded simulations and runs over sockets both use it.
//
// A client reports each write before sending it (ReportAttempt) and then the answer (ReportAnswer or ReportNothingKept).
// Hosts call CheckRead for each read as it runs. CheckFinalLog is called once, at the end of the run.
package checker

import (
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/wire"
)

// checkWindow limits how far CheckRead looks back from a read. It is longer than every staleness bound in use. Older commits
// need no check: a host that lacks one also lacks all later commits, and while clients write, some of these are in the window.
const checkWindow = 2 * database.Second

// Checker verifies the reads and writes of one service. Times are in the units of a database.Scheduler. A Checker is not safe
// for concurrent use. The exported fields must be set before the first call.
type Checker struct {
	// Bounds holds the staleness bound of reads by route kind. Reads on kinds without a bound must see every acknowledged write.
	Bounds map[string]int64
	// ReadYourWrites holds the route kinds on which a session must see all its own writes.
	ReadYourWrites map[string]bool
	// Group is the hosts of the service.
	Group *database.Group
	// RecordViolation is called for each violation.
	RecordViolation func(format string, args ...any)

	commits  []commit // in the order of their acknowledgement
	outcomes map[string]outcome
}

// outcome is what the client knows about a write.
type outcome int

const (
	outcomeUnknown outcome = iota // no answer, or an error after which the write may be committed or not
	acknowledged                  // the client was told that the write is committed
	notCommitted                  // the client was told that the write is not committed and never will be
)

// commit is an acknowledged transaction or single write.
type commit struct {
	acknowledgedAt int64
	position       wire.Position
	session        string
}

// Reader describes the session that sends a read.
type Reader struct {
	// Kind is the kind of the session's route.
	Kind string
	// Session is the name of the session.
	Session string
	// BeganAt is when the read was sent; in a transaction, when the first statement of the transaction was sent.
	BeganAt int64
}

// CheckRead is called as a read runs at a host. It checks that the host has applied every commit that the read must see.
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
			c.RecordViolation("STALE: a read of %s (%s) at %s of %s misses %s, acknowledged %.1f ms before it",
				reader.Session, reader.Kind, h.PositionAt(h.VisibleEntries()), h.ID, commit.position, age)
			return
		}
	}
}

// ReportAttempt records that a write is about to be sent. The data identifies the write, so it must be unique.
func (c *Checker) ReportAttempt(data string) {
	if c.outcomes == nil {
		c.outcomes = map[string]outcome{}
	}
	c.outcomes[data] = outcomeUnknown
}

// ReportAnswer records the answer to a single write, or to the COMMIT of a transaction with several writes. An empty code
// means success. Each write must have been reported with ReportAttempt.
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
		c.RecordViolation("LOST: %s was acknowledged and is in no log", data[0])
		return
	}
	c.commits = append(c.commits, commit{now, position, session})
}

// ReportNothingKept records that a client was told that none of its writes is committed.
func (c *Checker) ReportNothingKept(data []string) {
	for _, write := range data {
		c.outcomes[write] = notCommitted
	}
}

// AcknowledgedWrites returns the number of acknowledged writes.
func (c *Checker) AcknowledgedWrites() int {
	writes := 0
	for _, outcome := range c.outcomes {
		if outcome == acknowledged {
			writes++
		}
	}
	return writes
}

// CheckFinalLog checks the primary's log against the answers that clients received. It must be called after all faults have
// ended and all acknowledged writes are applied.
func (c *Checker) CheckFinalLog() {
	primary := c.Group.Primary()
	if primary == nil {
		c.RecordViolation("there is no primary at the end of the run")
		return
	}
	counts := primary.WriteCounts()
	for write, outcome := range c.outcomes {
		switch count := counts[write]; {
		case count > 1:
			c.RecordViolation("TWICE: %s is in the log %d times", write, count)
		case outcome == acknowledged && count == 0:
			c.RecordViolation("LOST: %s was acknowledged", write)
		case outcome == notCommitted && count > 0:
			c.RecordViolation("REJECTED: %s is in the log, but its client was told that it is not committed", write)
		}
	}
}
