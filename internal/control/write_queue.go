package control

import (
	"sync"

	"ferrypitch/internal/consensus"
)

// writeQueue hands writes from the event loop to the goroutine that waits for the disk. It never blocks the event loop: the
// consensus node bounds how many writes wait.
type writeQueue struct {
	ready chan struct{} // receives after put; one value may stand for several calls

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

// takeAll removes all writes; they may be none.
func (q *writeQueue) takeAll() []consensus.Write {
	q.mu.Lock()
	defer q.mu.Unlock()
	writes := q.waiting
	q.waiting = nil
	return writes
}
