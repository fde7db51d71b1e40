package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/wire"
)

// hostClient (they reach into the fire) ask hosts, each question on a connection that is kept for a short while.
type hostClient struct {
	f    *Server
	dial func(address string, within time.Duration) (net.Conn, error)
	mu   sync.Mutex
	idle map[string]*hostConn
}

type hostConn struct {
	conn      net.Conn
	unread    []byte
	idleSince time.Time
}

const (
	hostQueryTimeout    = 350 * time.Millisecond
	hostConnIdleTimeout = 3 * time.Second
)

func newHostClient(f *Server) *hostClient {
	t := &hostClient{f: f, idle: map[string]*hostConn{}}
	t.dial = t.dialHost
	return t
}

func (t *hostClient) takeIdle(host string) *hostConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.idle[host]
	delete(t.idle, host)
	return h
}

func (t *hostClient) keepIdle(host string, h *hostConn) {
	h.idleSince = time.Now()
	t.mu.Lock()
	old := t.idle[host]
	t.idle[host] = h
	t.mu.Unlock()
	if old != nil {
		old.conn.Close()
	}
	time.AfterFunc(hostConnIdleTimeout, func() {
		t.mu.Lock()
		is := t.idle[host] == h && time.Since(h.idleSince) >= hostConnIdleTimeout
		if is {
			delete(t.idle, host)
		}
		t.mu.Unlock()
		if is {
			if tcp, ok := h.conn.(*net.TCPConn); ok {
				tcp.SetLinger(-1) // nothing is out: it ends in order
			}
			h.conn.Close()
		}
	})
}

// query asks from a goroutine of its own and tells the owner how it ended.
func (t *hostClient) query(q failover.HostQuery, host statemachine.Host) {
	f := t.f
	text := q.Command.Text()
	if q.Command == failover.Pause || q.Command == failover.StepDown {
		text += " " + strconv.FormatUint(q.Term, 10)
	}
	until := time.Now().Add(hostQueryTimeout) // from the decision on: a process that stood still since asks nothing
	f.tasks.Go(func() error {
		r := failover.QueryResult{Query: q}
		h := t.takeIdle(q.Host)
		a, err := t.exchange(&h, host, q.Command, text, until)
		var code *codeError
		switch {
		case errors.As(err, &code):
			r.Code = code.code
			r.ConnectionRefused = code.code == wire.CodeWrongNode // another uses its address: it is gone
			r.TimedOut = !r.ConnectionRefused
		case err != nil:
			r.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
			r.TimedOut = !r.ConnectionRefused
		case a.Code != "":
			r.Code = a.Code
		default:
			if r.Status, err = wire.ParseHostStatus(a.Row); err != nil {
				r.Code = wire.CodeFailed
			}
		}
		if err == nil && h != nil {
			t.keepIdle(q.Host, h)
		} else if h != nil {
			h.conn.Close()
		}
		f.queue.Put(eventloop.PriorityOutcomes, func() { f.QueryFinished(r) })
		return nil
	})
}

// QueryFinished takes in how a question to a host ended.
func (f *Server) QueryFinished(r failover.QueryResult) {
	if !f.leading || !f.coordinator.QueryFinished(r, f.clock.Now()) {
		f.discard(resultUnsolicited)
		return
	}
	f.runFailover()
}

type codeError struct{ code wire.Code }

func (e *codeError) Error() string { return string(e.code) }

// operations are what a verb is in the table of calls.
var operations = map[failover.Command]retry.Operation{failover.Stat: retry.Stat, failover.Pause: retry.Pause, failover.Resume: retry.Resume, failover.StepDown: retry.StepDown}

// exchange asks on a connection that is kept, or on a new one where that has ended and the table of calls lets the question
// be asked again.
func (t *hostClient) exchange(h **hostConn, host statemachine.Host, verb failover.Command, text string, until time.Time) (wire.Response, error) {
	if *h != nil {
		a, moment, err := (*h).query(text, until)
		if err == nil {
			return a, nil
		}
		(*h).conn.Close()
		*h = nil
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() || retry.Decide(operations[verb], moment) != retry.RetryNow {
			return wire.Response{}, err
		}
	}
	conn, err := t.dial(host.Address, time.Until(until))
	if err != nil {
		return wire.Response{}, err
	}
	n := &hostConn{conn: conn}
	conn.SetDeadline(until)
	var a wire.Response
	if _, err = conn.Write(wire.AppendConnect(nil, host.Service, "control", host.ID)); err == nil {
		if a, err = n.readResponse(); err == nil && a.Code != "" {
			err = &codeError{a.Code}
		}
	}
	if err == nil {
		a, _, err = n.query(text, until)
	}
	if err != nil {
		conn.Close()
		return a, err
	}
	*h = n
	return a, nil
}

