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
	limits      *setup.Limits
	budget      *Room
	heldVersion func() int64                       // the version that is held
	handleLine  func(text []byte, anew bool) error // a list or its changes, owned by whoever is told
	onError     func(error)

	requests chan struct{} // nil: it asks by itself, whenever a watch has ended
	onEnd    func()        // to whoever asks

	mu           sync.Mutex
	address      string
	addressIsNew bool               // nothing has come from this address yet, whose versions may be others
	cancel       context.CancelFunc // ends the watch that is open

	Started, Lines atomic.Int64
}

// NewWatch asks for what came after rev, each time it has to ask anew. line's anew says that an
// address speaks for the first time, whatever version it names.
func NewWatch(limits *setup.Limits, budget *Room, address string, heldVersion func() int64, handleLine func([]byte, bool) error,
	onError func(error)) *Watch {
	return &Watch{limits: limits, budget: budget, address: address, heldVersion: heldVersion, handleLine: handleLine, onError: onError}
}

// OnRequest has it ask only when Ask is called, and tell ended whenever a watch was refused or is over. Called before Run.
func (w *Watch) OnRequest(onEnd func()) { w.requests, w.onEnd = make(chan struct{}, 1), onEnd }

// Request opens a watch, unless one is open.
func (w *Watch) Request() {
	select {
	case w.requests <- struct{}{}:
	default:
	}
}

// SetAddress follows another address from now on; the list is kept until that one speaks.
func (w *Watch) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	if w.address, w.addressIsNew = address, true; w.cancel != nil {
		w.cancel()
	}
}

// Run watches until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	moved := false
	for wait := w.limits.Again; ctx.Err() == nil; wait = min(2*wait, w.limits.Quiet/8) {
		if w.requests != nil && !moved {
			select {
			case <-w.requests:
			case <-ctx.Done():
				return nil
			}
		}
		w.Started.Add(1)
		watch, leave := context.WithCancel(ctx)
		w.mu.Lock()
		w.cancel = leave
		address, fresh := w.address, w.addressIsNew
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
		if !moved && w.requests != nil {
			select { // what was asked while it was open is over with it
			case <-w.requests:
			default:
			}
			w.onError(err)
			w.onEnd()
		} else if !moved {
			w.onError(err)
			select { // a move ends the wait, as it ends a watch
			case <-watch.Done():
			case <-time.After(wait):
			}
		}
		leave()
	}
	return nil
}

// deliver tells of a line, unless the address it came from is followed no more.
func (w *Watch) deliver(ctx context.Context, text []byte) error {
	w.mu.Lock()
	addressIsNew, err := w.addressIsNew, ctx.Err()
	w.mu.Unlock()
	if err != nil {
		return err
	}
	w.Lines.Add(1)
	if err := w.handleLine(bytes.Clone(text), addressIsNew); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		w.addressIsNew = false
	}
	return nil
}

// follow is one watch, up to its end. told says that it brought anything.
func (w *Watch) follow(ctx context.Context, address string, fresh bool) (received bool, err error) {
	conn, err := (&net.Dialer{Timeout: w.limits.Quiet / 4}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// Discovery that says nothing, not even that nothing has changed, may be cut off: a
	// connection that stays open tells nothing.
	conn.SetDeadline(time.Now().Add(w.limits.Quiet))
	rev := w.heldVersion()
	if fresh { // what that version held at this address nobody knows
		rev = 0
	}
	if _, err := conn.Write(protocol.AppendWatch(nil, address, rev)); err != nil {
		return false, err
	}
	in := newBuffer(w.budget, w.limits.Buffer, w.limits.Line)
	defer in.release()
	for {
		status, chunked, n, err := protocol.Head(in.unread())
		if err != nil {
			return false, err
		}
		if n > 0 {
			in.consume(n)
			if status != 200 || !chunked {
				return false, fmt.Errorf("discovery answers with status %d, chunked %t", status, chunked)
			}
			break
		}
		if err := in.readFrom(conn); err != nil {
			return false, err
		}
	}
	var line []byte
	for {
		data, n, err := protocol.Chunk(in.unread(), w.limits.Line)
		switch {
		case err != nil:
			return received, err
		case n > 0 && len(data) == 0:
			return received, errors.New("discovery ended the watch")
		case n == 0:
			if err := in.readFrom(conn); err != nil {
				return received, err
			}
			conn.SetDeadline(time.Now().Add(w.limits.Quiet))
			continue
		}
		line = append(line, data...)
		in.consume(n)
		for {
			text, rest, whole := bytes.Cut(line, []byte{'\n'})
			if !whole {
				break
			}
			if text = bytes.TrimSpace(text); len(text) > 0 {
				if err := w.deliver(ctx, text); err != nil {
					return false, err // what it told is asked for again
				}
			}
			received = true
			line = append(line[:0], rest...)
		}
		if len(line) > w.limits.Line {
			return received, protocol.ErrLong
		}
	}
}
