package proxy

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"ferrypitch/internal/proxy/lossdetect"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

const (
	// silentPrimaryTimeout is how long a primary may send nothing while it owes a response, before it is reported as suspect.
	silentPrimaryTimeout = 150 * time.Millisecond

	// suspectReportIntervalMs is the shortest time between two reports of one host, in milliseconds.
	suspectReportIntervalMs = 150

	// drainReserve is left of the platform's bound for draining, or half of the bound if that is more: what the last statements
	// and the host's own end take.
	drainReserve = 1500 * time.Millisecond

	// maxTenantWait is how long a statement waits for the connections of other tenants that have statements of their own to send. It
	// is several times what a new connection takes.
	maxTenantWait = 50 * time.Millisecond
)

// hostPool is a database host and this proxy's connections to it.
type hostPool struct {
	statemachine.Host
	server     *Server
	policyHost *policy.Host // the policy's handle of it
	service    *service

	conns map[*hostConn]struct{} // all that are open
	idle  []*hostConn            // the most recently used last
	queue connQueue

	lossDetector   lossdetect.Detector
	lastResponseAt time.Time
	lastReportedMs int64 // when it was last reported as suspect, in milliseconds of the clock
	drainingSince  time.Time

	probePending bool // the policy waits for the next connection to open or fail
	announced    bool // the policy knows its standing
	standing     policy.ListState
	retired      bool // removed, or replaced by another host of the same name: it takes no statements
}

// hostPosition is what a host's position says of it.
type hostPosition struct {
	asOf policy.TenthMs // it has all writes acknowledged before; positionUnknown: not known
	role policy.Role
}

// assign sends a statement to the host, or queues it. What it then dials is not its own connection: the first of its tenant that is
// free serves the tenant's oldest statement. If no more may be opened, an idle connection of another tenant is closed for it.
func (p *hostPool) assign(stmt *statement) {
	s := p.server
	if conn := p.takeIdle(stmt); conn != nil {
		s.prepareAndSend(conn, stmt)
		return
	}
	stmt.attempt.queuedAt = s.clock.Time()
	p.queue.push(stmt)
	switch {
	case !p.queue.needsConn(stmt.tenant):
	case p.hasRoom():
		p.dial(stmt.tenant)
	case len(p.idle) > 0:
		s.counters.connsClosedForTenant.Add(1)
		s.closeConn(p.idle[0])
	}
}

// hasRoom says that this proxy may open another connection to the host.
func (p *hostPool) hasRoom() bool {
	return len(p.conns)+p.queue.dialing < p.server.connShare(p).MaxConns()
}

// givesWay says that a connection which is free is to be closed for the statement of another tenant: none of its own tenant's waits,
// or the other has waited for long.
func (p *hostPool) givesWay(conn *hostConn) bool {
	waiting := p.queue.oldestWithoutDial()
	if waiting == nil || waiting.tenant == conn.tenant || p.hasRoom() {
		return false
	}
	waitedFor := p.server.clock.Time().Sub(waiting.attempt.queuedAt)
	return p.queue.byTenant[conn.tenant].waiting == 0 || waitedFor > maxTenantWait
}

