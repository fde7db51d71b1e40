// Package checker holds what clients were told against what stand-in hosts ran and kept: no stale read, no write lost or
// twice, each promise kept. Seeded worlds and runs on sockets share it. Its calls are made by one goroutine at a time.
package checker

import (
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/wire"
)

// Checker is of one service. Moments are in the units of the database's stage.
type Checker struct {
	Bounds  map[string]int64 // how old reads of a kind of route may be
	Own     map[string]bool  // kinds whose sessions see their own writes
	Group   *database.Group
	Violate func(format string, args ...any)

	commits []commit
	tries   map[string]string // data of a write -> what its client was told last
}

type commit struct {
	at      int64
	pos     wire.Position
	session string
}

// Reader is who reads: since when, for a transaction since its beginning.
type Reader struct {
	Kind, Session string
	First         int64
}

// CheckRead asserts, as a read runs, that it misses nothing that it must see.
func (j *Checker) CheckRead(h *database.Host, r Reader) {
	bounded, own := j.Bounds[r.Kind], j.Own[r.Kind]
	for i := len(j.commits) - 1; i >= 0; i-- {
		c, bound := &j.commits[i], bounded
		if own && c.session == r.Session {
			bound = 0
		}
		if c.at < r.First-2*database.Second {
			return
		}
		if c.at < r.First-bound && !h.Visible(c.pos) {
			j.Violate("STALE: a read of %s (%s) at %s of %s misses %s, acknowledged %.1f ms before it", r.Session, r.Kind,
				h.At(h.Seen()), h.ID, c.pos, float64(r.First-c.at)/database.Ms)
			return
		}
	}
}

// ReportAttempt notes that a write is sent.
func (j *Checker) ReportAttempt(data string) {
	if j.tries == nil {
		j.tries = map[string]string{}
	}
	j.tries[data] = ""
}

// ReportAnswer takes in the answer to what ends a write: the write itself, or the COMMIT of several.
func (j *Checker) ReportAnswer(session string, data []string, code wire.Code, now int64) {
	for _, d := range data {
		switch {
		case code == "":
			j.tries[d] = "kept"
		case code.NothingKept():
			j.tries[d] = "promised"
		}
	}
	if code != "" || len(data) == 0 {
		return
	}
	at, ok := j.Group.FindWrite(data[0])
	if !ok {
		j.Violate("LOST: %s was acknowledged and is in no log", data[0])
		return
	}
	j.commits = append(j.commits, commit{now, at, session})
}

// ReportNothingKept takes in that nothing of some writes is to be kept.
func (j *Checker) ReportNothingKept(data []string) {
	for _, d := range data {
		j.tries[d] = "promised"
	}
}

// AcknowledgedWrites is how many writes were acknowledged.
func (j *Checker) AcknowledgedWrites() (n int) {
	for _, told := range j.tries {
		if told == "kept" {
			n++
		}
	}
	return n
}

// CheckFinalLog asserts, once all is calm again, what the log of the primary must and must not hold.
func (j *Checker) CheckFinalLog() {
	lead := j.Group.Lead()
	if lead == nil {
		j.Violate("nobody leads in the end")
		return
	}
	times := lead.WriteCounts()
	for d, told := range j.tries {
		switch n := times[d]; {
		case n > 1:
			j.Violate("TWICE: %s is in the log %d times", d, n)
		case told == "kept" && n == 0:
			j.Violate("LOST: %s was acknowledged", d)
		case told == "promised" && n > 0:
			j.Violate("REFUSED: %s is kept, its client was promised that it is not", d)
		}
	}
}
