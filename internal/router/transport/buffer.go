package transport

import (
	"errors"
	"io"
	"sync/atomic"

	"ferrypitch/internal/router/setup"
)

// BufferBudget limits the bytes that all buffers together may take past their initial sizes. It is safe for concurrent use.
type BufferBudget struct {
	capacity int64
	used     atomic.Int64
}

// NewBufferBudget returns a budget of limits.Buffers bytes, to be shared by all connections.
func NewBufferBudget(limits *setup.Limits) *BufferBudget {
	return &BufferBudget{capacity: limits.BufferBudget}
}

// Used returns the number of bytes that are reserved now.
func (b *BufferBudget) Used() int64 { return b.used.Load() }

// reserve takes n bytes, or nothing and returns false if that would exceed the budget.
func (b *BufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.capacity {
		return true
	}
	b.used.Add(int64(-n))
	return false
}

func (b *BufferBudget) release(n int) { b.used.Add(int64(-n)) }

// errBudgetExhausted reports that a buffer may not grow, by its own limit or by the budget. Clients are sent its text.
var errBudgetExhausted = errors.New("no room left for buffers")

// buffer holds bytes that were read and not consumed yet. It grows as needed, is compacted in place, and returns to its
// initial size when it is empty.
type buffer struct {
	budget               *BufferBudget
	initialSize, maxSize int
	data                 []byte
	consumed             int // offset in data of the first byte that was not consumed
}

func newBuffer(budget *BufferBudget, initialSize, maxSize int) *buffer {
	return &buffer{budget: budget, initialSize: initialSize, maxSize: maxSize, data: make([]byte, 0, initialSize)}
}

func (b *buffer) unread() []byte { return b.data[b.consumed:] }

// consume drops the first n unread bytes.
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

// readFrom reads once, after making space. It fails with errBudgetExhausted or the source's error.
func (b *buffer) readFrom(source io.Reader) error {
	if len(b.data) == cap(b.data) && b.consumed > 0 {
		n := copy(b.data, b.data[b.consumed:])
		b.data, b.consumed = b.data[:n], 0
	}
	if len(b.data) == cap(b.data) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := source.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if n > 0 {
		return nil // an error, if there is one, comes again
	}
	return err
}

// grow doubles the buffer, up to its limit.
func (b *buffer) grow() error {
	size := min(2*cap(b.data), b.maxSize)
	if size <= cap(b.data) || !b.budget.reserve(size-cap(b.data)) {
		return errBudgetExhausted
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// release returns what was reserved. The buffer must not be used again.
func (b *buffer) release() {
	b.budget.release(cap(b.data) - b.initialSize)
	b.data, b.consumed = nil, 0
	b.initialSize = 0
}
