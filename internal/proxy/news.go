package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/config"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/proxy/position"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/rpc"
	"ferrypitch/policy"
)

// link follows the control plane: it finds the member that leads, follows its log, and renews the lease.
type link struct {
	h       *Server
	out     chan *rpc.Frame
	members []string // addresses, as last told
	next    string   // where to go next; empty: in turn
	turn    int
}

const (
	renewEvery = 300 * time.Millisecond
	deaf       = 700 * time.Millisecond // a member that says nothing for so long is left
	greeting   = 400 * time.Millisecond // one that stands still takes a connection, and says nothing at all
)

// say sends a frame to the member that leads, if there is one.
func (l *link) say(f *rpc.Frame) {
	select {
	case l.out <- f:
	default:
	}
}

// run goes from member to member until the end.
func (l *link) run() {
	for l.h.ctx.Err() == nil {
		to := l.choose()
		if to == "" || !l.follow(to) {
			select {
			case <-l.h.ctx.Done():
			case <-time.After(30 * time.Millisecond):
			}
		}
	}
}

func (l *link) choose() string {
	if to := l.next; to != "" {
		l.next = ""
		return to
	}
	all := slices.Clone(l.members)
	for _, ip := range l.h.seeds() {
		if !slices.Contains(all, ip) {
			all = append(all, ip)
		}
	}
	if len(all) == 0 {
		return ""
	}
	l.turn++
	return all[l.turn%len(all)]
}

// seeds are addresses of the control plane's members that other routers or the settings name.
func (h *Server) seeds() []string {
	got := make(chan []string, 1)
	if !h.queue.Put(eventloop.PriorityLists, func() {
		all := h.plate.SeedHosts()
		if h.feeler != nil { // the settings may be old; others may know better
			members, _ := h.feeler.ControlMembers()
			all = append(slices.Clone(members), all...)
		}
		got <- all
	}) {
		return nil
	}
	select {
	case all := <-got:
		return all
	case <-h.queue.Ended:
		return nil
	}
}

// follow lives on one member's word; it says whether that led.
func (l *link) follow(ip string) bool {
	h := l.h
	ctx, end := context.WithCancel(h.ctx)
	defer end()
	socket, err := rpc.DialHedged(ctx, h.plate.Ip, h.plate.PeerAddress(ip), 200*time.Millisecond)
	if err != nil {
		return false
	}
	c := rpc.NewConn(socket)
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	from := make(chan uint64, 1)
	if !h.queue.Put(eventloop.PriorityLists, func() { from <- h.from() }) {
		return false
	}
	var index uint64
	select {
	case index = <-from:
	case <-h.queue.Ended:
		return false
	}
	if c.Send(&rpc.Frame{ProxyHello: &rpc.ProxyHello{Node: h.plate.Node, Incarnation: h.life, Zone: h.plate.Zone, AppliedIndex: index}}, time.Second) != nil {
		return false
	}
	f, err := c.Receive(greeting)
	if err != nil || f.ProxyWelcome == nil {
		return false
	}
	if len(f.ProxyWelcome.Members) > 0 {
		l.members = f.ProxyWelcome.Members
	}
	if !f.ProxyWelcome.IsLeader {
		if f.ProxyWelcome.Leader != ip {
			l.next = f.ProxyWelcome.Leader
		}
		return false
	}
	h.Links.Add(1)
	h.queue.Put(eventloop.PriorityLists, func() { h.meet(f.ProxyWelcome.Proxies) })
	asked := &asks{at: map[uint64]int64{}}
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		l.renew(ctx, c, asked)
	}()
	for {
		f, err := c.Receive(deaf)
		if err != nil {
			break
		}
		switch {
		case f.LogUpdate != nil:
			l.members = f.LogUpdate.Members
			h.queue.Put(eventloop.PriorityLists, func() {
				if !h.news(f.LogUpdate) {
					c.Close() // the link is made anew, from where this router has come to
					return
				}
				if h.feeler != nil {
					h.feeler.SetControlMembers(f.LogUpdate.Members, f.LogUpdate.LastIndex)
				}
				h.nudge()
			})
		case f.LeaseResponse != nil:
			if len(f.LeaseResponse.Members) > 0 {
				l.members = f.LeaseResponse.Members
			}
			if !f.LeaseResponse.Granted {
				end()
				<-renewed
				return false
			}
			at := asked.take(f.LeaseResponse.Serial)
			h.queue.Put(eventloop.PriorityLists, func() { h.leased(f.LeaseResponse, at) })
		}
	}
	end()
	<-renewed
	l.next = ""
	return true
}

