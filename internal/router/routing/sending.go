package routing

import (
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/transport"
)

// sending is a dispatch or a probe that is out.
type sending struct {
	call  *transport.Call
	at    time.Time
	ended func(a transport.Answer) // called once, by the owner
	over  bool
	due   *eventloop.Timer[*sending]
}

func (r *Router) send(h *host, statement []byte, until, by time.Time, rewrite bool,
	ended func(transport.Answer)) *sending {
	s := &sending{at: time.Now(), ended: ended}
	s.due = r.due.Add(until, s)
	s.call = h.conns.Send(statement, until, by, rewrite, func(a transport.Answer) {
		r.queue.Put(eventloop.PriorityOutcomes, func() { r.arrived(s, a) })
	})
	return s
}

// arrived takes in how a sending ended; what was given up on arrives no more.
func (r *Router) arrived(s *sending, a transport.Answer) {
	if s.over {
		return
	}
	s.over = true
	r.due.Remove(s.due)
	a.Elapsed = a.ReceivedAt.Sub(s.at)
	r.moment()
	s.ended(a)
}

// expire ends a sending that has had its time.
func (r *Router) expire(s *sending) {
	r.due.Remove(s.due)
	if o, ok := s.call.Abandon(); ok { // else how it ended is in the queue
		r.arrived(s, transport.Answer{Outcome: o, ReceivedAt: time.Now()})
	}
}
