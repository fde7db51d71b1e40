package routing

import (
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/transport"
)

// request is a dispatch or a health check in flight.
type request struct {
	call      *transport.Call
	startedAt time.Time
	onAnswer  func(transport.Answer) // called once, in the goroutine of Run
	ended     bool
	timeout   *eventloop.Timer[*request]
}

// send sends a statement to a host and tracks its deadline; see transport.Host.Send for the parameters.
func (r *Router) send(h *host, statement []byte, deadline, sendBy time.Time, rewriteTimeout bool,
	onAnswer func(transport.Answer),
) *request {
	req := &request{startedAt: time.Now(), onAnswer: onAnswer}
	req.timeout = r.timeouts.Add(deadline, req)
	req.call = h.connections.Send(statement, deadline, sendBy, rewriteTimeout, func(answer transport.Answer) {
		r.queue.Put(eventloop.PriorityOutcomes, func() { r.finishRequest(req, answer) })
	})
	return req
}

// finishRequest passes the answer of a request to onAnswer, unless the request has ended already.
func (r *Router) finishRequest(req *request, answer transport.Answer) {
	if req.ended {
		return
	}
	req.ended = true
	r.timeouts.Remove(req.timeout)
	answer.Elapsed = answer.ReceivedAt.Sub(req.startedAt)
	r.advanceClock()
	req.onAnswer(answer)
}

// timeOut abandons a request that has reached its deadline.
func (r *Router) timeOut(req *request) {
	r.timeouts.Remove(req.timeout)
	if outcome, ok := req.call.Abandon(); ok { // otherwise its answer is already in the queue
		r.finishRequest(req, transport.Answer{Outcome: outcome, ReceivedAt: time.Now()})
	}
}