// dialHost opens a connection to a host. What it has not acknowledged in the time of a question is given up by the kernel, and
// what has not gone out when the connection is closed, or this process ends, goes out no more.
func (t *hostClient) dialHost(address string, wait time.Duration) (net.Conn, error) {
	c, err := rpc.Dial(t.f.ctx, t.f.settings.Ip, address, wait)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
		if raw, err := tcp.SyscallConn(); err == nil {
			rpc.UserTimeout(hostQueryTimeout)("", "", raw)
		}
	}
	return c, nil
}

var errStaleConn = errors.New("the connection that was kept has ended, or says what nobody asked")

// query asks one question, and says how far it was written.
func (h *hostConn) query(text string, until time.Time) (a wire.Response, m retry.Progress, err error) {
	if len(h.unread) > 0 || hasEndedOrReadable(h.conn) {
		return a, retry.NotSent, errStaleConn
	}
	h.conn.SetDeadline(until)
	b := wire.AppendQuery(nil, "-", text)
	n, err := h.conn.Write(b)
	if err == nil {
		a, err = h.readResponse()
	}
	return a, retry.ProgressOf(n, len(b)), err
}

// hasEndedOrReadable says that a connection at rest has ended, or that something came on it.
func hasEndedOrReadable(c net.Conn) (is bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	ended := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		is = err != syscall.EAGAIN && err != syscall.EINTR
		return true
	})
	return is || ended != nil
}

// readResponse reads one answer.
func (h *hostConn) readResponse() (a wire.Response, err error) {
	at := 0
	for {
		line, n, err := wire.CutLine(h.unread, at)
		if err != nil {
			return a, err
		}
		if n == 0 {
			at = len(h.unread)
			var b [1024]byte
			k, err := h.conn.Read(b[:])
			if k == 0 && err != nil {
				if a.Completed() && a.Code != "" { // of CONNECT: an error and a close
					return a, nil
				}
				return a, err
			}
			h.unread = append(h.unread, b[:k]...)
			continue
		}
		raw := h.unread[:n]
		whole, err := a.AddLine(line, raw)
		h.unread, at = h.unread[n:], 0
		if err != nil || whole {
			return a, err
		}
	}
}

// promote calls the platform, from a goroutine of its own.
func (f *Server) promote(p failover.Promotion) {
	address := f.settings.Provider.Address
	f.log.Info("a host is named to the platform", "service", p.Service, "host", p.Host, "fence", p.FencingToken)
	ctx, end := context.WithTimeout(f.ctx, 900*time.Millisecond) // from the decision on
	f.tasks.Go(func() error {
		defer end()
		o := f.requestPromotion(ctx, address, p)
		f.queue.Put(eventloop.PriorityOutcomes, func() { f.PromotionFinished(p, o) })
		return nil
	})
}

// PromotionFinished takes in how a call to the platform ended.
func (f *Server) PromotionFinished(p failover.Promotion, o failover.PromotionOutcome) {
	if !f.leading || !f.coordinator.PromotionFinished(p, o, f.clock.Now()) {
		f.discard(resultUnsolicited)
		return
	}
	f.runFailover()
}

func (f *Server) requestPromotion(ctx context.Context, address string, p failover.Promotion) failover.PromotionOutcome {
	body, _ := json.Marshal(map[string]string{"Service": p.Service, "Id": p.Host})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/promotion", address), bytes.NewReader(body))
	if err != nil {
		return failover.PromotionNotExecuted
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Duty-Holder", p.Owner)
	r.Header.Set("X-Fence-Token", strconv.FormatUint(p.FencingToken, 10))
	dialed := false
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
		c, err := rpc.Dial(ctx, f.settings.Ip, to, 600*time.Millisecond)
		dialed = err == nil
		return c, err
	}}}
	answer, err := client.Do(r)
	if err != nil {
		f.log.Info("the platform gave no clear answer", "error", err)
		moment := retry.Sent
		if !dialed {
			moment = retry.NotSent
		}
		if retry.Decide(retry.Promotion, moment) == retry.RetryNow {
			return failover.PromotionNotExecuted
		}
		return failover.PromotionUnknown
	}
	answer.Body.Close()
	f.log.Info("the platform answers", "status", answer.StatusCode, "host", p.Host)
	switch {
	case answer.StatusCode < 300:
		return failover.PromotionSucceeded
	case answer.StatusCode == http.StatusConflict:
		return failover.PromotionRejected
	case answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable:
		return failover.PromotionNotExecuted
	}
	return failover.PromotionUnknown
}
