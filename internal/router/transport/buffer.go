package transport

import (
	"errors"
	"io"
	"sync/atomic"

	"ferrypitch/internal/router/setup"
)

// BufferBudget limits the bytes that all buffers together may use beyond their initial sizes. It is safe for concurrent use.
type BufferBudget struct {
	capacity int64
	used     atomic.Int64
}

// NewBufferBudget returns a budget of limits.BufferBudget bytes, to be shared by all connections.
func NewBufferBudget(limits *setup.Limits) *BufferBudget {
	return &BufferBudget{capacity: limits.BufferBudget}
}

// Used returns the number of reserved bytes.
func (b *BufferBudget) Used() int64 { return b.used.Load() }

// reserve reserves n bytes. It reserves nothing and returns false if that would exceed the budget.
func (b *BufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.capacity {
		return true
	}
	b.used.Add(int64(-n))
	return false
}

func (b *BufferBudget) release(n int) { b.used.Add(int64(-n)) }

// errBudgetExhausted reports that a buffer cannot grow because of its own limit or the budget. Its text is sent to clients.
var errBudgetExhausted = errors.New("no room left for buffers")

// buffer holds bytes that were read but not consumed. It grows as needed, is compacted in place, and shrinks to its initial size
// when it is empty.
type buffer struct {
	budget               *BufferBudget
	initialSize, maxSize int
	data                 []byte
	consumed             int // number of consumed bytes at the start of data
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

// readFrom reads once from source, after making space. It returns errBudgetExhausted or the source's error.
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
		return nil // an error, if any, is returned by the next read
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

// release returns the buffer's reservation to the budget. The buffer must not be used afterwards.
func (b *buffer) release() {
	b.budget.release(cap(b.data) - b.initialSize)
	b.data, b.consumed = nil, 0
	b.initialSize = 0
}
