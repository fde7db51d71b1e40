// Package lossdetect decides when the response of a database host is considered lost: responses to several later requests have
// arrived, and it is outstanding for several times as long as the slowest recent response took. A transaction whose response is
// lost can then be ended early, while its client has time to retry. A host that is slow with everything does not lose responses
// by this rule.
//
//	response times -> Detector.ResponseReceived;  outstanding request -> Detector.Lost
//
// The package is pure. Times are the policy package's, in tenths of a millisecond.
package lossdetect

import "ferrypitch/policy"

const (
	recentResponses = 16  // that are remembered
	minOvertaking   = 3   // responses to later requests before one is considered lost
	slownessFactor  = 4   // by which it must be slower than the slowest recent response
	minOutstanding  = 800 // tenths of a millisecond for which no response is considered lost
)

type response struct{ requestedAt, duration policy.TenthMs }

// Detector observes the responses of one host. The zero value has observed none and considers none lost.
type Detector struct {
	recent   [recentResponses]response // a ring buffer
	received int                       // responses so far
}

// ResponseReceived records a response that arrived at now to a request sent at requestedAt.
func (d *Detector) ResponseReceived(requestedAt, now policy.TenthMs) {
	d.recent[d.received%recentResponses] = response{requestedAt, now - requestedAt}
	d.received++
}

// Lost reports whether the outstanding response to a request sent at requestedAt is considered lost.
func (d *Detector) Lost(requestedAt, now policy.TenthMs) bool {
	var slowest policy.TenthMs
	overtaking := 0
	for _, r := range d.recent[:min(d.received, recentResponses)] {
		slowest = max(slowest, r.duration)
		if r.requestedAt > requestedAt {
			overtaking++
		}
	}
	return overtaking >= minOvertaking && now-requestedAt > max(minOutstanding, slownessFactor*slowest)
}
