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

// controlLink follows the control plane: it finds the member that leads, follows its log, and renews the lease.
type controlLink struct {
	server      *Server
	outgoing    chan *rpc.Frame
	members     []string // addresses, as last told
	nextAddress string   // where to go next; empty: in turn
	turn        int
}

const (
	leaseRenewInterval    = 300 * time.Millisecond
	controlSilenceTimeout = 700 * time.Millisecond // a member that says nothing for so long is left
	welcomeTimeout        = 400 * time.Millisecond // one that stands still takes a connection, and says nothing at all
)

// send sends a frame to the member that leads, if there is one.
func (l *controlLink) send(f *rpc.Frame) {
	select {
	case l.outgoing <- f:
	default:
	}
}

// run goes from member to member until the end.
func (l *controlLink) run() {
	for l.server.ctx.Err() == nil {
		to := l.choose()
		if to == "" || !l.follow(to) {
			select {
			case <-l.server.ctx.Done():
			case <-time.After(30 * time.Millisecond):
			}
		}
	}
}

func (l *controlLink) choose() string {
	if to := l.nextAddress; to != "" {
		l.nextAddress = ""
		return to
	}
	all := slices.Clone(l.members)
	for _, ip := range l.server.controlAddresses() {
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

// controlAddresses are addresses of the control plane's members that other routers or the settings name.
func (h *Server) controlAddresses() []string {
	got := make(chan []string, 1)
	if !h.queue.Put(eventloop.PriorityLists, func() {
		all := h.settings.SeedHosts()
		if h.membership != nil { // the settings may be old; others may know better
			members, _ := h.membership.ControlMembers()
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
func (l *controlLink) follow(ip string) bool {
	h := l.server
	ctx, end := context.WithCancel(h.ctx)
	defer end()
	socket, err := rpc.DialHedged(ctx, h.settings.Ip, h.settings.PeerAddress(ip), 200*time.Millisecond)
	if err != nil {
		return false
	}
	c := rpc.NewConn(socket)
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	from := make(chan uint64, 1)
	if !h.queue.Put(eventloop.PriorityLists, func() { from <- h.resumeIndex() }) {
		return false
	}
	var index uint64
	select {
	case index = <-from:
	case <-h.queue.Ended:
		return false
	}
	if c.Send(&rpc.Frame{ProxyHello: &rpc.ProxyHello{Node: h.settings.Node, Incarnation: h.incarnation, Zone: h.settings.Zone, AppliedIndex: index}}, time.Second) != nil {
		return false
	}
	f, err := c.Receive(welcomeTimeout)
	if err != nil || f.ProxyWelcome == nil {
		return false
	}
	if len(f.ProxyWelcome.Members) > 0 {
		l.members = f.ProxyWelcome.Members
	}
	if !f.ProxyWelcome.IsLeader {
		if f.ProxyWelcome.Leader != ip {
			l.nextAddress = f.ProxyWelcome.Leader
		}
		return false
	}
	h.ControlLinks.Add(1)
	h.queue.Put(eventloop.PriorityLists, func() { h.tickGossip(f.ProxyWelcome.Proxies) })
	asked := &leaseRequestTimes{sentAt: map[uint64]int64{}}
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		l.renew(ctx, c, asked)
	}()
	for {
		f, err := c.Receive(controlSilenceTimeout)
		if err != nil {
			break
		}
		switch {
		case f.LogUpdate != nil:
			l.members = f.LogUpdate.Members
			h.queue.Put(eventloop.PriorityLists, func() {
				if !h.applyLogUpdate(f.LogUpdate) {
					c.Close() // the link is made anew, from where this router has come to
					return
				}
				if h.membership != nil {
					h.membership.SetControlMembers(f.LogUpdate.Members, f.LogUpdate.LastIndex)
				}
				h.reportRevocationApplied()
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
			h.queue.Put(eventloop.PriorityLists, func() { h.leaseGranted(f.LeaseResponse, at) })
		}
	}
	end()
	<-renewed
	l.nextAddress = ""
	return true
}

// renew asks for leases, and sends what there is to say, until ctx ends. A lease counts from before it was asked for.
func (l *controlLink) renew(ctx context.Context, c *rpc.Conn, asked *leaseRequestTimes) {
	h := l.server
	t := time.NewTicker(leaseRenewInterval)
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
		asked.record(serial, h.clock.Now())
		h.LeaseRequests.Add(1)
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
			case f := <-l.outgoing:
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

// reportRevocationApplied has what was applied told at once, where a lead was taken back: another waits for it.
func (h *Server) reportRevocationApplied() {
	if h.revocationUnreported {
		h.revocationUnreported = false
		h.sendToLeader(nil)
	}
}

// leaseGranted takes in a lease; askedAt is when it was asked for.
func (h *Server) leaseGranted(l *rpc.LeaseResponse, askedAt int64) {
	if askedAt == 0 || l.CommitIndex > h.state.Index { // the log of that moment is not here yet
		return
	}
	h.LeasesGranted.Add(1)
	h.lease.Renewed(askedAt)
	if l.ProxyCount > 0 {
		h.proxyCount = l.ProxyCount
	}
	h.sweep(h.clock.Time())
}

// applyLogUpdate takes in changes, in their order; false: some before them are missing.
func (h *Server) applyLogUpdate(n *rpc.LogUpdate) bool {
	switch {
	case n.Snapshot != nil:
		s, err := statemachine.Restore(n.Snapshot)
		if err != nil {
			h.log.Error("a snapshot can't be read", "error", err)
			h.StateDiverged.Add(1)
			return false
		}
		if s.Index = max(s.Index, n.LastIndex); s.Index < h.state.Index {
			return true // never back
		}
		h.state, h.diverged = s, false
	default:
		first := n.LastIndex - uint64(len(n.Entries)) + 1
		if first > h.state.Index+1 {
			h.LogGaps.Add(1)
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
					h.StateDiverged.Add(1)
					h.diverged = true
					return false
				}
			}
			h.state.Index = index
		}
	}
	h.reconcile()
	return true
}

// resumeIndex is up to where the log is applied here; 0: a snapshot is wanted.
func (h *Server) resumeIndex() uint64 {
	if h.diverged {
		return 0
	}
	return h.state.Index
}

// reconcile works out the difference between what the state wants and what is.
func (h *Server) reconcile() {
	h.refreshPolicyTime()
	h.reconcileServices()
	h.reconcileHosts()
	h.reconcilePrimaries()
	h.reconcileRoutes()
}

func (h *Server) serviceNamed(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{name: name, policySet: int64(len(h.services) + 1), maxConns: 32}
		h.services[name] = s
	}
	return s
}

func (h *Server) reconcileServices() {
	if p := h.state.Config(); p != nil {
		for _, s := range p.Services {
			if s.MaxConns > 0 {
				h.serviceNamed(s.Name).maxConns = int(s.MaxConns)
			}
		}
	}
}

func (h *Server) reconcileHosts() {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(h.state.Hosts)) {
		want, n := h.state.Hosts[id], h.pools[id]
		if n != nil && (n.Address != want.Address || n.Service != want.Service) {
			n.node.Listed(policy.Gone, false, n.Zone, "", 1, 0)
			n.retire()
			n = nil
		}
		if n == nil {
			s := h.serviceNamed(want.Service)
			n = &hostPool{Host: want, server: h, service: s, conns: map[*hostConn]struct{}{}}
			n.node = h.balancer.Host(id, s.policySet)
			h.pools[id], h.poolByNode[n.node] = n, n
		}
		n.Host = want
		standing := policy.In
		if want.Draining && n.drainingSince.IsZero() {
			n.drainingSince = h.clock.Time()
		}
		if want.Draining && (h.state.Primaries[want.Service].Host != id || n.drainExpired(h.clock.Time())) { // one that leads goes on until another does
			standing = policy.Draining
		}
		if n.standing != standing || !n.listed {
			n.standing, n.listed, changed = standing, true, true
			n.node.Listed(standing, false, want.Zone, "", float64(max(1, want.Capacity)), 0)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.pools)) {
		n := h.pools[id]
		if _, ok := h.state.Hosts[id]; !ok && n.standing != policy.Gone {
			n.standing, changed = policy.Gone, true
			n.node.Listed(policy.Gone, false, n.Zone, "", 1, 0)
			n.retire()
		}
	}
	if changed {
		h.balancer.ListDone(false)
	}
}

func (h *Server) reconcilePrimaries() {
	for _, name := range slices.Sorted(maps.Keys(h.state.Primaries)) {
		want, s := h.state.Primaries[name], h.serviceNamed(name)
		was := s.primary
		if was == want {
			continue
		}
		s.primary = want
		if same := was.Host == want.Host && was.ChangedAt == want.ChangedAt && was.Revoked == want.Revoked; same && (!want.Revoked || was.Nominee == want.Nominee) {
			continue
		}
		if old := h.pools[was.Host]; old != nil && (want.Revoked || want.Host != was.Host) {
			old.node.Leads(false)
			h.abortPrimaryWork(s, old)
		}
		if want.Revoked {
			h.revocationUnreported = h.revocationUnreported || !was.Revoked
			h.balancer.Due(s.policySet, position.NextPrimaryDue(h.policyNow, h.state.LastPromotionMs, want.Nominee != ""))
			continue
		}
		s.positions.Clear()
		if n := h.pools[want.Host]; n != nil {
			n.node.Leads(true)
			h.log.Info("a service is led", "service", name, "host", want.Host, "term", want.Term)
		}
	}
}

// abortPrimaryWork ends what is out at a host as to the primary: what it answers from now on is not among what is looked at
// when another takes its place.
func (h *Server) abortPrimaryWork(s *service, n *hostPool) {
	for _, k := range n.connsByAge() {
		c, owner := k.statement, k.session
		switch {
		case owner != nil && owner.primaryEpoch != 0:
			k.statement, k.session = nil, nil
			owner.pinnedConn = nil
			h.closeConn(k)
			if c != nil {
				h.endDispatch(c, policy.Reset)
			} else {
				owner.pinnedConnLost(nil)
			}
		case c != nil && c.sent && c.primaryEpoch != 0 && c.step.Writes:
			k.statement = nil
			h.closeConn(k)
			h.endDispatch(c, policy.Reset)
		}
	}
}

func (h *Server) reconcileRoutes() {
	p := h.state.Config()
	if p == nil || p == h.config {
		return
	}
	h.config = p
	h.ConfigUpdates.Add(1)
	h.log.Info("a configuration is in force here", "version", p.Generation, "routes", len(p.Routes))
	last := make(map[string]int, len(p.Routes)) // of those at one host the last counts
	for i, r := range p.Routes {
		last[r.Host] = i
	}
	for i, r := range p.Routes {
		if was := h.routes[r.Host]; last[r.Host] == i && (was == nil || was.Route != r) {
			h.routes[r.Host] = h.newRoute(r)
		}
	}
	maps.DeleteFunc(h.routes, func(host string, _ *route) bool { _, stays := last[host]; return !stays })
	for _, s := range h.sessionsByAge() { // one whose database is no more ends as soon as it rests
		if s.statement == nil && s.IdleState() == 'I' && h.routes[s.database] == nil {
			h.endSession(s)
		}
	}
}

// newRoute readies a route: the module's groups of its reads and writes.
func (h *Server) newRoute(r config.Route) *route {
	tenths := func(ms float64) policy.Tenth { return policy.Tenth(ms * 10) }
	k := &route{
		Route: r, service: h.serviceNamed(r.Service), deadline: time.Duration(r.DeadlineMs * float64(time.Millisecond)),
		readsOwnWrites: r.Kind == config.KindOwned,
	}
	if r.Kind != config.KindLeader {
		k.stalenessBound = tenths(r.StalenessMs)
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
		return h.balancer.Group(&policy.CmdGroup{
			Effect: effect, Need: need, Bound: k.stalenessBound, Target: target, Timeout: tenths(r.DeadlineMs),
			Benefit: 1 / (1 + max(0, r.Priority)), LateShare: 0.5,
		})
	}
	k.freshGroup, k.writeGroup = group(policy.Fresh, retry.Read), group(policy.Write, retry.Write)
	switch {
	case k.stalenessBound == 0:
		k.readGroup = k.freshGroup
	case k.readsOwnWrites:
		k.readGroup = group(policy.Session, retry.Read)
	default:
		k.readGroup = group(policy.Bounded, retry.Read)
	}
	return k
}
