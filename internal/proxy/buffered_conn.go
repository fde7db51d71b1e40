package proxy

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	maxBacklogBytes   = 4 << 20
	writeStallTimeout = 10 * time.Second // a peer that takes nothing for so long is left
)

// nonblockingConn is one connection as the owner sees it. None of its calls waits.
type nonblockingConn interface {
	write(b []byte) (n int, ok bool) // how much went out at once, and whether the rest will be tried
	stop()                           // no more is read from it; its reader tells when it has ended
	finish()                         // nothing more is written; its reader ends soon
	close()
}

func (o *bufferedConn) stop() { o.conn.SetReadDeadline(time.Unix(1, 0)) }

func (o *bufferedConn) finish() {
	if half, ok := o.conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	o.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
}

func (o *bufferedConn) close() { o.conn.Close() }

// bufferedConn writes to a socket without ever holding up who writes: what the socket does not take at once is sent on by a
// goroutine of its own.
type bufferedConn struct {
	conn net.Conn
	raw  syscall.RawConn

	mu      sync.Mutex
	backlog []byte
	sending bool
	broken  bool
}

func newBufferedConn(c net.Conn) *bufferedConn {
	o := &bufferedConn{conn: c}
	if s, ok := c.(syscall.Conn); ok {
		o.raw, _ = s.SyscallConn()
	}
	return o
}

// write says how many bytes went out at once, and whether the rest will be tried.
func (o *bufferedConn) write(b []byte) (n int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.broken {
		return 0, false
	}
	if !o.sending && o.raw != nil {
		var err error
		ended := o.raw.Write(func(fd uintptr) bool {
			for {
				n, err = syscall.Write(int(fd), b)
				if err != syscall.EINTR {
					return true
				}
			}
		})
		n = max(n, 0)
		if ended != nil || err != nil && err != syscall.EAGAIN {
			o.broken = true
			return n, false
		}
		if n == len(b) {
			return n, true
		}
	}
	if len(o.backlog)+len(b)-n > maxBacklogBytes {
		o.broken = true
		o.conn.Close()
		return n, false
	}
	o.backlog = append(o.backlog, b[n:]...)
	if !o.sending {
		o.sending = true
		go o.drain() // ends with the backlog, or the socket
	}
	return n, true
}

func (o *bufferedConn) drain() {
	for {
		o.mu.Lock()
		b := o.backlog
		o.backlog = nil
		if len(b) == 0 {
			o.sending = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		o.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		if _, err := o.conn.Write(b); err != nil {
			o.mu.Lock()
			o.broken, o.sending = true, false
			o.mu.Unlock()
			o.conn.Close()
			return
		}
		o.conn.SetWriteDeadline(time.Time{})
	}
}

// lineReader reads lines of the wire from a socket.
type lineReader struct {
	conn net.Conn
	in   []byte
	from int
	one  [2048]byte
}

// next gives a line without and with its end; both hold until the next call.
func (l *lineReader) next(cut func(b []byte, at int) ([]byte, int, error)) (line, raw []byte, err error) {
	at := 0
	for {
		b := l.in[l.from:]
		line, n, err := cut(b, at)
		if err != nil {
			return nil, nil, err
		}
		if n > 0 {
			l.from += n
			return line, b[:n], nil
		}
		at = len(b)
		if l.from > 0 {
			l.in = append(l.in[:0], b...)
			l.from = 0
		}
		if len(l.in) == 0 && cap(l.in) > 16<<10 {
			l.in = nil
		}
		k, err := l.conn.Read(l.one[:])
		if k == 0 && err != nil {
			return nil, nil, err
		}
		l.in = append(l.in, l.one[:k]...)
	}
}
