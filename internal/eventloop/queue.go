package eventloop

import "sync"

// Priority is the class of a function in a queue. The owner chooses the order in which it takes functions of different classes.
type Priority int

// The priorities. Each owner defines their order.
const (
	PriorityControl  Priority = iota // control events (membership, leases, shutdown) and queries of the owner's state
	PriorityOutcomes                 // results of operations that the owner started
	PriorityCommands                 // new work
	PriorityReports                  // periodic reports, which the sender soon repeats
	priorityCount
)

// Queue passes functions to the goroutine that owns a state. Functions of the same priority are taken in FIFO order. Put blocks
// while the number of waiting functions of its priority has reached the queue's capacity, which applies backpressure to the
// callers and loses nothing. PriorityOutcomes has no capacity limit and never blocks; the number of operations in flight bounds it.
type Queue struct {
	capacity int
	Ready    chan struct{} // receives a value after Put and TryPut; one value may stand for several functions
	Closed   chan struct{} // closed by Close

	mu       sync.Mutex
	notFull  *sync.Cond
	waiting  [priorityCount][]func() // oldest first
	isClosed bool
}

// NewQueue returns a queue with the given capacity per priority.
func NewQueue(capacity int) *Queue {
	q := &Queue{capacity: capacity, Ready: make(chan struct{}, 1), Closed: make(chan struct{})}
	q.notFull = sync.NewCond(&q.mu)
	return q
}

// Put adds a function for the owner to call. If the queue is closed, it returns false and the function is not called.
func (q *Queue) Put(priority Priority, function func()) bool {
	accepted := q.append(priority, function)
	select {
	case q.Ready <- struct{}{}:
	default:
	}
	return accepted
}

// TryPut is like Put, but does not block: if the priority has reached the capacity, it returns false.
func (q *Queue) TryPut(priority Priority, function func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.isClosed || q.isFull(priority) {
		return false
	}
	q.waiting[priority] = append(q.waiting[priority], function)
	select {
	case q.Ready <- struct{}{}:
	default:
	}
	return true
}

// append adds a function and blocks while its priority is full. It returns false if the queue is closed.
func (q *Queue) append(priority Priority, function func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.isFull(priority) && !q.isClosed {
		q.notFull.Wait()
	}
	if q.isClosed {
		return false
	}
	q.waiting[priority] = append(q.waiting[priority], function)
	return true
}

func (q *Queue) isFull(priority Priority) bool {
	return priority != PriorityOutcomes && len(q.waiting[priority]) >= q.capacity
}

// Take removes and returns the oldest function of a priority, or nil if there is none.
func (q *Queue) Take(priority Priority) func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting[priority]
	if len(waiting) == 0 {
		return nil
	}
	function := waiting[0]
	waiting[0] = nil // allows the function to be garbage-collected
	q.waiting[priority] = waiting[1:]
	if len(waiting) == 1 {
		q.waiting[priority] = nil // frees the backing array
	}
	if priority != PriorityOutcomes {
		q.notFull.Signal()
	}
	return function
}

// Len returns the number of waiting functions of all priorities.
func (q *Queue) Len() (length int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiting := range q.waiting {
		length += len(waiting)
	}
	return length
}

// Close makes all later and all blocked calls of Put return false, and closes the channel Closed. It must be called only once.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isClosed = true
	close(q.Closed)
	q.notFull.Broadcast()
}
