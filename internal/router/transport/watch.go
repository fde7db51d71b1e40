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
	statusOK           = 200 // HTTP status
	dialTimeoutDivisor = 4   // the dial timeout is limits.DiscoveryTimeout divided by this
	maxBackoffDivisor  = 8   // the maximum backoff is limits.DiscoveryTimeout divided by this
)

// Watch receives discovery's host list and its updates by a long-lived HTTP request, which it repeats with backoff when it ends.
type Watch struct {
	limits         *setup.Limits
	budget         *BufferBudget
	currentVersion func() int64
	handleLine     func(text []byte, addressIsNew bool) error
	onError        func(error)

	requests chan struct{} // nil if a new watch starts whenever one ends
	onEnd    func()        // set together with requests; called when a watch ends

	mu           sync.Mutex
	address      string
	addressIsNew bool               // no list was received from this address yet; its versions may be unrelated to earlier ones
	cancel       context.CancelFunc // cancels the current watch

	Started atomic.Int64 // watches started
	Lines   atomic.Int64 // lists and list updates received
}

// NewWatch returns a watch of the discovery service at address. Each time it starts, it requests the changes since
// currentVersion. handleLine receives a complete list or an update, and owns the text; addressIsNew is true for the first line
// from a new address, whose version is not comparable to earlier ones. onError receives the reason why a watch ended.
func NewWatch(limits *setup.Limits, budget *BufferBudget, address string, currentVersion func() int64,
	handleLine func(text []byte, addressIsNew bool) error, onError func(error),
) *Watch {
	return &Watch{
		limits: limits, budget: budget, address: address, currentVersion: currentVersion, handleLine: handleLine, onError: onError,
	}
}

// OnRequest configures the watch to start only when Request is called, and to call onEnd whenever it has failed or ended. It must
// be called before Run.
func (w *Watch) OnRequest(onEnd func()) { w.requests, w.onEnd = make(chan struct{}, 1), onEnd }

// Request starts a watch, unless one is open or requested.
func (w *Watch) Request() {
	select {
	case w.requests <- struct{}{}:
	default:
	}
}

// SetAddress sets the address of discovery and ends the current watch if the address has changed. The current list stays in use
// until the new address has sent one.
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
	for backoff := w.limits.RetryDelay; ctx.Err() == nil; backoff = min(2*backoff, w.limits.DiscoveryTimeout/maxBackoffDivisor) {
		if w.requests != nil && !addressChanged {
			select {
			case <-w.requests:
			case <-ctx.Done():
				return nil
			}
		}
		watchCtx, cancel := context.WithCancel(ctx)
		received, err := w.watchOnce(watchCtx, cancel)
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

// handleEnd reports why a watch ended, and waits for the backoff unless watches start on request. A change of the address ends
// the wait.
func (w *Watch) handleEnd(watchCtx context.Context, err error, backoff time.Duration) {
	if w.requests != nil {
		select { // drop a request that was made while the watch was open
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

// deliver passes a line to handleLine, unless the watch has been canceled by a change of the address.
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

// watchOnce runs one watch until it ends or is canceled. received is true if a line was received.
func (w *Watch) watchOnce(watchCtx context.Context, cancel context.CancelFunc) (received bool, err error) {
	w.Started.Add(1)
	w.mu.Lock()
	w.cancel = cancel
	address, addressIsNew := w.address, w.addressIsNew
	w.mu.Unlock()
	conn, err := (&net.Dialer{Timeout: w.limits.DiscoveryTimeout / dialTimeoutDivisor}).DialContext(watchCtx, "tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(watchCtx, func() { conn.Close() })()
	// Discovery sends blank lines even if nothing changes, so silence may mean a network partition, which an open
	// connection does not reveal.
	conn.SetDeadline(time.Now().Add(w.limits.DiscoveryTimeout))
	version := w.currentVersion()
	if addressIsNew { // its versions may be unrelated to the current version
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

// awaitWatchResponse reads the status line and header of discovery's response.
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

// readLines reads the body of discovery's response and delivers it line by line, until the watch ends.
func (w *Watch) readLines(watchCtx context.Context, conn net.Conn, in *buffer) (received bool, err error) {
	var partial []byte // incomplete line
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
			return false, err // the list that was not applied is requested again, with backoff
		}
		received = received || complete > 0
		if len(partial) > w.limits.MaxListLine {
			return received, protocol.ErrTooLong
		}
	}
}

// deliverLines delivers the complete lines at the start of text. It returns the rest of text and the number of complete lines,
// including the blank lines that discovery sends as heartbeats.
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
