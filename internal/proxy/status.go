package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/policy"
)

// Endpoint is one that is answered beside the platform's question, declared beside its handler. Handlers run in the owner's
// goroutine.
type Endpoint struct {
	Method, Path string
	Handle       func(h *Server) any
}

var calls = []Endpoint{status}

// Status is what a router shows of itself.
type Status struct {
	Node            string
	Ready           bool
	Version         int64
	Index           uint64
	LeaseMs         int64 // how much longer what the log says may be acted on
	Sessions, Calls int
	Control         []string // addresses of the control plane's members, as last heard
	Proxies         []string // that are there, as far as known
	Services        map[string]ServiceStatus
	Hosts           map[string]HostStatus
	Counters        map[string]int64
}

// ServiceStatus is a service as this router knows it.
type ServiceStatus struct {
	Primary string
	Revoked bool
	Floor   string // the primary's last known position, and how old that is
	FloorMs int64
}

// HostStatus is a host and this router's connections to it.
type HostStatus struct {
	Service, Address, Zone, Standing    string
	Conns, Idle, Opening, Most, Waiting int
}

var standings = map[policy.Standing]string{policy.In: "in", policy.Draining: "draining", policy.Gone: "gone"}

var status = Endpoint{Method: http.MethodGet, Path: "/Router.Status", Handle: func(h *Server) any {
	now := h.moment()
	s := Status{Node: h.plate.Node, Ready: h.ready.Load(), Version: h.state.Generation, Index: h.state.Index,
		LeaseMs: max(0, h.screw.ExpiresAt()-h.clock.Now()), Sessions: len(h.sessions), Calls: len(h.calls),
		Services: map[string]ServiceStatus{}, Hosts: map[string]HostStatus{}, Counters: h.counts()}
	if h.feeler != nil {
		s.Proxies = h.feeler.AliveNames()
		s.Control, _ = h.feeler.ControlMembers()
	}
	for name, v := range h.services {
		at, pos := v.gauge.Latest()
		one := ServiceStatus{Primary: v.lead.Host, Revoked: v.lead.Revoked, Floor: pos.String(), FloorMs: -1}
		if at >= 0 {
			one.FloorMs = (now - at) / 10
		}
		s.Services[name] = one
	}
	for id, n := range h.hosts {
		s.Hosts[id] = HostStatus{n.Service, n.Address, n.Zone, standings[n.standing], len(n.all), len(n.idle), n.opening, h.share(n).MaxConns(),
			len(n.waiting)}
	}
	return s
}}

// counts are by name: what was taken, refused, tried again, held, not believed for its age, and how answers ended.
func (h *Server) counts() map[string]int64 {
	c := &h.Counters
	all := map[string]int64{
		"sessions_accepted": c.Accepted.Load(), "sessions_torn": c.Torn.Load(), "no_database": c.NoDB.Load(),
		"statements": c.Taken.Load(), "dispatches": c.Dispatched.Load(), "statements_held": c.Held.Load(), "refused": c.Refused.Load(),
		"throttled": c.Throttled.Load(), "failed": c.Failed.Load(), "clients_gone": c.Gone.Load(),
		"connections_opened": c.Opened.Load(), "connections_failed": c.Broken.Load(), "connections_refused": c.ConnsRefused.Load(),
		"setups": c.Setups.Load(), "setup_faults": c.SetupFaults.Load(), "stray_answers": c.Stray.Load(),
		"beliefs_lapsed": c.Lapsed.Load(), "floors_unknown": c.Floorless.Load(), "leads_taken_back": c.TakenBack.Load(),
		"answers_overdue": c.Overdue.Load(), "primaries_suspected": c.Suspects.Load(), "renewals": c.Renewals.Load(),
		"leases": c.Leases.Load(), "links": c.Links.Load(), "news_gaps": c.Gaps.Load(), "state_diverged": c.Diverged.Load(), "versions": c.Versions.Load(),
		"link_bytes_sent": rpc.BytesSent.Load(), "link_bytes_received": rpc.BytesReceived.Load(),
	}
	if h.feeler != nil {
		all["probes"], all["probe_answers_stray"] = h.feeler.Probes, h.feeler.DiscardedAcks
	}
	for o := range c.Outcomes {
		all["ended_"+policy.Outcome(o).String()] = c.Outcomes[o].Load()
	}
	for k := range c.Told {
		if n := c.Told[k].Load(); n > 0 {
			all["told_"+errcode.Kind(k).String()] = n
		}
	}
	return all
}

// answerCall answers an operator's call; ok false: there is none like it.
func (h *Server) answerCall(w http.ResponseWriter, r *http.Request) (ok bool) {
	for _, c := range calls {
		if c.Method != r.Method || c.Path != r.URL.Path {
			continue
		}
		shown := make(chan any, 1)
		h.queue.Put(eventloop.PriorityOutcomes, func() { shown <- c.Handle(h) })
		select {
		case s := <-shown:
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(s)
		case <-time.After(2 * time.Second):
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return true
	}
	return false
}
