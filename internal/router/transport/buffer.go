// Package transport holds the sockets: clients, hosts, discovery's watch and
// the datagrams of other routers. It carries bytes and tells what became of
// them; what to do is asked for from above.
package transport

import (
	"errors"
	"io"
	"sync/atomic"

	"ferrypitch/internal/router/setup"
)

// Room is what all buffers together may take past their first size.
type Room struct {
	capacity int64
	used     atomic.Int64
}

// NewRoom is shared by all connections.
func NewRoom(limits *setup.Limits) *Room { return &Room{capacity: limits.Buffers} }

// Used is what they take now.
func (b *Room) Used() int64 { return b.used.Load() }

func (b *Room) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.capacity {
		return true
	}
	b.used.Add(int64(-n))
	return false
}

func (b *Room) release(n int) { b.used.Add(int64(-n)) }

var errBudgetExhausted = errors.New("no room left for buffers")

// buffer holds what was read and not used yet. It grows as needed, is
// compacted in place, and goes back to its first size when it is empty.
type buffer struct {
	budget               *Room
	initialSize, maxSize int
	data                 []byte
	consumed             int // what is before it was used
}

func newBuffer(budget *Room, initialSize, maxSize int) *buffer {
	return &buffer{budget: budget, initialSize: initialSize, maxSize: maxSize, data: make([]byte, 0, initialSize)}
}

func (b *buffer) unread() []byte { return b.data[b.consumed:] }

func (b *buffer) consume(n int) {
	if b.consumed += n; b.consumed < len(b.data) {
		return
	}
	b.consumed, b.data = 0, b.data[:0]
	if cap(b.data) > b.initialSize {
		b.budget.release(cap(b.data) - b.initialSize)
		b.data = make([]byte, 0, b.initialSize)
	}
}

// readFrom reads once, making space for it first.
func (b *buffer) readFrom(source io.Reader) error {
	if len(b.data) == cap(b.data) && b.consumed > 0 {
		n := copy(b.data, b.data[b.consumed:])
		b.data, b.consumed = b.data[:n], 0
	}
	if len(b.data) == cap(b.data) {
		size := min(2*cap(b.data), b.maxSize)
		if size <= cap(b.data) || !b.budget.reserve(size-cap(b.data)) {
			return errBudgetExhausted
		}
		b.data = append(make([]byte, 0, size), b.data...)
	}
	n, err := source.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if n > 0 {
		return nil // an error, if there is one, comes again
	}
	return err
}

// release gives its room back; the buffer is done with.
func (b *buffer) release() {
	b.budget.release(cap(b.data) - b.initialSize)
	b.data, b.consumed = nil, 0
	b.initialSize = 0
}
