// Package position tracks which log positions the primary of a service was known to have at which time. From these samples it
// derives the position that a read must include to be fresh enough, and how up to date a host is that has reached a position.
//
//	position in a response, time of its query -> Tracker.Add
//	staleness bound, session token            -> Tracker.Fence        -> position to wait for at the host
//	position of a host                        -> Tracker.UpToDateAsOf -> how fresh its data is
//
// A sample is the position in the response to a query that was sent while the proxy could take the host for the primary. All
// writes that were acknowledged before the query was sent are at or before that position, whenever the response arrives and
// whatever happened to the host meanwhile, because no successor can have been appointed before.
//
// The package is pure. Times are the policy package's, in tenths of a millisecond.
package position

import (
	"slices"

	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

const tenthsPerMs = 10

// TransitMargin is subtracted from every staleness bound, for the time that a read takes to reach the host.
const TransitMargin policy.TenthMs = 200 * tenthsPerMs

// unknown is the time that stands for none.
const unknown policy.TenthMs = -1

const (
	maxSamples                = 160
	minSpacing policy.TenthMs = 20 * tenthsPerMs // between samples that are kept
)

type sample struct {
	sentAt   policy.TenthMs // when the query was sent
	position wire.Position
}

// Tracker has the samples of one service in the order of their times. The zero value has none.
type Tracker struct{ samples []sample }

// Add adds the position in the primary's response to a query sent at a time. An unknown position, and one older than the last
// sample by time or position, is ignored.
func (t *Tracker) Add(sentAt policy.TenthMs, position wire.Position) {
	if !position.Known() {
		return
	}
	added := sample{sentAt, position}
	count := len(t.samples)
	if count > 0 {
		last := t.samples[count-1]
		if sentAt <= last.sentAt || position.Before(last.position) {
			return
		}
	}
	if count > 1 && sentAt < t.samples[count-2].sentAt+minSpacing {
		t.samples[count-1] = added
		return
	}
	if count == maxSamples {
		t.samples = slices.Delete(t.samples, 0, 1)
	}
	t.samples = append(t.samples, added)
}

// Clear removes all samples. It is called for another primary, which may lack positions that only the old one had.
func (t *Tracker) Clear() { t.samples = t.samples[:0] }

// Floor returns a position that includes all writes acknowledged before a time; ok is false if none is known. Of those known it
// is the lowest, since that asks least of a replica.
func (t *Tracker) Floor(before policy.TenthMs) (floor wire.Position, ok bool) {
	for _, s := range t.samples {
		if s.sentAt >= before {
			return s.position, true
		}
	}
	return wire.Position{}, false
}

// Latest returns the last sample's time and position; the time is -1 if there is no sample.
func (t *Tracker) Latest() (policy.TenthMs, wire.Position) {
	if len(t.samples) == 0 {
		return unknown, wire.Position{}
	}
	last := t.samples[len(t.samples)-1]
	return last.sentAt, last.position
}

// UpToDateAsOf returns a time before which all acknowledged writes are at or before a position, the latest that is known, or -1.
func (t *Tracker) UpToDateAsOf(position wire.Position) policy.TenthMs {
	for _, s := range slices.Backward(t.samples) {
		if !position.Before(s.position) {
			return s.sentAt
		}
	}
	return unknown
}

// Fence returns the position that a host must have reached for a read that may miss only writes acknowledged less than
// stalenessBound ago, and none of its own session's, whose last write is at token. If ok is false no such position is known, and
// only the primary can execute the read.
func (t *Tracker) Fence(now, stalenessBound policy.TenthMs, token wire.Position) (fence wire.Position, ok bool) {
	fence, ok = t.Floor(now - stalenessBound + TransitMargin)
	if fence.Before(token) {
		fence = token
	}
	return fence, ok
}

// CoversBound reports whether the samples are recent enough for fences of a staleness bound now and for a while longer, so that
// a read may be sent to a replica.
func (t *Tracker) CoversBound(now, stalenessBound policy.TenthMs) bool {
	latest, _ := t.Latest()
	return latest >= 0 && latest >= now-stalenessBound+2*TransitMargin
}
