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
	// silentPrimaryTimeout is how long a primary with a statement in flight may send nothing before it is reported as suspect.
	silentPrimaryTimeout = 150 * time.Millisecond

	// suspectReportIntervalMs is the minimum interval between two suspect reports of one host, in milliseconds.
	suspectReportIntervalMs = 150

	// drainReserve is the part of the platform's time limit for draining a host in which no statement is sent to the host any more,
	// at most half of the limit. It is left for the statements in flight and for the shutdown of the host.
	drainReserve = 1500 * time.Millisecond

	// maxTenantWait is how long a statement waits before a connection of another tenant is closed for it although that tenant has
	// statements waiting, too. It is several times as long as opening a connection takes.
	maxTenantWait = 50 * time.Millisecond
)

// hostPool is a database host and this proxy's connections to it.
type hostPool struct {
	statemachine.Host
	server     *Server
	policyHost *policy.Host // handle in calls to the policy
	service    *service

	conns map[*hostConn]struct{} // all open connections
	idle  []*hostConn            // idle connections, the most recently used last
	queue connQueue

	lossDetector        lossdetect.Detector
	lastResponseAt      time.Time
	lastSuspectReportMs int64 // when the host was last reported as suspect, in milliseconds of the clock
	drainingSince       time.Time

	probePending      bool             // the policy waits for the result of the next dial
	announcedToPolicy bool             // listState was passed to the policy
	listState         policy.ListState // state in the policy's host list
	retired           bool             // removed, or replaced by another host with the same id; gets no statements
}

// hostPosition is how current the data of a host is, derived from the log position in its response, and the host's role.
type hostPosition struct {
	upToDateAsOf policy.TenthMs // the host has all writes acknowledged before this time; or positionUnknown
	role         policy.Role
}

// assign sends a statement to the host on an idle connection, or queues it and dials another connection if needed. A dialed
// connection is not reserved for the statement: any connection of a tenant that becomes free serves the tenant's oldest
// statement. At the connection limit, an idle connection of another tenant is closed to make room.
func (p *hostPool) assign(stmt *statement) {
	s := p.server
	if conn := p.takeIdle(stmt); conn != nil {
		s.prepareAndSend(conn, stmt)
		return
	}
	stmt.attempt.queuedAt = s.clock.Time()
	p.queue.push(stmt)
	switch {
	case !p.queue.needsDial(stmt.tenant):
	case p.canDial():
		p.dial(stmt.tenant)
	case len(p.idle) > 0:
		s.counters.connsClosedForTenant.Add(1)
		s.closeConn(p.idle[0])
	}
}

// canDial reports whether this proxy may open another connection to the host.
func (p *hostPool) canDial() bool {
	return len(p.conns)+p.queue.dialing < p.server.connShare(p).MaxConns()
}

// shouldYield reports whether a free connection must be closed to make room for a statement of another tenant: because no
// statement of its own tenant is waiting, or because the other statement has waited longer than maxTenantWait.
func (p *hostPool) shouldYield(conn *hostConn) bool {
	waiting := p.queue.oldestWithoutDial()
	if waiting == nil || waiting.tenant == conn.tenant || p.canDial() {
		return false
	}
	waitedFor := p.server.clock.Time().Sub(waiting.attempt.queuedAt)
	return p.queue.byTenant[conn.tenant].waiting == 0 || waitedFor > maxTenantWait
}

// takeIdle removes and returns an idle connection of the statement's tenant, or nil. It prefers a connection with the session's
// variables, then one without variables.
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

// dial opens a connection for a tenant in the background, since the event loop must not block; connOpened receives the result. The
// time and epoch are recorded before CONNECT is sent, so the position in its response is at least as new.
func (p *hostPool) dial(tenant string) {
	s := p.server
	p.queue.dialStarted(tenant)
	s.counters.connsDialed.Add(1)
	dialedAt := s.refreshPolicyTime()
	s.dial(&hostConn{pool: p, tenant: tenant, dialedAt: dialedAt, dialedEpoch: s.epochOf(p)})
}

// connOpened handles the result of a dial: the host's response to CONNECT, or an error.
func (p *hostPool) connOpened(conn *hostConn, response wire.Response, err error) {
	s := p.server
	p.queue.dialFinished(conn.tenant)
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

// dialFailed ends the attempts that are queued for a connection. If the host only rejected the connection as overloaded,
// attempts of other tenants stay queued while any connection is open or being opened, and attempts of this tenant while it has
// an open connection.
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
	noneExpected := len(p.conns) == 0 && p.queue.dialing == 0
	for _, stmt := range slices.Clone(p.queue.statements) {
		if outcome != policy.Overloaded || noneExpected || stmt.tenant == tenant && !p.hasConnOf(tenant) {
			s.endAttempt(stmt, outcome)
		}
	}
}

