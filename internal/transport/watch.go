package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"ferrypitch/internal/protocol"
	"ferrypitch/internal/setup"
)

// Watch follows discovery's list.
type Watch struct {
	limits  *setup.Limits
	room    *Room
	address string
	rev     func() int64            // the version that is held
	line    func(text []byte) error // a list or its changes, owned by whoever is told
	fault   func(error)

	Started, Lines atomic.Int64
}

// NewWatch asks for what came after rev, each time it has to ask anew.
func NewWatch(l *setup.Limits, room *Room, address string, rev func() int64, line func([]byte) error,
	fault func(error)) *Watch {
	return &Watch{limits: l, room: room, address: address, rev: rev, line: line, fault: fault}
}

// Run watches until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	for wait := w.limits.Again; ctx.Err() == nil; wait = min(2*wait, w.limits.Quiet/2) {
		w.Started.Add(1)
		told, err := w.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if told {
			wait = w.limits.Again
		}
		w.fault(err)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// follow is one watch, up to its end. told says that it brought anything.
func (w *Watch) follow(ctx context.Context) (told bool, err error) {
	conn, err := (&net.Dialer{Timeout: w.limits.Quiet}).DialContext(ctx, "tcp", w.address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// Discovery that says nothing, not even that nothing has changed, may be cut off: a
	// connection that stays open tells nothing.
	conn.SetDeadline(time.Now().Add(w.limits.Quiet))
	if _, err := conn.Write(protocol.AppendWatch(nil, w.address, w.rev())); err != nil {
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
				w.Lines.Add(1)
				if err := w.line(bytes.Clone(text)); err != nil {
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
