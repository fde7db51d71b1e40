package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/errcode"
)

// The hosts' calls.

// HeartbeatRequest is what a host tells of itself.
type HeartbeatRequest struct {
	Service, Address, Zone, Generation string
	Capacity                           float64
	State                              string
	ColdLeftMs                         float64
	DbRole                             string
	CallSeq                            int64
}

const maxHosts = 4096

func (b *HeartbeatRequest) check(id string) error {
	host, _, err := net.SplitHostPort(b.Address)
	switch {
	case id == "" || len(id) > 128 || strings.ContainsAny(id, " \r\n/"):
		return fmt.Errorf("the id %.140q", id)
	case b.Service == "" || len(b.Service) > 128 || strings.ContainsAny(b.Service, " \r\n"):
		return fmt.Errorf("Service: %.140q", b.Service)
	case err != nil || net.ParseIP(host) == nil:
		return fmt.Errorf("Address: %.140q is no address and port", b.Address)
	case b.State != "serving" && b.State != "draining":
		return fmt.Errorf("State: %.40q", b.State)
	case len(b.Zone) > 128 || len(b.Generation) > 128:
		return errors.New("Zone, Generation: too long")
	}
	return nil
}

var hostHeartbeat = Endpoint{Method: http.MethodPost, Path: "/Instances.Heartbeat/", MaxBodyBytes: 64 << 10, Timeout: 950 * time.Millisecond,
	Handle: func(f *Server, id string, c apiCall, answer func(int, []byte)) {
		var b HeartbeatRequest
		if err := json.Unmarshal(c.body, &b); err != nil {
			reject(answer, errcode.InvalidBody, err)
			return
		}
		if err := b.check(id); err != nil {
			reject(answer, errcode.InvalidBody, err)
			return
		}
		f.Heartbeats.Add(1)
		taken := func(err error) {
			if err != nil && !errors.Is(err, statemachine.ErrNotFound) { // one that has left may say so once more
				reject(answer, errorKind(err), err)
				return
			}
			body, _ := json.Marshal(map[string]string{"BeatTarget": f.apiAddress(f.settings.Ip)})
			answer(http.StatusOK, body)
		}
		was, known := f.state.Hosts[id]
		if seq, ok := f.lastCallSeq[id]; ok && b.CallSeq < seq && known {
			taken(nil) // it came late
			return
		}
		if known && (was.Address != b.Address || was.Service != b.Service) { // hosts don't move, and ids are not used again
			reject(answer, errcode.InvalidBody, fmt.Errorf("%s is known at %s, of %s", id, was.Address, was.Service))
			return
		}
		f.lastCallSeq[id] = b.CallSeq
		f.coordinator.Heartbeat(id, b.DbRole == "leader", f.clock.Now())
		f.runFailover()
		h := statemachine.Host{ID: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Generation: b.Generation,
			Capacity: int64(b.Capacity), Draining: b.State == "draining", AddedAt: was.AddedAt}
		if known && was.Draining {
			h.Draining = true
		}
		switch {
		case known && h == was:
			taken(nil)
		case !known && len(f.state.Hosts) >= maxHosts:
			reject(answer, errcode.TooManyPending, nil)
		default:
			f.log.Info("a host", "id", id, "service", h.Service, "address", h.Address, "zone", h.Zone, "draining", h.Draining)
			f.propose(statemachine.Change{AddHost: &h}, taken)
		}
	}}

var hostLeave = Endpoint{Method: http.MethodPost, Path: "/Instances.Leave/", MaxBodyBytes: 64 << 10, Timeout: 950 * time.Millisecond,
	Handle: func(f *Server, id string, _ apiCall, answer func(int, []byte)) {
		if _, known := f.state.Hosts[id]; !known {
			answer(http.StatusOK, []byte("{}\n"))
			return
		}
		f.log.Info("a host leaves", "id", id)
		f.propose(statemachine.Change{RemoveHost: id}, func(err error) { f.answer(err, answer) })
	}}
