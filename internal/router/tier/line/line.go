// Package line carries the link's frames over a connection: one goroutine reads,
// one writes from a bounded queue, and a side that reads too slowly is cut.
package line

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"ferrypitch/internal/router/tier/link"
)

// ErrSlowReader tells of a reader that was cut.
var ErrSlowReader = errors.New("the other side reads too slowly")

// Conn is a connection whose greetings are exchanged.
type Conn struct {
	Peer link.Greeting

	conn          net.Conn
	session       *link.Session
	inbound       []byte
	maxFrameBytes int
	writeTimeout  time.Duration
	queue         chan frame
	closeOnce     sync.Once
	closed        chan struct{}
	closeErr      error
	writer        sync.WaitGroup
}

type frame struct {
	kind byte
	body []byte
}

// ForwarderHandshake greets as a forwarder, within the connection's deadline.
func ForwarderHandshake(conn net.Conn, key *[32]byte, name string, life uint64, queue, most int, write time.Duration) (*Conn, error) {
	mine := newGreeting(name, life)
	if _, err := conn.Write(link.AppendGreeting(nil, mine, key)); err != nil {
		return nil, err
	}
	l := newConn(conn, queue, most, write)
	if err := l.readGreeting(key); err != nil {
		return nil, err
	}
	if err := l.Peer.RefusalError(); err != nil {
		return nil, err
	}
	l.session = link.NewSession(key, mine.Nonce, l.Peer.Nonce, true)
	return l, nil
}

// PlannerHandshake greets as a planner, within the connection's deadline. take says whether there is room for
// the forwarder; one of another version is told so.
func PlannerHandshake(conn net.Conn, key *[32]byte, name string, life uint64, queue, most int, write time.Duration,
	take func(link.Greeting) bool) (*Conn, error) {
	l, mine := newConn(conn, queue, most, write), newGreeting(name, life)
	err := l.readGreeting(key)
	switch {
	case err != nil && l.Peer.Version != 0 && l.Peer.Version != link.ProtocolVersion:
		mine.Refusal = link.RefusalVersion
	case err != nil:
		return nil, err
	case !take(l.Peer):
		mine.Refusal = link.RefusalCapacity
		err = errors.New("as many forwarders as are taken are there")
	}
	l.session = link.NewSession(key, l.Peer.Nonce, mine.Nonce, false)
	if _, bad := conn.Write(link.AppendGreeting(nil, mine, key)); err == nil {
		err = bad
	}
	return l, err
}

func newGreeting(name string, life uint64) link.Greeting {
	g := link.Greeting{Version: link.ProtocolVersion, Incarnation: life, Name: name}
	rand.Read(g.Nonce[:])
	return g
}

func newConn(conn net.Conn, queue, most int, write time.Duration) *Conn {
	return &Conn{conn: conn, maxFrameBytes: most, writeTimeout: write, queue: make(chan frame, queue), closed: make(chan struct{})}
}

func (l *Conn) readGreeting(key *[32]byte) error {
	for {
		g, n, err := link.ParseGreeting(l.inbound, key)
		if l.Peer = g; err != nil {
			return err
		}
		if n > 0 {
			l.inbound = l.inbound[n:]
			return nil
		}
		if err := l.readMore(link.MaxGreetingBytes); err != nil {
			return err
		}
	}
}

// readMore reads once. Space grows with what has come, never by what a length claims.
func (l *Conn) readMore(want int) error {
	if len(l.inbound) == cap(l.inbound) {
		grown := make([]byte, len(l.inbound), max(512, min(2*cap(l.inbound), want+4096)))
		copy(grown, l.inbound)
		l.inbound = grown
	}
	n, err := l.conn.Read(l.inbound[len(l.inbound):cap(l.inbound)])
	l.inbound = l.inbound[:len(l.inbound)+n]
	if n > 0 {
		return nil
	}
	return err
}

// StartWriter begins to write what Send is given.
func (l *Conn) StartWriter() {
	l.conn.SetDeadline(time.Time{})
	l.writer.Go(func() {
		var b []byte
		for {
			select {
			case f := <-l.queue:
				b = l.session.Seal(b[:0], f.kind, f.body)
				l.conn.SetWriteDeadline(time.Now().Add(l.writeTimeout))
				if _, err := l.conn.Write(b); err != nil {
					l.CloseWithError(fmt.Errorf("writing: %w", err))
					return
				}
				if cap(b) > 1<<20 {
					b = nil
				}
			case <-l.closed:
				return
			}
		}
	})
}

// Send queues a frame, whose body is not changed after, or ends the line when too many wait.
func (l *Conn) Send(kind byte, body []byte) {
	select {
	case l.queue <- frame{kind, body}:
	default:
		l.CloseWithError(ErrSlowReader)
	}
}

// ReadFrame reads the next frame; its body holds until the next call.
func (l *Conn) ReadFrame() (kind byte, body []byte, err error) {
	for {
		kind, body, n, want, err := l.session.Open(l.inbound, l.maxFrameBytes)
		if err != nil {
			return 0, nil, err
		}
		if n > 0 {
			if l.inbound = l.inbound[n:]; len(l.inbound) == 0 && n > 1<<20 {
				l.inbound = nil
			}
			return kind, body, nil
		}
		if err := l.readMore(want); err != nil {
			select {
			case <-l.closed:
				return 0, nil, l.closeErr
			default:
				return 0, nil, err
			}
		}
	}
}

// CloseWithError closes the line for a reason, once.
func (l *Conn) CloseWithError(why error) {
	l.closeOnce.Do(func() {
		l.closeErr = why
		close(l.closed)
		l.conn.Close()
	})
}

// Wait waits for what Start began, after End.
func (l *Conn) Wait() { l.writer.Wait() }
