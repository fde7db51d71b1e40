package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
)

// Watch follows discovery's list.
type Watch struct {
	limits *setup.Limits
	room   *Room
	rev    func() int64                       // the version that is held
	line   func(text []byte, anew bool) error // a list or its changes, owned by whoever is told
	fault  func(error)

	asks  chan struct{} // nil: it asks by itself, whenever a watch has ended
	ended func()        // to whoever asks

	mu      sync.Mutex
	address string
	fresh   bool               // nothing has come from this address yet, whose versions may be others
	leave   context.CancelFunc // ends the watch that is open

	Started, Lines atomic.Int64
}

// NewWatch asks for what came after rev, each time it has to ask anew. line's anew says that an
// address speaks for the first time, whatever version it names.
func NewWatch(l *setup.Limits, room *Room, address string, rev func() int64, line func([]byte, bool) error,
	fault func(error)) *Watch {
	return &Watch{limits: l, room: room, address: address, rev: rev, line: line, fault: fault}
}

// OnRequest has it ask only when Ask is called, and tell ended whenever a watch was refused or is over. Called before Run.
func (w *Watch) OnRequest(ended func()) { w.asks, w.ended = make(chan struct{}, 1), ended }

// Ask opens a watch, unless one is open.
func (w *Watch) Ask() {
	select {
	case w.asks <- struct{}{}:
	default:
	}
}

// Move follows another address from now on; the list is kept until that one speaks.
func (w *Watch) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	if w.address, w.fresh = address, true; w.leave != nil {
		w.leave()
	}
}

// Run watches until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	moved := false
	for wait := w.limits.Again; ctx.Err() == nil; wait = min(2*wait, w.limits.Quiet/8) {
		if w.asks != nil && !moved {
			select {
			case <-w.asks:
			case <-ctx.Done():
				return nil
			}
		}
		w.Started.Add(1)
		watch, leave := context.WithCancel(ctx)
		w.mu.Lock()
		w.leave = leave
		address, fresh := w.address, w.fresh
		w.mu.Unlock()
		told, err := w.follow(watch, address, fresh)
		moved = watch.Err() != nil
		if ctx.Err() != nil {
			leave()
			break
		}
		if told || moved {
			wait = w.limits.Again
		}
		if !moved && w.asks != nil {
			select { // what was asked while it was open is over with it
			case <-w.asks:
			default:
			}
			w.fault(err)
			w.ended()
		} else if !moved {
			w.fault(err)
			select { // a move ends the wait, as it ends a watch
			case <-watch.Done():
			case <-time.After(wait):
			}
		}
		leave()
	}
	return nil
}

// hand tells of a line, unless the address it came from is followed no more.
func (w *Watch) hand(ctx context.Context, text []byte) error {
	w.mu.Lock()
	fresh, err := w.fresh, ctx.Err()
	w.mu.Unlock()
	if err != nil {
		return err
	}
	w.Lines.Add(1)
	if err := w.line(bytes.Clone(text), fresh); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		w.fresh = false
	}
	return nil
}

// follow is one watch, up to its end. told says that it brought anything.
func (w *Watch) follow(ctx context.Context, address string, fresh bool) (told bool, err error) {
	conn, err := (&net.Dialer{Timeout: w.limits.Quiet / 4}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// Discovery that says nothing, not even that nothing has changed, may be cut off: a
	// connection that stays open tells nothing.
	conn.SetDeadline(time.Now().Add(w.limits.Quiet))
	rev := w.rev()
	if fresh { // what that version held at this address nobody knows
		rev = 0
	}
	if _, err := conn.Write(protocol.AppendWatch(nil, address, rev)); err != nil {
		return false, err
	}
	in := newBuffer(w.room, w.limits.Buffer, w.limits.Line)
	defer in.free()
	for {
		status, chunked, n, err := protocol.Head(in.bytes())
		if err != nil {
			return false, err
		}
		if n > 0 {
			in.use(n)
			if status != 200 || !chunked {
				return false, fmt.Errorf("discovery answers with status %d, chunked %t", status, chunked)
			}
			break
		}
		if err := in.fill(conn); err != nil {
			return false, err
		}
	}
	var line []byte
	for {
		data, n, err := protocol.Chunk(in.bytes(), w.limits.Line)
		switch {
		case err != nil:
			return told, err
		case n > 0 && len(data) == 0:
			return told, errors.New("discovery ended the watch")
		case n == 0:
			if err := in.fill(conn); err != nil {
				return told, err
			}
			conn.SetDeadline(time.Now().Add(w.limits.Quiet))
			continue
		}
		line = append(line, data...)
		in.use(n)
		for {
			text, rest, whole := bytes.Cut(line, []byte{'\n'})
			if !whole {
				break
			}
			if text = bytes.TrimSpace(text); len(text) > 0 {
				if err := w.hand(ctx, text); err != nil {
					return false, err // what it told is asked for again
				}
			}
			told = true
			line = append(line[:0], rest...)
		}
		if len(line) > w.limits.Line {
			return told, protocol.ErrLong
		}
	}
}
