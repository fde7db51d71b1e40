package proxy

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	maxBacklogBytes   = 4 << 20
	writeStallTimeout = 10 * time.Second // a peer that accepts no data for so long is dropped

	// finishTimeout is how long a reader waits for the peer's end after the last bytes were written.
	finishTimeout = 300 * time.Millisecond
)

// nonblockingConn is a connection as the event loop writes to it. None of its methods blocks.
type nonblockingConn interface {
	// write returns how many bytes went out at once; ok says that the rest, if any, will follow.
	write(data []byte) (written int, ok bool)
	// stopReading ends the connection's reader.
	stopReading()
	// finish ends the written direction; the reader ends soon after.
	finish()
	close()
}

// bufferedConn is a nonblockingConn over a socket: what the socket does not accept at once is buffered and written by a
// goroutine that ends with the backlog or the socket.
type bufferedConn struct {
	conn net.Conn
	raw  syscall.RawConn // nil: the connection has no file descriptor, all goes by the backlog

	mu       sync.Mutex
	backlog  []byte
	draining bool
	broken   bool
}

func newBufferedConn(conn net.Conn) *bufferedConn {
	b := &bufferedConn{conn: conn}
	if withDescriptor, ok := conn.(syscall.Conn); ok {
		b.raw, _ = withDescriptor.SyscallConn() // nil on error: the backlog serves
	}
	return b
}

func (b *bufferedConn) write(data []byte) (written int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.broken {
		return 0, false
	}
	if !b.draining && b.raw != nil {
		if written, ok = b.writeNow(data); !ok || written == len(data) {
			return written, ok
		}
	}
	rest := data[written:]
	if len(b.backlog)+len(rest) > maxBacklogBytes {
		b.broken = true
		b.conn.Close()
		return written, false
	}
	b.backlog = append(b.backlog, rest...)
	if !b.draining {
		b.draining = true
		go b.drain()
	}
	return written, true
}

// writeNow writes what the socket accepts without blocking; ok false: the socket is broken.
func (b *bufferedConn) writeNow(data []byte) (written int, ok bool) {
	var writeErr error
	rawErr := b.raw.Write(func(descriptor uintptr) bool {
		for {
			written, writeErr = syscall.Write(int(descriptor), data)
			if writeErr != syscall.EINTR {
				return true
			}
		}
	})
	written = max(written, 0)
	if rawErr != nil || writeErr != nil && writeErr != syscall.EAGAIN {
		b.broken = true
		return written, false
	}
	return written, true
}

// drain writes the backlog until none is left.
func (b *bufferedConn) drain() {
	for {
		b.mu.Lock()
		data := b.backlog
		b.backlog = nil
		if len(data) == 0 {
			b.draining = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		if _, err := b.conn.Write(data); err != nil {
			b.mu.Lock()
			b.broken, b.draining = true, false
			b.mu.Unlock()
			b.conn.Close()
			return
		}
		b.conn.SetWriteDeadline(time.Time{})
	}
}

func (b *bufferedConn) stopReading() { b.conn.SetReadDeadline(time.Unix(1, 0)) }

func (b *bufferedConn) finish() {
	if half, ok := b.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // the peer may be gone; the reader ends by its deadline
	}
	b.conn.SetReadDeadline(time.Now().Add(finishTimeout))
}

func (b *bufferedConn) close() { b.conn.Close() }
