package routing

import (
	"container/heap"
	"time"

	"ferrypitch/internal/transport"
)

// sending is a dispatch or a probe that is out.
type sending struct {
	call      *transport.Call
	at, until time.Time
	ended     func(a transport.Answer) // called once, by the owner
	over      bool
	index     int // among the deadlines; -1: not there
}

func (r *Router) send(h *host, statement []byte, until, by time.Time, rewrite bool,
	ended func(transport.Answer)) *sending {
	s := &sending{at: time.Now(), until: until, ended: ended}
	heap.Push(&r.due, s)
	s.call = h.conns.Send(statement, until, by, rewrite, func(a transport.Answer) {
		r.queue.put(outcomes, func() { r.arrived(s, a) })
	})
	return s
}

// arrived takes in how a sending ended; what was given up on arrives no more.
func (r *Router) arrived(s *sending, a transport.Answer) {
	if s.over {
		return
	}
	s.over = true
	if s.index >= 0 {
		heap.Remove(&r.due, s.index)
	}
	a.Took = a.At.Sub(s.at)
	r.moment()
	s.ended(a)
}

// expire ends a sending that has had its time.
func (r *Router) expire(s *sending) {
	heap.Remove(&r.due, s.index)
	if o, ok := s.call.Abandon(); ok { // else how it ended is in the queue
		r.arrived(s, transport.Answer{Outcome: o, At: time.Now()})
	}
}

// deadlines is a heap of what is out, by when it is given up.
type deadlines []*sending

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].until.Before(d[j].until) }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

func (d *deadlines) Push(v any) {
	s := v.(*sending)
	s.index = len(*d)
	*d = append(*d, s)
}

func (d *deadlines) Pop() any {
	last := len(*d) - 1
	s := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	s.index = -1
	return s
}
