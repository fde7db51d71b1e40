// Package lossdetect decides when the response of a database host is considered lost: responses to several later requests have
// arrived, and the response has been outstanding for several times the duration of the slowest recent response. A transaction
// whose response is lost can then be aborted early, while its client still has time to retry. Responses of a host that is
// uniformly slow are not considered lost.
//
//	response times -> Detector.ResponseReceived;  outstanding request -> Detector.Lost
//
// The package does no I/O and reads no clock. Times are policy.TenthMs, in tenths of a millisecond.
package lossdetect

import "ferrypitch/policy"

const (
	recentResponses   = 16  // number of responses that are remembered
	minLaterResponses = 3   // responses to later requests before one is considered lost
	slownessFactor    = 4   // how many times as long as the slowest recent response it must be outstanding
	minOutstanding    = 800 // tenths of a millisecond; a response outstanding for less is never considered lost
)

type response struct{ requestedAt, duration policy.TenthMs }

// Detector observes the responses of one host. The zero value is ready to use and considers no response lost.
type Detector struct {
	recent   [recentResponses]response // a ring buffer
	received int                       // number of responses so far
}

// ResponseReceived records a response that arrived at now to a request sent at requestedAt.
func (d *Detector) ResponseReceived(requestedAt, now policy.TenthMs) {
	d.recent[d.received%recentResponses] = response{requestedAt, now - requestedAt}
	d.received++
}

// Lost reports whether the outstanding response to a request sent at requestedAt is considered lost.
func (d *Detector) Lost(requestedAt, now policy.TenthMs) bool {
	var slowest policy.TenthMs
	laterResponses := 0
	for _, r := range d.recent[:min(d.received, recentResponses)] {
		slowest = max(slowest, r.duration)
		if r.requestedAt > requestedAt {
			laterResponses++
		}
	}
	return laterResponses >= minLaterResponses && now-requestedAt > max(minOutstanding, slownessFactor*slowest)
}
