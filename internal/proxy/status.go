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

var endpoints = []Endpoint{statusEndpoint}

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

var statusEndpoint = Endpoint{Method: http.MethodGet, Path: "/Router.Status", Handle: func(h *Server) any {
	now := h.refreshPolicyTime()
	s := Status{
		Node: h.settings.Node, Ready: h.ready.Load(), Version: h.state.Generation, Index: h.state.Index,
		LeaseMs: max(0, h.lease.ExpiresAt()-h.clock.Now()), Sessions: len(h.sessions), Calls: len(h.statements),
		Services: map[string]ServiceStatus{}, Hosts: map[string]HostStatus{}, Counters: h.counterValues(),
	}
	if h.membership != nil {
		s.Proxies = h.membership.AliveNames()
		s.Control, _ = h.membership.ControlMembers()
	}
	for name, v := range h.services {
		at, pos := v.positions.Latest()
		one := ServiceStatus{Primary: v.primary.Host, Revoked: v.primary.Revoked, Floor: pos.String(), FloorMs: -1}
		if at >= 0 {
			one.FloorMs = (now - at) / 10
		}
		s.Services[name] = one
	}
	for id, n := range h.pools {
		s.Hosts[id] = HostStatus{
			n.Service, n.Address, n.Zone, standings[n.standing], len(n.conns), len(n.idle), n.opening, h.connShare(n).MaxConns(),
			len(n.queued),
		}
	}
	return s
}}

// counterValues are by name: what was taken, refused, tried again, held, not believed for its age, and how answers ended.
func (h *Server) counterValues() map[string]int64 {
	c := &h.Counters
	all := map[string]int64{
		"sessions_accepted": c.SessionsAccepted.Load(), "sessions_torn": c.MalformedInputs.Load(), "no_database": c.UnknownDatabase.Load(),
		"statements": c.Statements.Load(), "dispatches": c.Dispatches.Load(), "statements_held": c.StatementsQueued.Load(), "refused": c.Rejected.Load(),
		"throttled": c.Throttled.Load(), "failed": c.Failed.Load(), "clients_gone": c.ClientDisconnects.Load(),
		"connections_opened": c.ConnsDialed.Load(), "connections_failed": c.ConnsFailed.Load(), "connections_refused": c.ConnsRefused.Load(),
		"setups": c.SetupStatements.Load(), "setup_faults": c.SetupErrors.Load(), "stray_answers": c.UnexpectedResponses.Load(),
		"beliefs_lapsed": c.LeaseExpiredBeforeSend.Load(), "floors_unknown": c.FloorUnknown.Load(), "leads_taken_back": c.AcksAfterRevocation.Load(),
		"answers_overdue": c.ResponsesLost.Load(), "primaries_suspected": c.SuspectReports.Load(), "renewals": c.LeaseRequests.Load(),
		"leases": c.LeasesGranted.Load(), "links": c.ControlLinks.Load(), "news_gaps": c.LogGaps.Load(), "state_diverged": c.StateDiverged.Load(), "versions": c.ConfigUpdates.Load(),
		"link_bytes_sent": rpc.BytesSent.Load(), "link_bytes_received": rpc.BytesReceived.Load(),
	}
	if h.membership != nil {
		all["probes"], all["probe_answers_stray"] = h.membership.Probes, h.membership.DiscardedAcks
	}
	for o := range c.Outcomes {
		all["ended_"+policy.Outcome(o).String()] = c.Outcomes[o].Load()
	}
	for k := range c.ErrorsSent {
		if n := c.ErrorsSent[k].Load(); n > 0 {
			all["told_"+errcode.Kind(k).String()] = n
		}
	}
	return all
}

// serveEndpoint answers an operator's call; ok false: there is none like it.
func (h *Server) serveEndpoint(w http.ResponseWriter, r *http.Request) (ok bool) {
	for _, c := range endpoints {
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
