// Package position records which log position the primary of a service had at which time. From these samples it computes the
// position that a host must have reached to serve a read, and how fresh the data of a host at a given position is.
//
//	position in a response, time of its query -> Tracker.Add
//	staleness bound, session token            -> Tracker.Fence        -> position to wait for at the host
//	position of a host                        -> Tracker.UpToDateAsOf -> how fresh its data is
//
// A sample is the position in the response to a query that was sent while the proxy was allowed to treat the host as the primary.
// Every write that was acknowledged before the query was sent is at or before that position, no matter when the response arrives
// or what happens to the host in between, because no other primary can have been appointed before the query was sent.
//
// The package does no I/O and reads no clock. Times are policy.TenthMs, in tenths of a millisecond.
package position

import (
	"slices"

	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

const tenthsPerMs = 10

// TransitMargin is subtracted from every staleness bound to allow for the time that a read takes to reach the host.
const TransitMargin policy.TenthMs = 200 * tenthsPerMs

// unknownTime is returned in place of a time where none is known.
const unknownTime policy.TenthMs = -1

const (
	maxSamples                      = 160              // number of samples that a Tracker stores
	minSampleSpacing policy.TenthMs = 20 * tenthsPerMs // minimum interval between stored samples
)

type sample struct {
	sentAt   policy.TenthMs // when the query was sent
	position wire.Position
}

// Tracker holds the samples of one service in ascending order of time. The zero value is empty.
type Tracker struct{ samples []sample }

// Add records the position in the primary's response to a query that was sent at sentAt. It ignores an unknown position and one
// that is older than the last sample by time or position. A sample less than minSampleSpacing after the second to last replaces
// the last one.
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
	if count > 1 && sentAt < t.samples[count-2].sentAt+minSampleSpacing {
		t.samples[count-1] = added
		return
	}
	if count == maxSamples {
		t.samples = slices.Delete(t.samples, 0, 1)
	}
	t.samples = append(t.samples, added)
}

// Clear removes all samples. Call it when another host becomes the primary, which may lack positions that only the previous
// primary had.
func (t *Tracker) Clear() { t.samples = t.samples[:0] }

// Floor returns the lowest known position that includes all writes acknowledged before the given time. The lowest is chosen
// because most replicas have reached it. ok is false if no such position is known.
func (t *Tracker) Floor(before policy.TenthMs) (floor wire.Position, ok bool) {
	for _, s := range t.samples {
		if s.sentAt >= before {
			return s.position, true
		}
	}
	return wire.Position{}, false
}

// Latest returns the time and position of the last sample; the time is -1 if there is no sample.
func (t *Tracker) Latest() (policy.TenthMs, wire.Position) {
	if len(t.samples) == 0 {
		return unknownTime, wire.Position{}
	}
	last := t.samples[len(t.samples)-1]
	return last.sentAt, last.position
}

// UpToDateAsOf returns the latest known time such that all writes acknowledged before it are at or before position, or -1 if no
// such time is known.
func (t *Tracker) UpToDateAsOf(position wire.Position) policy.TenthMs {
	for _, s := range slices.Backward(t.samples) {
		if !position.Before(s.position) {
			return s.sentAt
		}
	}
	return unknownTime
}

// Fence returns the position that a host must have reached before it executes a read. The read may miss writes acknowledged less
// than stalenessBound ago, but none of its own session, whose last write is at token. If ok is false, no such position is known,
// and only the primary can execute the read.
func (t *Tracker) Fence(now, stalenessBound policy.TenthMs, token wire.Position) (fence wire.Position, ok bool) {
	fence, ok = t.Floor(now - stalenessBound + TransitMargin)
	if fence.Before(token) {
		fence = token
	}
	return fence, ok
}

// CoversBound reports whether the samples are recent enough to compute fences for stalenessBound, now and for TransitMargin
// longer, so that a read may be sent to a replica.
func (t *Tracker) CoversBound(now, stalenessBound policy.TenthMs) bool {
	latest, _ := t.Latest()
	return latest >= 0 && latest >= now-stalenessBound+2*TransitMargin
}
