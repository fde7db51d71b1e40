package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
)

// call is one of an operator or a host, here or passed on by another member.
type call struct {
	method, path, base string
	body               []byte
}

// Call is declared beside its handler. Handlers run in the owner's goroutine and answer once.
type Call struct {
	Method, Path string // a path that ends in / is followed by an id
	Most         int64  // bytes of the body
	Within       time.Duration
	Handle       func(f *Forge, id string, c call, answer func(status int, body []byte))
}

var calls = []Call{replace, amend, read, heartbeat, leave, status}

func find(method, path string) (Call, string, bool) {
	for _, c := range calls {
		if c.Method != method {
			continue
		}
		if id, ok := strings.CutPrefix(path, c.Path); ok && (id == "") == !strings.HasSuffix(c.Path, "/") {
			return c, id, true
		}
	}
	return Call{}, "", false
}

// serve takes calls over HTTP.
func (f *Forge) serve(l net.Listener) error {
	s := &http.Server{Handler: http.HandlerFunc(f.http), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(f.ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (f *Forge) http(w http.ResponseWriter, r *http.Request) {
	f.Calls.Add(1)
	c, _, ok := find(r.Method, r.URL.Path)
	if !ok {
		tell(w, errcode.NoCall, "")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, c.Most+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // this process may have stood still meanwhile: that is no judgement on the call
		tell(w, errcode.NoLeader, "it did not come in time")
		return
	case err != nil:
		tell(w, errcode.BadBody, "it did not come whole")
		return
	}
	if int64(len(body)) > c.Most {
		tell(w, errcode.LongBody, "over "+strconv.FormatInt(c.Most, 10)+" bytes")
		return
	}
	type answer struct {
		status int
		body   []byte
	}
	done := make(chan answer, 1)
	in := call{r.Method, r.URL.Path, r.Header.Get("X-Base-Version"), body}
	if !f.queue.Put(eventloop.Commands, func() {
		f.handle(in, true, func(status int, body []byte) {
			select {
			case done <- answer{status, body}:
			default:
			}
		})
	}) {
		tell(w, errcode.NoLeader, "this member ends")
		return
	}
	timer := time.NewTimer(c.Within)
	defer timer.Stop()
	select {
	case a := <-done:
		if a.status >= 400 {
			f.Refusals.Add(1)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		w.Write(a.body)
	case <-timer.C:
		tell(w, errcode.NoLeader, "no clear answer in time")
	case <-f.ctx.Done():
	}
}

// Take answers a call of a host or an operator, here or by the member that leads.
func (f *Forge) Take(method, path, base string, body []byte, answer func(status int, body []byte)) {
	f.handle(call{method, path, base, body}, true, answer)
}

// handle answers a call if this member leads, and else passes it on to the one that does, once.
func (f *Forge) handle(in call, pass bool, answer func(int, []byte)) {
	c, id, ok := find(in.method, in.path)
	leader := f.core.Heard(f.clock.Now())
	switch {
	case !ok:
		refuse(answer, errcode.NoCall, nil)
	case int64(len(in.body)) > c.Most:
		refuse(answer, errcode.LongBody, nil)
	case f.leads && f.core.Holds(f.clock.Now()) || c.Path == status.Path:
		c.Handle(f, id, in, answer)
	case pass && leader != "" && leader != f.id:
		f.passOn(leader, in, c.Within.Milliseconds(), answer)
	default:
		refuse(answer, errcode.NoLeader, nil)
	}
}

// refuse answers by a kind, with more on it.
func refuse(answer func(int, []byte), kind errcode.Kind, more error) {
	text := kind.Text()
	if more != nil {
		text = more.Error()
	}
	b, _ := json.Marshal(map[string]string{"kind": kind.String(), "error": text})
	answer(kind.Status(), append(b, '\n'))
}

func tell(w http.ResponseWriter, kind errcode.Kind, more string) {
	var why error
	if more != "" {
		why = errors.New(kind.Text() + ": " + more)
	}
	refuse(func(status int, b []byte) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(b)
	}, kind, why)
}

// control is where a member takes calls: all have alike ports.
func (f *Forge) control(ip string) string {
	_, port, _ := net.SplitHostPort(f.plate.Listen.Control)
	return net.JoinHostPort(ip, port)
}

// kindOf is why a change was not made.
func kindOf(err error) errcode.Kind {
	switch {
	case errors.Is(err, statemachine.ErrOther):
		return errcode.OtherBase
	case errors.Is(err, statemachine.ErrInvalid):
		return errcode.BadBody
	case errors.Is(err, statemachine.ErrUnknown):
		return errcode.NotKnown
	}
	return errcode.NoLeader
}

// Status is what a member shows of itself, whether it leads or not.
type Status struct {
	Standing consensus.Standing
	Version  int64
	Hosts    int
	Routers  int // that hold leases, where it leads
	Leads    map[string]statemachine.Lead
	Moves    map[string]failover.Move // where it leads
	Owed     []statemachine.Host      // that left, and whose logs are not known to be elsewhere
	Missing  []string                 // hosts that fail-over need not ask
	Counts   map[string]int64
}

var status = Call{Method: http.MethodGet, Path: "/Member.Status", Most: 0, Within: time.Second,
	Handle: func(f *Forge, _ string, _ call, answer func(int, []byte)) {
		now := f.clock.Now()
		s := Status{Standing: f.core.Standing(now), Version: f.state.Gen, Hosts: len(f.state.Hosts), Leads: f.state.Leads, Counts: f.counts()}
		if f.leads {
			s.Routers, s.Moves = f.jaw.Live(now), f.hoist.Moves(f.state, now)
		}
		for _, id := range slices.Sorted(maps.Keys(f.state.Owed)) {
			s.Owed = append(s.Owed, f.state.Owed[id])
		}
		for _, id := range slices.Sorted(maps.Keys(f.state.Hosts)) {
			if f.state.Hosts[id].Missing {
				s.Missing = append(s.Missing, id)
			}
		}
		b, _ := json.Marshal(s)
		answer(http.StatusOK, append(b, '\n'))
	}}
