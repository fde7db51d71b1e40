// Package eventloop is the one goroutine that owns a program's state, and the queue
// that is the only way to it.
//
//	any goroutine -> Queue.Put -> Loop.Run -> what is to be done, in the order of its rank
//
// A shell: it has a clock and a goroutine, and decides nothing.
package eventloop

import "sync"

// Priority orders what is due at one moment: lists, then outcomes, then the rest.
type Priority int

const (
	PriorityLists Priority = iota
	PriorityOutcomes
	PriorityCommands
	ranks
)

// Queue is the only way to the goroutine that owns a state. Commands wait
// outside while it is full, which holds their clients back and loses none; an
// outcome never waits, and there are no more of them than dispatches.
type Queue struct {
	most  int
	Ready chan struct{}
	Ended chan struct{}

	mu      sync.Mutex
	room    *sync.Cond
	waiting [ranks][]func()
	closed  bool
}

func NewQueue(most int) *Queue {
	q := &Queue{most: most, Ready: make(chan struct{}, 1), Ended: make(chan struct{})}
	q.room = sync.NewCond(&q.mu)
	return q
}

// Put hands over what the owner is to do; false once it has stopped.
func (q *Queue) Put(r Priority, do func()) bool {
	q.mu.Lock()
	for r != PriorityOutcomes && len(q.waiting[r]) >= q.most && !q.closed {
		q.room.Wait()
	}
	closed := q.closed
	if !closed {
		q.waiting[r] = append(q.waiting[r], do)
	}
	q.mu.Unlock()
	select {
	case q.Ready <- struct{}{}:
	default:
	}
	return !closed
}

// Take gives the first of a rank, if there is one.
func (q *Queue) Take(r Priority) func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.waiting[r]
	if len(w) == 0 {
		return nil
	}
	do := w[0]
	w[0] = nil
	if q.waiting[r] = w[1:]; len(w) == 1 {
		q.waiting[r] = nil
	}
	if r != PriorityOutcomes {
		q.room.Signal()
	}
	return do
}

func (q *Queue) Length() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		n += len(w)
	}
	return n
}

func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	close(q.Ended)
	q.room.Broadcast()
}
