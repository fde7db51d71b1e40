package control

import (
	"slices"

	"ferrypitch/internal/consensus"
)

const (
	maxRequesters = 64 // processes whose serials are tracked
	windowBits    = 64 // serials tracked per process
)

// seenRequests tracks which forwarded requests were already received, for the last maxRequesters processes that sent one.
type seenRequests struct {
	windows map[requester]*serialWindow
	order   []requester // the keys of windows, oldest first
}

// requester is one incarnation of a member.
type requester struct {
	id          consensus.ID
	incarnation uint64
}

// record marks a request as seen and reports whether it was seen for the first time.
func (r *seenRequests) record(from requester, serial uint64) bool {
	window := r.windows[from]
	if window == nil {
		if r.order = append(r.order, from); len(r.order) > maxRequesters {
			delete(r.windows, r.order[0])
			r.order = slices.Delete(r.order, 0, 1)
		}
		window = &serialWindow{}
		r.windows[from] = window
	}
	return window.accept(serial)
}

// serialWindow is a sliding window over the serials of one requester, like the anti-replay window of RFC 4303, section 3.4.3. Bit
// i of seen is set if newest-i was seen.
type serialWindow struct{ newest, seen uint64 }

// accept marks a serial as seen and reports whether it was seen for the first time. A serial older than the window counts as
// seen.
func (w *serialWindow) accept(serial uint64) bool {
	if serial > w.newest {
		w.seen = w.seen<<(serial-w.newest) | 1 // a shift by windowBits or more gives 0
		w.newest = serial
		return true
	}
	age := w.newest - serial
	if age >= windowBits || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}
