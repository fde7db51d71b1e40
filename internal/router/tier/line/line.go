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

// ErrSlow tells of a reader that was cut.
var ErrSlow = errors.New("the other side reads too slowly")

// Line is a connection whose greetings are exchanged.
type Line struct {
	Peer link.Greeting

	conn  net.Conn
	side  *link.Side
	in    []byte
	most  int
	write time.Duration
	out   chan frame
	once  sync.Once
	done  chan struct{}
	why   error
	tasks sync.WaitGroup
}

type frame struct {
	kind byte
	body []byte
}

// Call greets as a forwarder, within the connection's deadline.
func Call(conn net.Conn, key *[32]byte, name string, life uint64, queue, most int, write time.Duration) (*Line, error) {
	mine := greeting(name, life)
	if _, err := conn.Write(link.AppendGreeting(nil, mine, key)); err != nil {
		return nil, err
	}
	l := newLine(conn, queue, most, write)
	if err := l.greeting(key); err != nil {
		return nil, err
	}
	if err := l.Peer.Refused(); err != nil {
		return nil, err
	}
	l.side = link.NewSide(key, mine.Nonce, l.Peer.Nonce, true)
	return l, nil
}

// Answer greets as a planner, within the connection's deadline. take says whether there is room for
// the forwarder; one of another version is told so.
func Answer(conn net.Conn, key *[32]byte, name string, life uint64, queue, most int, write time.Duration,
	take func(link.Greeting) bool) (*Line, error) {
	l, mine := newLine(conn, queue, most, write), greeting(name, life)
	err := l.greeting(key)
	switch {
	case err != nil && l.Peer.Version != 0 && l.Peer.Version != link.Spoken:
		mine.Refusal = link.BadVersion
	case err != nil:
		return nil, err
	case !take(l.Peer):
		mine.Refusal = link.TooMany
		err = errors.New("as many forwarders as are taken are there")
	}
	l.side = link.NewSide(key, l.Peer.Nonce, mine.Nonce, false)
	if _, bad := conn.Write(link.AppendGreeting(nil, mine, key)); err == nil {
		err = bad
	}
	return l, err
}

func greeting(name string, life uint64) link.Greeting {
	g := link.Greeting{Version: link.Spoken, Life: life, Name: name}
	rand.Read(g.Nonce[:])
	return g
}

func newLine(conn net.Conn, queue, most int, write time.Duration) *Line {
	return &Line{conn: conn, most: most, write: write, out: make(chan frame, queue), done: make(chan struct{})}
}

func (l *Line) greeting(key *[32]byte) error {
	for {
		g, n, err := link.ReadGreeting(l.in, key)
		if l.Peer = g; err != nil {
			return err
		}
		if n > 0 {
			l.in = l.in[n:]
			return nil
		}
		if err := l.fill(link.GreetingMost); err != nil {
			return err
		}
	}
}

// fill reads once. Space grows with what has come, never by what a length claims.
func (l *Line) fill(want int) error {
	if len(l.in) == cap(l.in) {
		grown := make([]byte, len(l.in), max(512, min(2*cap(l.in), want+4096)))
		copy(grown, l.in)
		l.in = grown
	}
	n, err := l.conn.Read(l.in[len(l.in):cap(l.in)])
	l.in = l.in[:len(l.in)+n]
	if n > 0 {
		return nil
	}
	return err
}

// Start begins to write what Send is given.
func (l *Line) Start() {
	l.conn.SetDeadline(time.Time{})
	l.tasks.Go(func() {
		var b []byte
		for {
			select {
			case f := <-l.out:
				b = l.side.Seal(b[:0], f.kind, f.body)
				l.conn.SetWriteDeadline(time.Now().Add(l.write))
				if _, err := l.conn.Write(b); err != nil {
					l.End(fmt.Errorf("writing: %w", err))
					return
				}
				if cap(b) > 1<<20 {
					b = nil
				}
			case <-l.done:
				return
			}
		}
	})
}

// Send queues a frame, whose body is not changed after, or ends the line when too many wait.
func (l *Line) Send(kind byte, body []byte) {
	select {
	case l.out <- frame{kind, body}:
	default:
		l.End(ErrSlow)
	}
}

// Read reads the next frame; its body holds until the next call.
func (l *Line) Read() (kind byte, body []byte, err error) {
	for {
		kind, body, n, want, err := l.side.Open(l.in, l.most)
		if err != nil {
			return 0, nil, err
		}
		if n > 0 {
			if l.in = l.in[n:]; len(l.in) == 0 && n > 1<<20 {
				l.in = nil
			}
			return kind, body, nil
		}
		if err := l.fill(want); err != nil {
			select {
			case <-l.done:
				return 0, nil, l.why
			default:
				return 0, nil, err
			}
		}
	}
}

// End closes the line for a reason, once.
func (l *Line) End(why error) {
	l.once.Do(func() {
		l.why = why
		close(l.done)
		l.conn.Close()
	})
}

// Wait waits for what Start began, after End.
func (l *Line) Wait() { l.tasks.Wait() }
