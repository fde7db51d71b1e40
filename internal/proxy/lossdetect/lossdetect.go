// Package lossdetect tells when an answer of a host counts as lost: when
// others that were asked later have come, and it is out for several times as long as any of late. A transaction whose answer
// is lost is ended at once, so that its client may begin anew while there is time; a host that is slow with all that it is
// asked loses nothing by it.
//
// Pure: moments are the decision module's, in tenths of a millisecond.
package lossdetect

import "ferrypitch/policy"

const (
	kept     = 16
	overtook = 3   // answers to what was sent later
	times    = 4   // as long as the longest of late
	least    = 800 // tenths that any answer is given
)

type answer struct{ sent, took policy.Tenth }

// Detector is of one host. The zero value has seen nothing, and takes nothing for lost.
type Detector struct {
	recent [kept]answer
	n      int
}

// ResponseReceived takes in an answer to what was sent at a moment.
func (l *Detector) ResponseReceived(sent, now policy.Tenth) {
	l.recent[l.n%kept] = answer{sent, now - sent}
	l.n++
}

// Lost says whether the answer to what was sent at a moment will not come any more.
func (l *Detector) Lost(sent, now policy.Tenth) bool {
	longest, later := policy.Tenth(0), 0
	for _, a := range l.recent[:min(l.n, kept)] {
		longest = max(longest, a.took)
		if a.sent > sent {
			later++
		}
	}
	return later >= overtook && now-sent > max(least, times*longest)
}
