package control

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/errcode"
)

// The operator's calls.

var configReplace = Endpoint{Method: http.MethodPost, Path: "/Config.Replace", MaxBodyBytes: 4 << 20, Timeout: 4 * time.Second,
	Handle: func(f *Server, _ string, c apiCall, answer func(int, []byte)) { f.updateConfig(c, false, answer) }}

var configAmend = Endpoint{Method: http.MethodPost, Path: "/Config.Amend", MaxBodyBytes: 4 << 20, Timeout: 4 * time.Second,
	Handle: func(f *Server, _ string, c apiCall, answer func(int, []byte)) { f.updateConfig(c, true, answer) }}

// maxPendingUpdateBytes bounds the bodies of orders that wait for the log: eight of the longest.
const maxPendingUpdateBytes = 8 * 4 << 20

// pendingUpdates are those under way here, with all who wait for each.
type pendingUpdates struct {
	waiting map[statemachine.RequestID][]func(error)
	bytes   int
}

// version reads the version that an order builds on; where none is named, it builds on nothing.
func (c *apiCall) version() (int64, error) {
	if c.base == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(c.base, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("X-Base-Version: %.40q is no version", c.base)
	}
	return int64(v), nil
}

// updateConfig takes a configuration: what is wrong with it is told before it comes into the log, and once more by the
// log's order, since another may come before it. An order that is under way is not put in the log again.
func (f *Server) updateConfig(c apiCall, amend bool, answer func(int, []byte)) {
	base, err := c.version()
	if err != nil {
		reject(answer, errcode.InvalidBody, err)
		return
	}
	change := &statemachine.ConfigUpdate{BaseVersion: base, IsAmendment: amend, Body: c.body}
	id, told := change.RequestID(), func(err error) { f.answer(err, answer) }
	if others, underWay := f.pendingUpdates.waiting[id]; underWay {
		f.pendingUpdates.waiting[id] = append(others, told)
		return
	}
	plan, err := f.state.CheckConfig(change)
	switch {
	case err != nil || plan == nil:
		told(err)
		return
	case f.pendingUpdates.bytes+len(c.body) > maxPendingUpdateBytes:
		reject(answer, errcode.TooManyPending, fmt.Errorf("orders of %d bytes are under way", f.pendingUpdates.bytes))
		return
	}
	if f.pendingUpdates.waiting == nil {
		f.pendingUpdates.waiting = map[statemachine.RequestID][]func(error){}
	}
	f.pendingUpdates.waiting[id] = []func(error){told}
	f.pendingUpdates.bytes += len(c.body)
	f.propose(statemachine.Change{UpdateConfig: f.state.Delta(change, plan)}, func(err error) {
		if err == nil {
			f.log.Info("a configuration is taken", "version", plan.Generation, "routes", len(plan.Routes))
		}
		all := f.pendingUpdates.waiting[id]
		delete(f.pendingUpdates.waiting, id)
		f.pendingUpdates.bytes -= len(c.body)
		for _, told := range all {
			told(err)
		}
	})
}

func (f *Server) answer(err error, answer func(int, []byte)) {
	if err != nil {
		reject(answer, errorKind(err), err)
		return
	}
	answer(http.StatusOK, []byte("{}\n"))
}

var configRead = Endpoint{Method: http.MethodGet, Path: "/Config.Read", MaxBodyBytes: 0, Timeout: time.Second,
	Handle: func(f *Server, _ string, _ apiCall, answer func(int, []byte)) {
		if len(f.state.ConfigBody) == 0 {
			reject(answer, errcode.NotFound, fmt.Errorf("no configuration yet"))
			return
		}
		answer(http.StatusOK, f.state.ConfigBody)
	}}
