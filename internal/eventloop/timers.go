package eventloop

import (
	"container/heap"
	"time"
)

// Timer is something due at a time.
type Timer[T any] struct {
	Deadline time.Time
	Value    T
	index    int // among the timers; -1: not there
}

// Timers hold what is due, the first first. The zero value is empty. They belong to one goroutine.
type Timers[T any] struct{ all timers[T] }

// Add adds what is due at a time.
func (t *Timers[T]) Add(until time.Time, what T) *Timer[T] {
	k := &Timer[T]{Deadline: until, Value: what}
	heap.Push(&t.all, k)
	return k
}

// Remove takes a timer out, if it is there.
func (t *Timers[T]) Remove(k *Timer[T]) {
	if k != nil && k.index >= 0 {
		heap.Remove(&t.all, k.index)
	}
}

// First is due before all others; nil: nothing is.
func (t *Timers[T]) First() *Timer[T] {
	if len(t.all) == 0 {
		return nil
	}
	return t.all[0]
}

// All are in no order; they are not to be changed meanwhile.
func (t *Timers[T]) All() []*Timer[T] { return t.all }

// Clear takes all out.
func (t *Timers[T]) Clear() {
	for _, k := range t.all {
		k.index = -1
	}
	t.all = nil
}

type timers[T any] []*Timer[T]

func (d timers[T]) Len() int           { return len(d) }
func (d timers[T]) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }
func (d timers[T]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

func (d *timers[T]) Push(v any) {
	k := v.(*Timer[T])
	k.index = len(*d)
	*d = append(*d, k)
}

func (d *timers[T]) Pop() any {
	last := len(*d) - 1
	k := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	k.index = -1
	return k
}