// hasConnOf reports whether a connection of a tenant is open.
func (p *hostPool) hasConnOf(tenant string) bool {
	for conn := range p.conns {
		if conn.tenant == tenant {
			return true
		}
	}
	return false
}

// dialForQueued dials connections for waiting statements after a connection was closed, within the connection limit.
func (p *hostPool) dialForQueued() {
	for !p.retired && p.canDial() {
		stmt := p.queue.oldestWithoutDial()
		if stmt == nil {
			return
		}
		p.dial(stmt.tenant)
	}
}

// recordPosition evaluates the position in a host's response to a message that was sent at sentAt, in the given epoch. The position
// is recorded as a sample of the primary's position only if that epoch has not ended.
func (p *hostPool) recordPosition(position wire.Position, sentAt policy.TenthMs, epoch primaryEpoch) hostPosition {
	svc := p.service
	if epoch != noEpoch && epoch == primaryEpoch(svc.primary.ChangedIndex) && svc.primary.Host == p.ID {
		svc.positions.Add(sentAt, position)
		return hostPosition{upToDateAsOf: sentAt, role: policy.Primary}
	}
	upToDateAsOf := svc.positions.UpToDateAsOf(position)
	switch {
	case upToDateAsOf < 0:
		return hostPosition{upToDateAsOf: positionUnknown, role: policy.UnknownRole}
	case svc.isPrimary(p.ID): // according to the log: an expired lease of this proxy does not change the host's role
		return hostPosition{upToDateAsOf: upToDateAsOf, role: policy.Primary}
	}
	return hostPosition{upToDateAsOf: upToDateAsOf, role: policy.Replica}
}

// reportSuspect reports to the control plane that a primary can't be reached. refused is true if the host's address answered but
// does not serve the host any more.
func (p *hostPool) reportSuspect(refused bool) {
	s := p.server
	now := s.clock.Now()
	if p.service.primary.Host != p.ID || now <= p.lastSuspectReportMs+suspectReportIntervalMs {
		return
	}
	p.lastSuspectReportMs = now
	s.counters.suspectReports.Add(1)
	s.leader.reportSuspect(&rpc.SuspectReport{Service: p.Service, Host: p.ID, Refused: refused})
}

// reportIfSilent reports a primary that has sent nothing for longer than silentPrimaryTimeout while a statement was in flight.
func (p *hostPool) reportIfSilent(now time.Time) {
	if !p.service.isPrimary(p.ID) {
		return
	}
	for _, conn := range p.connsByAge() {
		stmt := conn.statement
		if stmt == nil || !stmt.attempt.sent {
			continue
		}
		if min(now.Sub(stmt.attempt.writtenAt), now.Sub(p.lastResponseAt)) > silentPrimaryTimeout {
			p.reportSuspect(false)
			return
		}
	}
}

// endLostTransactions ends transactions with a statement whose response is considered lost. A COMMIT of writes is excluded and
// waits until its deadline: without its response the outcome is unknown.
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

// closeExcessIdle closes idle connections beyond this proxy's share of the host's connections, and those past their idle timeout.
func (p *hostPool) closeExcessIdle(now time.Time) {
	if len(p.idle) == 0 {
		return
	}
	share, perTenant := p.server.connShare(p), p.server.tenants.RequiresKeys()
	for len(p.idle) > 0 {
		oldest := p.idle[0]
		withinShare := len(p.conns)+p.queue.dialing <= share.MaxConns()
		if withinShare && now.Sub(oldest.idleSince).Milliseconds() <= share.IdleTimeoutMs(len(p.idle)-1, perTenant) {
			return
		}
		p.server.closeConn(oldest)
	}
}

// drainExpired reports whether a draining host, primary or not, must get no more statements.
func (p *hostPool) drainExpired(now time.Time) bool {
	bound := settings.DurationFromMs(p.server.settings.Bounds.DrainMs)
	return p.Draining && bound > 0 && now.Sub(p.drainingSince) > max(bound/2, bound-drainReserve)
}

// retire stops the use of a host that was removed or replaced. Statements in flight still complete.
func (p *hostPool) retire() {
	p.retired = true
	for _, conn := range slices.Clone(p.idle) {
		p.server.closeConn(conn)
	}
	for _, stmt := range slices.Clone(p.queue.statements) {
		p.server.endAttempt(stmt, policy.Expired)
	}
}

// connsByAge returns the open connections, the oldest first. The order makes simulations deterministic.
func (p *hostPool) connsByAge() []*hostConn {
	return slices.SortedFunc(maps.Keys(p.conns), func(a, b *hostConn) int { return cmp.Compare(a.id, b.id) })
}
