package proxy

import (
	"slices"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/policy"
)

const (
	// policyUnit is what a policy.TenthMs counts.
	policyUnit = 100 * time.Microsecond

	tenthsPerMillisecond = 10

	// policyTick is the shortest time between two calls of policy.Router.WakeUp.
	policyTick policy.TenthMs = 50

	// maxAttempts is how many hosts a statement may be sent to before its client is answered with an error.
	maxAttempts = 3

	// maxComeback is the longest wait, in tenths of a millisecond, that a rejected client is asked for.
	maxComeback policy.TenthMs = 2000

	// hostConnIdleTimeout is the span over which the policy looks for the most connections in use at once. When an idle
	// connection is closed, package connlimit says.
	hostConnIdleTimeout = 45 * time.Second
)

// deployment is what the policy is told of this kind of proxy: who the primary is comes from the control plane only, hosts
// reject reads that they are too far behind for, a connection carries one statement at a time.
func deployment(zone string, seed uint32) policy.Deployment {
	return policy.Deployment{
		Seed:       seed,
		Tick:       policyTick,
		Routers:    1,
		Zone:       zone,
		Dispatches: maxAttempts,
		Guarded:    true,
		Kept:       true,
		Probes:     true,
		Led:        true,
		Streams:    1,
		IdleFor:    toTenths(hostConnIdleTimeout),
		ConnectFor: toTenths(connectTimeout),
		Comeback:   maxComeback,
		FallFactor: 1e6, // so great that no limit is put on what a host is sent after its start
		ColdFrom:   1,   // a host has all of its capacity from its start on
		ProbePrice: 0.01,
	}
}

func toTenths(span time.Duration) policy.TenthMs { return policy.TenthMs(span / policyUnit) }

func toDuration(span policy.TenthMs) time.Duration { return time.Duration(span) * policyUnit }

func millisecondsToTenths(ms float64) policy.TenthMs {
	return policy.TenthMs(ms * tenthsPerMillisecond)
}

// refreshPolicyTime tells the policy the present time, which it needs before any other call, and returns it.
func (s *Server) refreshPolicyTime() policy.TenthMs {
	s.policyNow = policy.TenthMs(eventloop.ClockOrigin)*tenthsPerMillisecond + toTenths(s.clock.Elapsed())
	if s.policy != nil {
		s.policy.SetTime(s.policyNow)
	}
	return s.policyNow
}

// wakePolicy makes the call that the policy asked for. It is called again after policyTick if it asks for nothing.
func (s *Server) wakePolicy() {
	s.policyWakeAt = time.Time{}
	s.refreshPolicyTime()
	s.policy.WakeUp()
	if s.policyWakeAt.IsZero() {
		s.schedulePolicyWake(policyTick)
	}
}

func (s *Server) schedulePolicyWake(after policy.TenthMs) {
	if at := s.clock.Time().Add(toDuration(after)); s.policyWakeAt.IsZero() || at.Before(s.policyWakeAt) {
		s.policyWakeAt = at
	}
}

// policyCaller carries out what the policy decides; it implements policy.Caller. All of it runs in the event loop, inside a
// call to the policy: what could call the policy again is deferred until that has returned.
type policyCaller struct{ server *Server }

// Dispatch begins an attempt at the host that the policy chose. It may time out before the statement does, so that there is time
// left for another host.
func (p policyCaller) Dispatch(command *policy.Command, host *policy.Host, timeout policy.TenthMs) {
	s := p.server
	stmt := s.statements[command.Name]
	stmt.command = command
	stmt.beginAttempt(s.poolByPolicyHost[host])
	if !s.keyAllows(stmt) {
		s.deferred.add(func() { s.withdrawForKey(stmt) })
		return
	}
	deadline := stmt.deadline
	if at := s.clock.Time().Add(toDuration(timeout)); timeout > 0 && at.Before(deadline) {
		deadline = at
	}
	s.counters.dispatches.Add(1)
	s.startAttemptTimer(stmt, deadline)
	stmt.attempt.pool.assign(stmt)
}

// Throttle answers a statement that has not run, or that may run again.
func (p policyCaller) Throttle(command *policy.Command, comeback policy.TenthMs) {
	s := p.server
	stmt := s.statements[command.Name]
	s.counters.throttled.Add(1)
	s.deferred.add(func() {
		s.forgetIfOver(stmt)
		if stmt.hostResponse != nil && !stmt.step.MayWrite {
			s.finishStatement(stmt, stmt.hostResponse)
			return
		}
		s.reject(stmt, errcode.NoHostAvailable, comeback/tenthsPerMillisecond)
	})
}

// Fail answers a statement that must not be retried. A write is in doubt if endAttempt found that it may have run; for COMMIT see
// commitInDoubt, since statements of a transaction never come here.
func (p policyCaller) Fail(command *policy.Command) {
	s := p.server
	stmt := s.statements[command.Name]
	s.counters.failed.Add(1)
	s.deferred.add(func() {
		s.forgetIfOver(stmt)
		switch {
		case stmt.hostResponse != nil:
			s.finishStatement(stmt, stmt.hostResponse)
		case stmt.mayHaveRun:
			s.finishStatement(stmt, s.errorReply(errcode.InDoubt, 0))
		default:
			s.reject(stmt, errcode.WriteNotSent, 0)
		}
	})
}

// Probe lets the policy learn whether a host is reachable and what it has: by opening a connection.
func (p policyCaller) Probe(host *policy.Host) {
	s := p.server
	pool := s.poolByPolicyHost[host]
	pool.probePending = true
	if s.connShare(pool).Scarce() && !pool.service.used {
		return // probes of all proxies would take more than the host has: the first session of the service opens it
	}
	if pool.queue.dialing == 0 {
		pool.dial(pool.service.lastTenant)
	}
}

// Close closes the idle connections to a host, which has none left for other proxies.
func (p policyCaller) Close(host *policy.Host) {
	for _, conn := range slices.Clone(p.server.poolByPolicyHost[host].idle) {
		p.server.closeConn(conn)
	}
}

// Forget drops a host that was removed and that no statement names any more.
func (p policyCaller) Forget(host *policy.Host) {
	s := p.server
	pool := s.poolByPolicyHost[host]
	if pool == nil {
		return
	}
	pool.retire()
	s.forgetHost(host, pool)
}

// Watch does nothing: the host list comes without being asked for.
func (policyCaller) Watch() {}

// Tell does nothing: the policies of several proxies exchange nothing.
func (policyCaller) Tell(string) {}

// Wake schedules a call of policy.Router.WakeUp.
func (p policyCaller) Wake(after policy.TenthMs) { p.server.schedulePolicyWake(after) }
