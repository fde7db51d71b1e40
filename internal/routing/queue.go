package routing

import "sync"

// rank orders what is due at one moment: lists, then outcomes, then the rest.
type rank int

const (
	lists rank = iota
	outcomes
	commands
	ranks
)

// queue is the only way to the goroutine that owns the module. Commands wait
// outside while it is full, which holds their clients back and loses none; an
// outcome never waits, and there are no more of them than dispatches.
type queue struct {
	most  int
	ready chan struct{}
	ended chan struct{}

	mu      sync.Mutex
	room    *sync.Cond
	waiting [ranks][]func()
	closed  bool
}

func newQueue(most int) *queue {
	q := &queue{most: most, ready: make(chan struct{}, 1), ended: make(chan struct{})}
	q.room = sync.NewCond(&q.mu)
	return q
}

// put hands over what the owner is to do; false once it has stopped.
func (q *queue) put(r rank, do func()) bool {
	q.mu.Lock()
	for r != outcomes && len(q.waiting[r]) >= q.most && !q.closed {
		q.room.Wait()
	}
	closed := q.closed
	if !closed {
		q.waiting[r] = append(q.waiting[r], do)
	}
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return !closed
}

// take gives the first of a rank, if there is one.
func (q *queue) take(r rank) func() {
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
	if r != outcomes {
		q.room.Signal()
	}
	return do
}

func (q *queue) length() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		n += len(w)
	}
	return n
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	close(q.ended)
	q.room.Broadcast()
}
