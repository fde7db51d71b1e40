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
	most int64
	used atomic.Int64
}

// NewRoom is shared by all connections.
func NewRoom(l *setup.Limits) *Room { return &Room{most: l.Buffers} }

// Used is what they take now.
func (r *Room) Used() int64 { return r.used.Load() }

func (r *Room) take(n int) bool {
	if r.used.Add(int64(n)) <= r.most {
		return true
	}
	r.used.Add(int64(-n))
	return false
}

func (r *Room) give(n int) { r.used.Add(int64(-n)) }

var errRoom = errors.New("no room left for buffers")

// buffer holds what was read and not used yet. It grows as needed, is
// compacted in place, and goes back to its first size when it is empty.
type buffer struct {
	room        *Room
	first, most int
	data        []byte
	from        int // what is before it was used
}

func newBuffer(room *Room, first, most int) *buffer {
	return &buffer{room: room, first: first, most: most, data: make([]byte, 0, first)}
}

func (b *buffer) bytes() []byte { return b.data[b.from:] }

func (b *buffer) use(n int) {
	if b.from += n; b.from < len(b.data) {
		return
	}
	b.from, b.data = 0, b.data[:0]
	if cap(b.data) > b.first {
		b.room.give(cap(b.data) - b.first)
		b.data = make([]byte, 0, b.first)
	}
}

// fill reads once, making space for it first.
func (b *buffer) fill(from io.Reader) error {
	if len(b.data) == cap(b.data) && b.from > 0 {
		n := copy(b.data, b.data[b.from:])
		b.data, b.from = b.data[:n], 0
	}
	if len(b.data) == cap(b.data) {
		size := min(2*cap(b.data), b.most)
		if size <= cap(b.data) || !b.room.take(size-cap(b.data)) {
			return errRoom
		}
		b.data = append(make([]byte, 0, size), b.data...)
	}
	n, err := from.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if n > 0 {
		return nil // an error, if there is one, comes again
	}
	return err
}

// free gives its room back; the buffer is done with.
func (b *buffer) free() {
	b.room.give(cap(b.data) - b.first)
	b.data, b.from = nil, 0
	b.first = 0
}
