package proxy

import (
	"time"

	"ferrypitch/internal/eventloop"
)

// sweepInterval is how often the sweep checks for conditions that no event reports: silent hosts, idle connections, lost responses.
const sweepInterval = 50 * time.Millisecond

type timer = *eventloop.Timer[func()]

// actionQueue holds actions deferred until the current event has been handled: the policy must not be re-entered from its own
// callbacks, and a connection must not be closed by the code that is writing to it.
type actionQueue struct{ actions []func() }

func (q *actionQueue) add(action func()) { q.actions = append(q.actions, action) }

// run runs all actions, including those added by other actions.
func (q *actionQueue) run() {
	for len(q.actions) > 0 {
		next := q.actions[0]
		q.actions = q.actions[1:]
		next()
	}
	q.actions = nil
}

// runEventLoop handles events until the server's context is canceled. Its goroutine owns all state.
func (s *Server) runEventLoop() {
	defer s.queue.Close()
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.queue.Ready:
		case <-wakeUp.C:
		}
		for s.step() {
		}
		wakeUp.Reset(max(0, time.Until(s.nextDeadline())))
	}
}

// nextDeadline returns the latest time at which step must be called again.
func (s *Server) nextDeadline() time.Time {
	next := s.clock.Time().Add(sweepInterval)
	if first := s.timers.First(); first != nil && first.Deadline.Before(next) {
		next = first.Deadline
	}
	if !s.policyWakeAt.IsZero() && s.policyWakeAt.Before(next) {
		next = s.policyWakeAt
	}
	return next
}

// step handles the due event of the highest priority. It returns false if none is due.
func (s *Server) step() bool {
	defer s.deferred.run()
	for priority := eventloop.PriorityControl; priority <= eventloop.PriorityOutcomes; priority++ {
		if handle := s.queue.Take(priority); handle != nil {
			handle()
			return true
		}
	}
	now := s.clock.Time()
	if first := s.timers.First(); first != nil && !now.Before(first.Deadline) {
		s.timers.Remove(first)
		first.Value()
		return true
	}
	if !s.policyWakeAt.IsZero() && !now.Before(s.policyWakeAt) {
		s.wakePolicy()
		return true
	}
	if now.After(s.nextSweepAt) {
		s.nextSweepAt = now.Add(sweepInterval)
		s.sweep(now)
	}
	if handle := s.queue.Take(eventloop.PriorityCommands); handle != nil {
		handle()
		return true
	}
	return false
}

// query runs read in the event loop and returns its result. ok is false if the event loop has ended.
func query[T any](queue *eventloop.Queue, read func() T) (result T, ok bool) {
	return eventloop.Call(queue, eventloop.PriorityControl, read)
}