// takeIdle takes an idle connection of a statement's tenant: best one that has the session's values, next best one that has none.
func (p *hostPool) takeIdle(stmt *statement) *hostConn {
	client := stmt.session
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if conn.tenant != stmt.tenant {
			continue
		}
		if conn.state.Matches(&client.Session) {
			best = i
			break
		}
		if best < 0 || conn.state.VariablesKey == "" {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	conn := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return conn
}

// dial opens a connection for a tenant in the background, since the event loop must not block; connOpened receives the result. Time and epoch are
// those before CONNECT is sent: the position in its response is no older.
func (p *hostPool) dial(tenant string) {
	s := p.server
	p.queue.dialBegan(tenant)
	s.counters.connsDialed.Add(1)
	dialedAt := s.refreshPolicyTime()
	s.dial(&hostConn{pool: p, tenant: tenant, dialedAt: dialedAt, dialedEpoch: s.epochOf(p)})
}

// connOpened handles the result of dial: the host's response to CONNECT, or an error.
func (p *hostPool) connOpened(conn *hostConn, response wire.Response, err error) {
	s := p.server
	p.queue.dialEnded(conn.tenant)
	s.refreshPolicyTime()
	succeeded := err == nil && response.Code == ""
	if p.probePending {
		p.probePending = false
		defer func() { p.policyHost.EndProbe(succeeded) }()
	}
	if !succeeded {
		p.dialFailed(conn.tenant, response.Code, err)
		return
	}
	if p.retired {
		conn.closed = true
		conn.out.close()
		return
	}
	conn.id = s.nextID()
	p.conns[conn] = struct{}{}
	p.recordPosition(response.Position, conn.dialedAt, conn.dialedEpoch)
	s.releaseConn(conn)
}

// dialFailed ends the attempts that are queued for a connection. Where the host has only reached its limit of connections, those of
// other tenants stay queued while any connection is open or being opened, and those of this one if it has connections that are open.
func (p *hostPool) dialFailed(tenant string, code wire.Code, err error) {
	s := p.server
	s.counters.connsFailed.Add(1)
	outcome := policy.Unreachable
	if code == wire.CodeOverload || code == wire.CodeRetry {
		outcome = policy.Overloaded
		s.counters.connsRefused.Add(1)
	} else {
		p.reportSuspect(errors.Is(err, syscall.ECONNREFUSED) || code == wire.CodeWrongNode)
	}
	nothingToWaitFor := len(p.conns) == 0 && p.queue.dialing == 0
	for _, stmt := range slices.Clone(p.queue.statements) {
		if outcome != policy.Overloaded || nothingToWaitFor || stmt.tenant == tenant && !p.hasConnOf(tenant) {
			s.endAttempt(stmt, outcome)
		}
	}
}

// hasConnOf says that a connection of a tenant is open.
func (p *hostPool) hasConnOf(tenant string) bool {
	for conn := range p.conns {
		if conn.tenant == tenant {
			return true
		}
	}
	return false
}

// dialForQueued replaces a connection that was closed, which statements may have waited for.
func (p *hostPool) dialForQueued() {
	for !p.retired && p.hasRoom() {
		stmt := p.queue.oldestWithoutDial()
		if stmt == nil {
			return
		}
		p.dial(stmt.tenant)
	}
}

// recordPosition records a host's position from a response to what was sent at sentAt in an epoch. It is a sample of the
// primary's position only if that epoch has not ended.
func (p *hostPool) recordPosition(position wire.Position, sentAt policy.TenthMs, epoch primaryEpoch) hostPosition {
	svc := p.service
	if epoch != noEpoch && epoch == primaryEpoch(svc.primary.ChangedIndex) && svc.primary.Host == p.ID {
		svc.positions.Add(sentAt, position)
		return hostPosition{asOf: sentAt, role: policy.Primary}
	}
	asOf := svc.positions.UpToDateAsOf(position)
	switch {
	case asOf < 0:
		return hostPosition{asOf: positionUnknown, role: policy.UnknownRole}
	case svc.isPrimary(p.ID): // by the log: that a lease has expired says nothing of the host
		return hostPosition{asOf: asOf, role: policy.Primary}
	}
	return hostPosition{asOf: asOf, role: policy.Replica}
}

// reportSuspect tells the control plane that a primary can't be reached. refused says that the host answered, but no longer
// serves.
func (p *hostPool) reportSuspect(refused bool) {
	s := p.server
	now := s.clock.Now()
	if p.service.primary.Host != p.ID || now <= p.lastReportedMs+suspectReportIntervalMs {
		return
	}
	p.lastReportedMs = now
	s.counters.suspectReports.Add(1)
	s.leader.reportSuspect(&rpc.SuspectReport{Service: p.Service, Host: p.ID, Refused: refused})
}

// reportIfSilent reports a primary that owes a response and has sent nothing since.
func (p *hostPool) reportIfSilent(now time.Time) {
	if !p.service.isPrimary(p.ID) {
		return
	}
	for _, conn := range p.connsByAge() {
		stmt := conn.statement
		if stmt == nil || !stmt.attempt.sent {
			continue
		}
		writtenAt := stmt.attempt.writtenAt
		if now.Sub(writtenAt) > silentPrimaryTimeout && p.lastResponseAt.Before(writtenAt) {
			p.reportSuspect(false)
			return
		}
	}
}

// endLostTransactions ends transactions whose response counts as lost. That of a COMMIT which writes is waited for until its
// deadline: without it nobody knows what was committed.
func (p *hostPool) endLostTransactions(now policy.TenthMs) {
	s := p.server
	for _, conn := range p.connsByAge() {
		stmt := conn.statement
		if stmt == nil || !stmt.attempt.sent || !stmt.isPinned() || stmt.commitInDoubt() {
			continue
		}
		if !p.lossDetector.Lost(stmt.attempt.sentAt, now) {
			continue
		}
		s.counters.responsesLost.Add(1)
		s.closeAndEndAttempt(conn, stmt, policy.TimedOut)
	}
}

// closeExcessIdle closes idle connections over this proxy's share of the host's, or idle for long.
func (p *hostPool) closeExcessIdle(now time.Time) {
	if len(p.idle) == 0 {
		return
	}
	share, perTenant := p.server.connShare(p), p.server.tenants.AsksClients()
	for len(p.idle) > 0 {
		oldest := p.idle[0]
		withinShare := len(p.conns)+p.queue.dialing <= share.MaxConns()
		if withinShare && now.Sub(oldest.idleSince).Milliseconds() <= share.IdleTimeoutMs(len(p.idle)-1, perTenant) {
			return
		}
		p.server.closeConn(oldest)
	}
}

// drainExpired says that a draining host may be sent nothing more, whether it is the primary or not.
func (p *hostPool) drainExpired(now time.Time) bool {
	bound := settings.Duration(p.server.settings.Bounds.DrainMs)
	return p.Draining && bound > 0 && now.Sub(p.drainingSince) > max(bound/2, bound-drainReserve)
}

// retire ends a host that was removed, or that another has replaced. Statements that it was sent run to their end.
func (p *hostPool) retire() {
	p.retired = true
	for _, conn := range slices.Clone(p.idle) {
		p.server.closeConn(conn)
	}
	for _, stmt := range slices.Clone(p.queue.statements) {
		p.server.endAttempt(stmt, policy.Expired)
	}
}

// connsByAge are the open connections, the oldest first, so that a seed of the simulation always runs the same.
func (p *hostPool) connsByAge() []*hostConn {
	return slices.SortedFunc(maps.Keys(p.conns), func(a, b *hostConn) int { return cmp.Compare(a.id, b.id) })
}
