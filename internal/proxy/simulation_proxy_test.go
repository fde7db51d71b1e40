package proxy

import (
	"errors"
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// proxyProcess is a complete proxy without sockets, across the incarnations of its process.
type proxyProcess struct {
	sim         *simulation
	name        string
	incarnation int
	server      *Server
	up          bool
	partitioned bool // cut off from the control plane
	clockDrift  int64
	frozenUntil int64 // time until which the process is frozen
	nextStepAt  int64 // when its event loop runs next

	// Used with a reliableControl.
	sentIndex   uint64 // index up to which the log was sent to the proxy
	lastArrival int64  // arrival time of the last log update or lease; they arrive in order

	// Used with a controlCluster.
	memberConn *memberConn
	nextMember int // incremented to choose the next member round-robin
}

func (p *proxyProcess) start() {
	sim := p.sim
	p.incarnation++
	p.up, p.partitioned, p.frozenUntil, p.sentIndex, p.nextStepAt = true, false, 0, 0, 0
	p.server = newServer(&settings.Settings{Node: p.name, Zone: "z"}, hclog.NewNullLogger(),
		eventloop.NewMonotonicClock(sim.clock(p.clockDrift)), sim.Rand.Uint64(), tenancy.Secret{})
	incarnation := p.incarnation
	if sim.tenants != nil {
		p.server.settings.Bounds = tenantBounds()
	}
	p.server.dial = func(conn *hostConn) { p.dial(incarnation, conn) }
	if sim.cluster != nil {
		p.server.leader = memberLink{p}
		p.connectToNextMember(incarnation)
		return
	}
	p.server.leader = reliableControlLink{p, incarnation}
	if _, known := sim.control.state.Proxies[p.name]; !known {
		sim.control.apply(statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: p.name}})
	}
	p.sendLogUpdates()
	p.renewPeriodically(incarnation)
}

// run calls do in the proxy's event loop: after a delay if the proxy is frozen, and never if its incarnation has ended.
func (p *proxyProcess) run(incarnation int, do func(server *Server)) {
	sim := p.sim
	if !p.up || p.incarnation != incarnation {
		return
	}
	if sim.Now < p.frozenUntil {
		sim.After(p.frozenUntil-sim.Now, func() { p.run(incarnation, do) })
		return
	}
	p.server.queue.Put(eventloop.PriorityOutcomes, func() { do(p.server) })
	for p.server.step() {
	}
	untilDeadline := p.server.nextDeadline().Sub(p.server.clock.Time())
	after := int64(untilDeadline/unitDuration) * 1000 / (1000 + p.clockDrift)
	if at := sim.Now + max(1, after); p.nextStepAt <= sim.Now || at < p.nextStepAt {
		p.nextStepAt = at
		sim.After(at-sim.Now, func() { p.run(incarnation, func(*Server) {}) })
	}
}

// reliableControlLink is a proxy's leaderLink to a reliableControl.
type reliableControlLink struct {
	proxy       *proxyProcess
	incarnation int
}

// requestQuota does nothing: a reliableControl grants no tokens.
func (reliableControlLink) requestQuota(*quota.Request) {}

func (l reliableControlLink) renewLease() { l.proxy.renewLease(l.incarnation) }

func (l reliableControlLink) reportSuspect(report *rpc.SuspectReport) {
	sim, control := l.proxy.sim, l.proxy.sim.control
	if l.proxy.partitioned {
		return
	}
	sim.After(sim.Between(1*millisecond, 4*millisecond), func() {
		control.coordinator.SuspectPrimary(l.proxy.name, report.Service, report.Host, control.nowMs())
		control.evaluate()
	})
}