// renew asks for leases, and sends what there is to say, until ctx ends. A lease counts from before it was asked for.
func (l *link) renew(ctx context.Context, c *rpc.Conn, asked *asks) {
	h := l.h
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	serial := uint64(0)
	for {
		serial++
		filled := make(chan *rpc.LeaseRequest, 1)
		if !h.queue.Put(eventloop.PriorityLists, func() {
			filled <- &rpc.LeaseRequest{Serial: serial, AppliedIndex: h.state.Index, Sessions: len(h.sessions)}
		}) {
			return
		}
		var r *rpc.LeaseRequest
		select {
		case r = <-filled:
		case <-h.queue.Ended:
			return
		}
		asked.put(serial, h.clock.Now())
		h.Renewals.Add(1)
		if c.Send(&rpc.Frame{LeaseRequest: r}, time.Second) != nil {
			c.Close()
			return
		}
		for again := false; !again; {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				again = true
			case f := <-l.out:
				if f == nil { // what was applied is to be told at once
					again = true
				} else if c.Send(f, time.Second) != nil {
					c.Close()
					return
				}
			}
		}
	}
}

// nudge has what was applied told at once, where a lead was taken back: another waits for it.
func (h *Server) nudge() {
	if h.handedBack {
		h.handedBack = false
		h.say(nil)
	}
}

// leased takes in a lease; askedAt is when it was asked for.
func (h *Server) leased(l *rpc.LeaseResponse, askedAt int64) {
	if askedAt == 0 || l.CommitIndex > h.state.Index { // the log of that moment is not here yet
		return
	}
	h.Leases.Add(1)
	h.screw.Renewed(askedAt)
	if l.ProxyCount > 0 {
		h.routers = l.ProxyCount
	}
	h.rounds(h.clock.Time())
}

// news takes in changes, in their order; false: some before them are missing.
func (h *Server) news(n *rpc.LogUpdate) bool {
	switch {
	case n.Snapshot != nil:
		s, err := statemachine.Restore(n.Snapshot)
		if err != nil {
			h.log.Error("a snapshot can't be read", "error", err)
			h.Diverged.Add(1)
			return false
		}
		if s.Index = max(s.Index, n.LastIndex); s.Index < h.state.Index {
			return true // never back
		}
		h.state, h.astray = s, false
	default:
		first := n.LastIndex - uint64(len(n.Entries)) + 1
		if first > h.state.Index+1 {
			h.Gaps.Add(1)
			return false
		}
		for i, body := range n.Entries {
			index := first + uint64(i)
			if index <= h.state.Index {
				continue
			}
			if len(body) > 0 {
				if c, err := statemachine.DecodeChange(body); err == nil && errors.Is(h.state.Apply(index, c), statemachine.ErrDiverged) { // what else it refuses all refuse
					h.log.Error("the state here is not what a change builds on; a snapshot is asked for", "index", index)
					h.Diverged.Add(1)
					h.astray = true
					return false
				}
			}
			h.state.Index = index
		}
	}
	h.settleState()
	return true
}

// from is up to where the log is applied here; 0: a snapshot is wanted.
func (h *Server) from() uint64 {
	if h.astray {
		return 0
	}
	return h.state.Index
}

// settleState works out the difference between what the state wants and what is.
func (h *Server) settleState() {
	h.moment()
	h.settleServices()
	h.settleHosts()
	h.settleLeads()
	h.settleRoutes()
}

func (h *Server) service(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{name: name, set: int64(len(h.services) + 1), conns: 32}
		h.services[name] = s
	}
	return s
}

func (h *Server) settleServices() {
	if p := h.state.Config(); p != nil {
		for _, s := range p.Services {
			if s.MaxConns > 0 {
				h.service(s.Name).conns = int(s.MaxConns)
			}
		}
	}
}

func (h *Server) settleHosts() {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(h.state.Hosts)) {
		want, n := h.state.Hosts[id], h.hosts[id]
		if n != nil && (n.Address != want.Address || n.Service != want.Service) {
			n.node.Listed(policy.Gone, false, n.Zone, "", 1, 0)
			n.retire()
			n = nil
		}
		if n == nil {
			s := h.service(want.Service)
			n = &host{Host: want, h: h, service: s, all: map[*hostConn]struct{}{}}
			n.node = h.module.Host(id, s.set)
			h.hosts[id], h.nodes[n.node] = n, n
		}
		n.Host = want
		standing := policy.In
		if want.Draining && n.drainAt.IsZero() {
			n.drainAt = h.clock.Time()
		}
		if want.Draining && (h.state.Primaries[want.Service].Host != id || n.drained(h.clock.Time())) { // one that leads goes on until another does
			standing = policy.Draining
		}
		if n.standing != standing || !n.listed {
			n.standing, n.listed, changed = standing, true, true
			n.node.Listed(standing, false, want.Zone, "", float64(max(1, want.Capacity)), 0)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.hosts)) {
		n := h.hosts[id]
		if _, ok := h.state.Hosts[id]; !ok && n.standing != policy.Gone {
			n.standing, changed = policy.Gone, true
			n.node.Listed(policy.Gone, false, n.Zone, "", 1, 0)
			n.retire()
		}
	}
	if changed {
		h.module.ListDone(false)
	}
}

