package control

import (
	"slices"

	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// partitionProxy connects to the leader, applies its log and renews its lease.
type partitionProxy struct {
	cluster     *partitionCluster
	name        string
	clockRate   float64
	incarnation uint64
	lease       lease.Holder
	state       *statemachine.State
	applied     uint64          // index of the last applied log entry
	link        *partitionLink  // current connection
	attempts    int             // connections opened; selects the next member
	slow        map[string]bool // members to and from which frames are delayed, by address
}

func (p *partitionProxy) start() {
	p.incarnation++
	p.lease, p.state, p.applied, p.slow = lease.Holder{}, &statemachine.State{}, 0, map[string]bool{}
	p.connectNext(p.incarnation)
}

func (p *partitionProxy) now() int64 {
	return 1<<30 + int64(float64(p.cluster.Now-p.cluster.StartTime)*p.clockRate)
}
func (p *partitionProxy) hasLease() bool { return p.lease.Valid(p.now()) }

func (p *partitionProxy) connectNext(incarnation uint64) {
	if p.incarnation != incarnation {
		return
	}
	p.attempts++
	p.connect(p.cluster.members[p.attempts%len(p.cluster.members)])
}

// partitionLink is a connection of a proxy to a member.
type partitionLink struct {
	proxy             *partitionProxy
	member            *partitionMember
	proxyIncarnation  uint64
	memberIncarnation int
	conn              *ProxyConn
	closed            bool
	receivedAt        int64            // when the last frame from the member arrived
	requestedAt       map[uint64]int64 // send times of lease requests on the proxy's clock, by serial
	lastSerial        uint64
	memberArrivesAt   int64 // arrival time of the last step at the member
	proxyArrivesAt    int64 // arrival time of the last frame at the proxy
}

func (p *partitionProxy) connect(m *partitionMember) {
	c := p.cluster
	link := &partitionLink{proxy: p, member: m, proxyIncarnation: p.incarnation, memberIncarnation: m.Incarnation(), receivedAt: c.Now, requestedAt: map[uint64]int64{}}
	p.link = link
	if !m.Up() {
		c.After(30, link.close)
		return
	}
	m.links = append(m.links, link)
	hello := &rpc.ProxyHello{Node: p.name, Incarnation: p.incarnation, Zone: "z", AppliedIndex: p.applied}
	link.toMember(func() { link.conn = m.server.AcceptProxy(hello, p.name, link.send, func() { c.After(2, link.close) }) })
	if c.OneIn(10) && !c.faultsDisabled { // a duplicate of the hello arrives on a delayed connection
		incarnation := m.Incarnation()
		c.After(c.Between(100, 20000), func() {
			m.run(incarnation, func() { m.server.AcceptProxy(hello, p.name, func(*rpc.Frame) bool { return true }, func() {}) })
		})
	}
	link.watchSilence()
}

// latency returns the latency of one frame. Frames on a slow connection may arrive after the proxy has connected to another
// member.
func (l *partitionLink) latency() int64 {
	c := l.proxy.cluster
	latency := c.Between(1, 3)
	if l.proxy.slow[l.member.ip] {
		latency = c.Between(200, 1500)
	}
	return latency
}

// toMember runs a step on the member after the latency. Steps keep the order of the calls.
func (l *partitionLink) toMember(step func()) {
	c := l.proxy.cluster
	l.memberArrivesAt = max(l.memberArrivesAt+1, c.Now+l.latency())
	c.After(l.memberArrivesAt-c.Now, func() { l.member.run(l.memberIncarnation, step) })
}

// send sends a frame to the proxy.
func (l *partitionLink) send(frame *rpc.Frame) bool {
	c := l.proxy.cluster
	l.proxyArrivesAt = max(l.proxyArrivesAt+1, c.Now+l.latency())
	c.After(l.proxyArrivesAt-c.Now, func() {
		if !l.closed && l.proxy.incarnation == l.proxyIncarnation {
			l.receive(frame)
			c.checkInvariants()
		}
	})
	return true
}

func (l *partitionLink) receive(frame *rpc.Frame) {
	c, p := l.proxy.cluster, l.proxy
	l.receivedAt = c.Now
	switch {
	case frame.ProxyWelcome != nil && !frame.ProxyWelcome.IsLeader:
		l.closed = true
		c.After(30, func() { p.connectNext(l.proxyIncarnation) })
	case frame.ProxyWelcome != nil:
		l.renewLease()
	case frame.LogUpdate != nil:
		if !p.apply(frame.LogUpdate) {
			l.close()
			return
		}
	case frame.LeaseResponse != nil && !frame.LeaseResponse.Granted:
		l.close()
	case frame.LeaseResponse != nil && frame.LeaseResponse.CommitIndex <= p.applied:
		p.lease.Renew(l.requestedAt[frame.LeaseResponse.Serial])
		c.leases++
	}
	p.checkLease()
}

// apply applies a log update. It returns false if entries are missing.
func (p *partitionProxy) apply(update *rpc.LogUpdate) bool {
	if update.Snapshot != nil {
		state, err := statemachine.Restore(update.Snapshot)
		if err != nil {
			panic(err)
		}
		if update.LastIndex >= p.applied {
			p.state, p.applied = state, update.LastIndex
		}
		return true
	}
	first := update.LastIndex - uint64(len(update.Entries)) + 1
	if first > p.applied+1 {
		return false
	}
	for i, data := range update.Entries {
		index := first + uint64(i)
		if index <= p.applied {
			continue
		}
		if change, err := statemachine.DecodeChange(data); err == nil && len(data) > 0 {
			_ = p.state.Apply(index, change) // a change that is rejected here is rejected by all replicas
		}
		p.applied = index
	}
	return true
}

// checkLease asserts that a proxy with a lease has applied everything that was acknowledged 1.8 s ago, the earliest time at which
// it can have requested the lease.
func (p *partitionProxy) checkLease() {
	c := p.cluster
	if !p.hasLease() {
		return
	}
	if i := c.newestAcknowledged(c.Now - 1800); i > 0 && p.state.Generation < c.applied[i].generation {
		c.RecordViolation("BEHIND: %s holds a lease with version %d, %d was acknowledged 1.8 s ago", p.name, p.state.Generation, c.applied[i].generation)
	}
}

func (l *partitionLink) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.member.links = slices.DeleteFunc(l.member.links, func(other *partitionLink) bool { return other == l })
	if conn := l.conn; conn != nil {
		l.toMember(func() { l.member.server.ProxyDisconnected(conn) })
	}
	l.proxy.cluster.After(30, func() { l.proxy.connectNext(l.proxyIncarnation) })
}

func (l *partitionLink) watchSilence() {
	c := l.proxy.cluster
	c.After(50, func() {
		switch {
		case l.closed || l.proxy.incarnation != l.proxyIncarnation:
		case c.Now > l.receivedAt+700:
			l.close()
		default:
			l.proxy.checkLease()
			l.watchSilence()
		}
	})
}

func (l *partitionLink) renewLease() {
	if l.closed || l.proxy.incarnation != l.proxyIncarnation {
		return
	}
	l.lastSerial++
	request := &rpc.LeaseRequest{Serial: l.lastSerial, AppliedIndex: l.proxy.applied}
	l.requestedAt[l.lastSerial] = l.proxy.now()
	l.toMember(func() { l.member.server.HandleProxyFrame(l.conn, &rpc.Frame{LeaseRequest: request}) })
	l.proxy.cluster.After(int64(300/l.proxy.clockRate), l.renewLease)
}
