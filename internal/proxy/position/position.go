// Package position holds what a service's primary was known to have at
// which moment, and from that says which position a read must see, and how new a host is that stands at a position.
//
// A sample is the position in the answer to a question that was sent while the router might take that host for the
// primary. All that was acknowledged before the question was sent is at or before that position, whenever the answer
// comes and whatever became of the host meanwhile: a successor can't have been granted to anybody before.
//
// Pure: moments are the decision module's, in tenths of a millisecond.
package position

import (
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// TransitMargin is taken off every bound, in tenths: for the way to the host.
const TransitMargin = 2000

const (
	most   = 160
	spaced = 200 // tenths between samples that are kept
)

type sample struct {
	at  policy.Tenth
	pos wire.Position
}

// Tracker is of one service. The zero value knows nothing.
type Tracker struct{ samples []sample }

// Add takes in the primary's position in the answer to a question sent at a moment.
func (g *Tracker) Add(sentAt policy.Tenth, pos wire.Position) {
	if !pos.Known() {
		return
	}
	n := len(g.samples)
	if n > 0 {
		if last := g.samples[n-1]; sentAt <= last.at || pos.Before(last.pos) {
			return // an older question, or an answer overtaken by a newer one
		}
		if n > 1 && sentAt < g.samples[n-2].at+spaced {
			g.samples[n-1] = sample{sentAt, pos}
			return
		}
	}
	if n == most {
		copy(g.samples, g.samples[1:])
		g.samples = g.samples[:n-1]
	}
	g.samples = append(g.samples, sample{sentAt, pos})
}

// Clear forgets all, for another primary: positions that only the old one had are nowhere any more.
func (g *Tracker) Clear() { g.samples = g.samples[:0] }

// Floor is a position that holds all that was acknowledged before a moment; ok false where none is known.
func (g *Tracker) Floor(moment policy.Tenth) (pos wire.Position, ok bool) {
	for _, s := range g.samples { // the oldest that will do asks least of a replica
		if s.at >= moment {
			return s.pos, true
		}
	}
	return wire.Position{}, false
}

// Latest is the moment of the last sample, and its position.
func (g *Tracker) Latest() (policy.Tenth, wire.Position) {
	if len(g.samples) == 0 {
		return -1, wire.Position{}
	}
	s := g.samples[len(g.samples)-1]
	return s.at, s.pos
}

// UpToDateAsOf says up to when a host has all that was acknowledged, if it stands at a position; -1: not known.
func (g *Tracker) UpToDateAsOf(pos wire.Position) policy.Tenth {
	for i := len(g.samples) - 1; i >= 0; i-- {
		if !pos.Before(g.samples[i].pos) {
			return g.samples[i].at
		}
	}
	return -1
}

// Fence is what a read must see that may lack what was acknowledged less than bound ago, and must see a session's own
// token; ok false where no floor is known: then only the primary will do.
func (g *Tracker) Fence(now, bound policy.Tenth, token wire.Position) (wire.Position, bool) {
	floor, ok := g.Floor(now - bound + TransitMargin)
	if floor.Before(token) {
		floor = token
	}
	return floor, ok
}

// CoversBound says that floors for a bound will be known for a while, so that a read may be sent to a replica.
func (g *Tracker) CoversBound(now, bound policy.Tenth) bool {
	at, _ := g.Latest()
	return at >= 0 && at >= now-bound+2*TransitMargin
}

// DefaultPromotionMs stands for how long a promotion takes, in milliseconds, until one was seen.
const DefaultPromotionMs = 700

// NextPrimaryDue is when the next primary may be there, in tenths, by how long the platform's last promotion took (milliseconds;
// 0: none was seen). named says that the platform has been told whom to promote; else that is still found out.
func NextPrimaryDue(now policy.Tenth, took int64, named bool) policy.Tenth {
	if took <= 0 {
		took = DefaultPromotionMs
	}
	if !named {
		took += 50
	}
	return now + (took+took/4)*10
}
