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

const (
	statusOK     = 200 // of HTTP
	dialShare    = 4   // connecting to discovery may take limits.Quiet divided by this
	backoffShare = 8   // the backoff grows to limits.Quiet divided by this
)

// Watch follows discovery's endpoint list by a long-lived HTTP request, which it repeats with backoff when it ends.
type Watch struct {
	limits      *setup.Limits
	budget      *BufferBudget
	heldVersion func() int64
	handleLine  func(text []byte, addressIsNew bool) error
	onError     func(error)

	requests chan struct{} // nil: each watch that ends is followed by the next
	onEnd    func()        // with requests only

	mu           sync.Mutex
	address      string
	addressIsNew bool               // nothing has come from this address yet, whose versions may be unrelated
	cancel       context.CancelFunc // ends the watch that is open

	Started atomic.Int64 // watches
	Lines   atomic.Int64 // lists and changes received
}

// NewWatch returns a watch of the discovery service at address. It asks for what came after heldVersion each time it
// starts anew. handleLine takes a complete list or its changes, and owns the text; addressIsNew is true if an address
// sends its first, whose version is not comparable to those before. onError takes the reason why a watch ended.
func NewWatch(limits *setup.Limits, budget *BufferBudget, address string, heldVersion func() int64,
	handleLine func(text []byte, addressIsNew bool) error, onError func(error),
) *Watch {
	return &Watch{
		limits: limits, budget: budget, address: address, heldVersion: heldVersion, handleLine: handleLine, onError: onError,
	}
}

// OnRequest has a watch start only when Request is called, and onEnd called whenever a watch failed or ended. It must be
// called before Run.
func (w *Watch) OnRequest(onEnd func()) { w.requests, w.onEnd = make(chan struct{}, 1), onEnd }

// Request starts a watch, unless one is open.
func (w *Watch) Request() {
	select {
	case w.requests <- struct{}{}:
	default:
	}
}

// SetAddress follows another address from now on. The current list stays until that one sends its own.
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

// Run watches until ctx ends, and then returns nil.
func (w *Watch) Run(ctx context.Context) error {
	addressChanged := false
	for backoff := w.limits.RetryDelay; ctx.Err() == nil; backoff = min(2*backoff, w.limits.DiscoveryTimeout/backoffShare) {
		if w.requests != nil && !addressChanged {
			select {
			case <-w.requests:
			case <-ctx.Done():
				return nil
			}
		}
		watchCtx, cancel := context.WithCancel(ctx)
		received, err := w.follow(watchCtx, cancel)
		addressChanged = watchCtx.Err() != nil
		if received || addressChanged {
			backoff = w.limits.RetryDelay
		}
		if !addressChanged && ctx.Err() == nil {
			w.handleEnd(watchCtx, err, backoff)
		}
		cancel()
	}
	return nil
}

// handleEnd reports why a watch ended, and waits for the backoff unless watches are started by requests. A change of the
// address ends the wait, as it ends a watch.
func (w *Watch) handleEnd(watchCtx context.Context, err error, backoff time.Duration) {
	if w.requests != nil {
		select { // a request from while the watch was open is done with it
		case <-w.requests:
		default:
		}
		w.onError(err)
		w.onEnd()
		return
	}
	w.onError(err)
	select {
	case <-watchCtx.Done():
	case <-time.After(backoff):
	}
}

// deliver hands a line on, unless the address that it came from is not followed any more.
func (w *Watch) deliver(watchCtx context.Context, text []byte) error {
	w.mu.Lock()
	addressIsNew, err := w.addressIsNew, watchCtx.Err()
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
	if watchCtx.Err() == nil {
		w.addressIsNew = false
	}
	return nil
}

// follow is one watch, up to its end, which cancel brings about. received is true if a line has come.
func (w *Watch) follow(watchCtx context.Context, cancel context.CancelFunc) (received bool, err error) {
	w.Started.Add(1)
	w.mu.Lock()
	w.cancel = cancel
	address, addressIsNew := w.address, w.addressIsNew
	w.mu.Unlock()
	conn, err := (&net.Dialer{Timeout: w.limits.DiscoveryTimeout / dialShare}).DialContext(watchCtx, "tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(watchCtx, func() { conn.Close() })()
	// Discovery sends something even when nothing changes. One that is silent may be partitioned from here, which an
	// open connection does not show.
	conn.SetDeadline(time.Now().Add(w.limits.DiscoveryTimeout))
	version := w.heldVersion()
	if addressIsNew { // its versions may be unrelated to the current one
		version = 0
	}
	if _, err := conn.Write(protocol.AppendWatchRequest(nil, address, version)); err != nil {
		return false, err
	}
	in := newBuffer(w.budget, w.limits.InitialBuffer, w.limits.MaxListLine)
	defer in.release()
	if err := awaitWatchResponse(conn, in); err != nil {
		return false, err
	}
	return w.readLines(watchCtx, conn, in)
}

// awaitWatchResponse reads the head of discovery's response.
func awaitWatchResponse(conn net.Conn, in *buffer) error {
	for {
		status, chunked, n, err := protocol.NextResponseHead(in.unread())
		if err != nil {
			return err
		}
		if n > 0 {
			in.consume(n)
			if status != statusOK || !chunked {
				return fmt.Errorf("discovery answers with status %d, chunked %t", status, chunked)
			}
			return nil
		}
		if err := in.readFrom(conn); err != nil {
			return err
		}
	}
}

// readLines reads the body of discovery's response, line by line, until the watch ends.
func (w *Watch) readLines(watchCtx context.Context, conn net.Conn, in *buffer) (received bool, err error) {
	var partial []byte // of a line
	for {
		chunk, n, err := protocol.NextChunk(in.unread(), w.limits.MaxListLine)
		switch {
		case err != nil:
			return received, err
		case n > 0 && len(chunk) == 0:
			return received, errors.New("discovery ended the watch")
		case n == 0:
			if err := in.readFrom(conn); err != nil {
				return received, err
			}
			conn.SetDeadline(time.Now().Add(w.limits.DiscoveryTimeout))
			continue
		}
		partial = append(partial, chunk...)
		in.consume(n)
		var complete int
		if partial, complete, err = w.deliverLines(watchCtx, partial); err != nil {
			return false, err // the list that was not taken in is requested again, with backoff
		}
		received = received || complete > 0
		if len(partial) > w.limits.MaxListLine {
			return received, protocol.ErrTooLong
		}
	}
}

// deliverLines hands on the complete lines that text begins with. It returns the rest and their number, blank lines
// included, which discovery sends to show that it is there.
func (w *Watch) deliverLines(watchCtx context.Context, text []byte) (rest []byte, complete int, err error) {
	for {
		line, after, found := bytes.Cut(text, []byte{'\n'})
		if !found {
			return text, complete, nil
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if err := w.deliver(watchCtx, line); err != nil {
				return nil, complete, err
			}
		}
		complete++
		text = append(text[:0], after...)
	}
}
