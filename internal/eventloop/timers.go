package eventloop

import (
	"container/heap"
	"time"
)

// removed is the index of a timer that was removed from its Timers.
const removed = -1

// Timer is a value with a deadline.
type Timer[T any] struct {
	Deadline time.Time
	Value    T
	index    int // index in the heap, or removed
}

// Timers is a set of timers, ordered by deadline. Timers do not fire by themselves: the goroutine that owns the set polls First.
// The zero value is an empty set. It is not safe for concurrent use.
type Timers[T any] struct{ heap timerHeap[T] }

// Add adds a timer.
func (t *Timers[T]) Add(deadline time.Time, value T) *Timer[T] {
	timer := &Timer[T]{Deadline: deadline, Value: value}
	heap.Push(&t.heap, timer)
	return timer
}

// Remove removes a timer. It ignores nil and timers that were already removed.
func (t *Timers[T]) Remove(timer *Timer[T]) {
	if timer != nil && timer.index != removed {
		heap.Remove(&t.heap, timer.index)
	}
}

// First returns the timer with the earliest deadline, or nil.
func (t *Timers[T]) First() *Timer[T] {
	if len(t.heap) == 0 {
		return nil
	}
	return t.heap[0]
}

// All returns all timers in unspecified order. The slice must not be modified and is valid until the set changes.
func (t *Timers[T]) All() []*Timer[T] { return t.heap }

// Clear removes all timers.
func (t *Timers[T]) Clear() {
	for _, timer := range t.heap {
		timer.index = removed
	}
	t.heap = nil
}

// timerHeap implements heap.Interface as a min-heap by deadline.
type timerHeap[T any] []*Timer[T]

// Len implements sort.Interface.
func (h timerHeap[T]) Len() int { return len(h) }

// Less implements sort.Interface: timers are ordered by deadline, earliest first.
func (h timerHeap[T]) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

// Swap implements sort.Interface.
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap[T]) Push(added any) {
	timer := added.(*Timer[T])
	timer.index = len(*h)
	*h = append(*h, timer)
}

// Pop implements heap.Interface.
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	(*h)[last] = nil // allows the timer to be garbage-collected
	*h = (*h)[:last]
	timer.index = removed
	return timer
}