// sendLogUpdates sends the proxy, in order, the log entries that it has not received.
func (p *proxyProcess) sendLogUpdates() {
	sim, incarnation, log := p.sim, p.incarnation, p.sim.control.log
	if !p.up || p.partitioned || p.sentIndex == uint64(len(log)) {
		return
	}
	update := &rpc.LogUpdate{Entries: slices.Clone(log[p.sentIndex:]), LastIndex: uint64(len(log))}
	p.sentIndex = update.LastIndex
	p.lastArrival = max(p.lastArrival, sim.Now+sim.Between(1*millisecond, 4*millisecond))
	sim.After(p.lastArrival-sim.Now, func() {
		if p.incarnation == incarnation && p.partitioned {
			p.sentIndex = min(p.sentIndex, update.LastIndex-uint64(len(update.Entries)))
			return
		}
		p.run(incarnation, func(server *Server) {
			_ = server.applyLogUpdate(update) // missing entries are sent with the next update
			server.reportRevocationApplied()
		})
	})
}

func (p *proxyProcess) renewPeriodically(incarnation int) {
	if !p.up || p.incarnation != incarnation {
		return
	}
	p.sim.After(renewInterval, func() { p.renewPeriodically(incarnation) })
	p.sendLogUpdates()
	p.renewLease(incarnation)
}

func (p *proxyProcess) renewLease(incarnation int) {
	sim, control := p.sim, p.sim.control
	if p.partitioned || sim.Now < p.frozenUntil {
		return
	}
	requestedAt, applied := p.server.clock.Now(), p.server.replica.state.Index
	sim.After(sim.Between(1*millisecond, 4*millisecond), func() {
		if p.incarnation != incarnation || !p.up || p.partitioned {
			return
		}
		if !control.grantor.Grant(p.name, uint64(incarnation), applied, control.state.LatestRevocation(), control.nowMs()) {
			control.evaluate()
			return
		}
		granted := &rpc.LeaseResponse{Granted: true, CommitIndex: control.state.Index, ProxyCount: len(sim.proxies)}
		control.evaluate()
		p.lastArrival = max(p.lastArrival, sim.Now+sim.Between(1*millisecond, 4*millisecond))
		sim.After(p.lastArrival-sim.Now, func() {
			p.run(incarnation, func(server *Server) { server.handleLeaseGrant(granted, requestedAt) })
		})
	})
}

var (
	errRefused  = errors.New("connection refused")
	errTimedOut = errors.New("timed out")
)

// dial opens a connection to a host.
func (p *proxyProcess) dial(incarnation int, conn *hostConn) {
	sim, pool := p.sim, conn.pool
	hostID := pool.ID
	sim.dials++
	finish := func(after int64, response wire.Response, err error) {
		sim.After(after, func() {
			p.run(incarnation, func(*Server) { pool.connOpened(conn, response, err) })
		})
	}
	sim.After(sim.Between(2*millisecond, 15*millisecond), func() {
		host := sim.database.Host(hostID)
		switch {
		case host == nil: // another host uses its address
			p.run(incarnation, func(*Server) { pool.connOpened(conn, wire.Response{Code: wire.CodeWrongNode}, nil) })
		case host.Unreachable:
			finish(1500*millisecond, wire.Response{}, errTimedOut)
		case !host.Up:
			finish(2*millisecond, wire.Response{}, errRefused)
		default:
			c := &simulatedHostConn{Conn: host.Connect(conn.identity()), proxy: p, incarnation: incarnation, conn: conn}
			c.OnResponse, c.OnClosed = c.deliverResponse, c.notifyClosed
			conn.out = c
			response := wire.Response{State: stateIdle, Position: host.PositionAt(host.VisibleEntries())}
			finish(sim.Between(1*millisecond, 3*millisecond), response, nil)
		}
	})
}

// crash ends the process, which restarts after a while.
func (p *proxyProcess) crash() {
	sim := p.sim
	if !p.up {
		return
	}
	sim.LogFault("%s crashes", p.name)
	p.up = false
	if p.memberConn != nil {
		p.memberConn.close()
	}
	for _, id := range slices.Sorted(maps.Keys(p.server.pools)) {
		for _, conn := range p.server.pools[id].connsByAge() {
			conn.out.close()
		}
	}
	for _, c := range sim.clients {
		if c.proxy == p {
			c.reconnectLater()
		}
	}
	sim.After(sim.Between(100*millisecond, 2*second), p.start)
}
