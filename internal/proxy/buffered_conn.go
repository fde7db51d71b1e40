package proxy

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	maxBacklogBytes   = 4 << 20          // a connection with more unwritten data is closed
	writeStallTimeout = 10 * time.Second // a connection whose peer accepts no data for this long is closed

	// peerCloseTimeout is how long the reader waits for the peer to close after the last bytes were written.
	peerCloseTimeout = 300 * time.Millisecond
)

// nonblockingConn is the part of a connection that the event loop uses. None of its methods blocks.
type nonblockingConn interface {
	// write writes data, or buffers what can't be written immediately. It returns how many bytes were written immediately; ok is
	// false if the connection failed.
	write(data []byte) (written int, ok bool)
	// stopReading makes the connection's reader stop.
	stopReading()
	// closeWrite closes the write side; the reader ends soon after.
	closeWrite()
	close()
}

// bufferedConn is a nonblockingConn over a socket. Data that the socket does not accept at once is buffered in a backlog, which a
// goroutine writes; the goroutine ends when the backlog is empty or the socket fails.
type bufferedConn struct {
	conn    net.Conn
	rawConn syscall.RawConn // nil if the connection has no file descriptor: all data then goes through the backlog

	mu       sync.Mutex
	backlog  []byte
	flushing bool
	failed   bool
}

func newBufferedConn(conn net.Conn) *bufferedConn {
	b := &bufferedConn{conn: conn}
	if withDescriptor, ok := conn.(syscall.Conn); ok {
		b.rawConn, _ = withDescriptor.SyscallConn() // nil on error: all data then goes through the backlog
	}
	return b
}

func (b *bufferedConn) write(data []byte) (written int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed {
		return 0, false
	}
	if !b.flushing && b.rawConn != nil {
		if written, ok = b.writeNonblocking(data); !ok || written == len(data) {
			return written, ok
		}
	}
	rest := data[written:]
	if len(b.backlog)+len(rest) > maxBacklogBytes {
		b.failed = true
		b.conn.Close()
		return written, false
	}
	b.backlog = append(b.backlog, rest...)
	if !b.flushing {
		b.flushing = true
		go b.flushBacklog()
	}
	return written, true
}

// writeNonblocking writes what the socket accepts without blocking. ok is false if the socket failed.
func (b *bufferedConn) writeNonblocking(data []byte) (written int, ok bool) {
	var writeErr error
	rawErr := b.rawConn.Write(func(descriptor uintptr) bool {
		for {
			written, writeErr = syscall.Write(int(descriptor), data)
			if writeErr != syscall.EINTR {
				return true
			}
		}
	})
	written = max(written, 0)
	if rawErr != nil || writeErr != nil && writeErr != syscall.EAGAIN {
		b.failed = true
		return written, false
	}
	return written, true
}

// flushBacklog writes the backlog until it is empty.
func (b *bufferedConn) flushBacklog() {
	for {
		b.mu.Lock()
		data := b.backlog
		b.backlog = nil
		if len(data) == 0 {
			b.flushing = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		if _, err := b.conn.Write(data); err != nil {
			b.mu.Lock()
			b.failed, b.flushing = true, false
			b.mu.Unlock()
			b.conn.Close()
			return
		}
		b.conn.SetWriteDeadline(time.Time{})
	}
}

func (b *bufferedConn) stopReading() { b.conn.SetReadDeadline(time.Unix(1, 0)) }

func (b *bufferedConn) closeWrite() {
	if writeCloser, ok := b.conn.(interface{ CloseWrite() error }); ok {
		_ = writeCloser.CloseWrite() // the peer may be gone; the read deadline ends the reader in any case
	}
	b.conn.SetReadDeadline(time.Now().Add(peerCloseTimeout))
}

func (b *bufferedConn) close() { b.conn.Close() }