func (h *Server) settleLeads() {
	for _, name := range slices.Sorted(maps.Keys(h.state.Primaries)) {
		want, s := h.state.Primaries[name], h.service(name)
		was := s.lead
		if was == want {
			continue
		}
		s.lead = want
		if same := was.Host == want.Host && was.ChangedAt == want.ChangedAt && was.Revoked == want.Revoked; same && (!want.Revoked || was.Nominee == want.Nominee) {
			continue
		}
		if old := h.hosts[was.Host]; old != nil && (want.Revoked || want.Host != was.Host) {
			old.node.Leads(false)
			h.handBack(s, old)
		}
		if want.Revoked {
			h.handedBack = h.handedBack || !was.Revoked
			h.module.Due(s.set, position.NextPrimaryDue(h.now, h.state.LastPromotionMs, want.Nominee != ""))
			continue
		}
		s.gauge.Clear()
		if n := h.hosts[want.Host]; n != nil {
			n.node.Leads(true)
			h.log.Info("a service is led", "service", name, "host", want.Host, "term", want.Term)
		}
	}
}

// handBack ends what is out at a host as to the primary: what it answers from now on is not among what is looked at
// when another takes its place.
func (h *Server) handBack(s *service, n *host) {
	for _, k := range n.conns() {
		c, owner := k.call, k.session
		switch {
		case owner != nil && owner.lead != 0:
			k.call, k.session = nil, nil
			owner.pin = nil
			h.close(k)
			if c != nil {
				h.outcome(c, policy.Reset)
			} else {
				owner.dropped(nil)
			}
		case c != nil && c.sent && c.lead != 0 && c.step.Writes:
			k.call = nil
			h.close(k)
			h.outcome(c, policy.Reset)
		}
	}
}

func (h *Server) settleRoutes() {
	p := h.state.Config()
	if p == nil || p == h.plan {
		return
	}
	h.plan = p
	h.Versions.Add(1)
	h.log.Info("a configuration is in force here", "version", p.Generation, "routes", len(p.Routes))
	last := make(map[string]int, len(p.Routes)) // of those at one host the last counts
	for i, r := range p.Routes {
		last[r.Host] = i
	}
	for i, r := range p.Routes {
		if was := h.routes[r.Host]; last[r.Host] == i && (was == nil || was.Route != r) {
			h.routes[r.Host] = h.route(r)
		}
	}
	maps.DeleteFunc(h.routes, func(host string, _ *route) bool { _, stays := last[host]; return !stays })
	for _, s := range h.all() { // one whose database is no more ends as soon as it rests
		if s.call == nil && s.IdleState() == 'I' && h.routes[s.database] == nil {
			h.end(s)
		}
	}
}

// route readies a route: the module's groups of its reads and writes.
func (h *Server) route(r config.Route) *route {
	tenths := func(ms float64) policy.Tenth { return policy.Tenth(ms * 10) }
	k := &route{Route: r, service: h.service(r.Service), deadline: time.Duration(r.DeadlineMs * float64(time.Millisecond)),
		owned: r.Kind == config.KindOwned}
	if r.Kind != config.KindLeader {
		k.bound = tenths(r.StalenessMs)
	}
	group := func(need policy.Need, kind retry.Operation) *policy.CmdGroup {
		effect := policy.Mutating
		if retry.Idempotent(kind) {
			effect = policy.Replayable
		}
		target := tenths(r.TargetMs)
		if target <= 0 {
			target = tenths(r.DeadlineMs / 4)
		}
		return h.module.Group(&policy.CmdGroup{Effect: effect, Need: need, Bound: k.bound, Target: target, Timeout: tenths(r.DeadlineMs),
			Benefit: 1 / (1 + max(0, r.Priority)), LateShare: 0.5})
	}
	k.fresh, k.write = group(policy.Fresh, retry.Read), group(policy.Write, retry.Write)
	switch {
	case k.bound == 0:
		k.read = k.fresh
	case k.owned:
		k.read = group(policy.Session, retry.Read)
	default:
		k.read = group(policy.Bounded, retry.Read)
	}
	return k
}
