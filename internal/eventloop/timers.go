package eventloop

import (
	"container/heap"
	"time"
)

// removed is the index of a timer that is not among the Timers.
const removed = -1

// Timer is a value with the time at which it is due.
type Timer[T any] struct {
	Deadline time.Time
	Value    T
	index    int // in the heap, or removed
}

// Timers is a set of timers, ordered by deadline. It belongs to one goroutine, which looks at First when it has nothing else to do;
// no timer calls anything by itself. The zero value is empty.
type Timers[T any] struct{ heap timerHeap[T] }

// Add adds a timer.
func (t *Timers[T]) Add(deadline time.Time, value T) *Timer[T] {
	timer := &Timer[T]{Deadline: deadline, Value: value}
	heap.Push(&t.heap, timer)
	return timer
}

// Remove removes a timer. Nil, and a timer that was removed before, is ignored.
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

// All returns all timers in no particular order. The slice is valid until the next change of the set, and must not be modified.
func (t *Timers[T]) All() []*Timer[T] { return t.heap }

// Clear removes all timers.
func (t *Timers[T]) Clear() {
	for _, timer := range t.heap {
		timer.index = removed
	}
	t.heap = nil
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []*Timer[T]

// Len implements sort.Interface.
func (h timerHeap[T]) Len() int { return len(h) }

// Less implements sort.Interface: the timer that is due first comes first.
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
	(*h)[last] = nil // so that it can be collected
	*h = (*h)[:last]
	timer.index = removed
	return timer
}
