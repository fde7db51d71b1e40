package control

import (
	"sync"

	"ferrypitch/internal/consensus"
)

// writeQueue passes writes from the event loop to persistLoop. It has no capacity limit, so that it never blocks the event loop;
// the consensus node limits the number of pending writes.
type writeQueue struct {
	ready chan struct{} // signaled by put; one value may represent several calls

	mu      sync.Mutex
	waiting []consensus.Write
}

func newWriteQueue() *writeQueue { return &writeQueue{ready: make(chan struct{}, 1)} }

// put appends writes.
func (q *writeQueue) put(writes []consensus.Write) {
	q.mu.Lock()
	q.waiting = append(q.waiting, writes...)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued writes, if any.
func (q *writeQueue) takeAll() []consensus.Write {
	q.mu.Lock()
	defer q.mu.Unlock()
	writes := q.waiting
	q.waiting = nil
	return writes
}
