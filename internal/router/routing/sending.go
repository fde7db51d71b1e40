package routing

import (
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/transport"
)

// request is a dispatch or a probe that is out.
type request struct {
	call      *transport.Call
	startedAt time.Time
	onAnswer  func(a transport.Answer) // called once, by the owner
	ended     bool
	timeout   *eventloop.Timer[*request]
}

func (r *Router) send(h *host, statement []byte, until, by time.Time, rewrite bool,
	ended func(transport.Answer)) *request {
	s := &request{startedAt: time.Now(), onAnswer: ended}
	s.timeout = r.timeouts.Add(until, s)
	s.call = h.connections.Send(statement, until, by, rewrite, func(a transport.Answer) {
		r.queue.Put(eventloop.PriorityOutcomes, func() { r.finishRequest(s, a) })
	})
	return s
}

// finishRequest takes in how a sending ended; what was given up on arrives no more.
func (r *Router) finishRequest(s *request, a transport.Answer) {
	if s.ended {
		return
	}
	s.ended = true
	r.timeouts.Remove(s.timeout)
	a.Elapsed = a.ReceivedAt.Sub(s.startedAt)
	r.advanceClock()
	s.onAnswer(a)
}

// timeOut ends a sending that has had its time.
func (r *Router) timeOut(s *request) {
	r.timeouts.Remove(s.timeout)
	if o, ok := s.call.Abandon(); ok { // else how it ended is in the queue
		r.finishRequest(s, transport.Answer{Outcome: o, ReceivedAt: time.Now()})
	}
}
