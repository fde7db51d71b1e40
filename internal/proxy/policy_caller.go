package proxy

import (
	"slices"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/policy"
)

const (
	// policyUnit is the unit of policy.TenthMs.
	policyUnit = 100 * time.Microsecond

	tenthsPerMillisecond = 10

	// policyTick is the minimum interval between two calls of policy.Router.WakeUp.
	policyTick policy.TenthMs = 50

	// maxAttempts is the maximum number of attempts of a statement before its client gets an error.
	maxAttempts = 3

	// maxRetryAfter is the longest delay before a retry, in tenths of a millisecond, that is returned to a rejected client.
	maxRetryAfter policy.TenthMs = 2000

	// hostConnIdleTimeout is the idle timeout that the policy assumes when it estimates the number of open connections to a host
	// from the peak number of commands in flight. Package connlimit computes the actual idle timeouts.
	hostConnIdleTimeout = 45 * time.Second
)

// deployment returns the policy's parameters for this kind of proxy: only the control plane determines the primary, hosts reject
// reads for which they lag too far behind, and a connection carries one statement at a time.
func deployment(zone string, seed uint32) policy.Deployment {
	return policy.Deployment{
		Seed:               seed,
		Tick:               policyTick,
		RouterCount:        1,
		Zone:               zone,
		MaxDispatches:      maxAttempts,
		HostsCheckPosition: true,
		LocalSessionTokens: true,
		ProbesEnabled:      true,
		ExplicitPrimary:    true,
		StreamsPerConn:     1,
		IdleConnTimeout:    toTenths(hostConnIdleTimeout),
		ConnectTimeout:     toTenths(connectTimeout),
		MaxRetryAfter:      maxRetryAfter,
		ColdOverloadFactor: 1e6, // large enough that a newly started host is never limited
		ColdCapacity:       1,   // a host has its full capacity from its start
	}
}

func toTenths(span time.Duration) policy.TenthMs { return policy.TenthMs(span / policyUnit) }

func toDuration(span policy.TenthMs) time.Duration { return time.Duration(span) * policyUnit }

func millisecondsToTenths(ms float64) policy.TenthMs {
	return policy.TenthMs(ms * tenthsPerMillisecond)
}

// refreshPolicyTime sets the policy's time to the current time and returns it. It must run before any other call to the policy.
func (s *Server) refreshPolicyTime() policy.TenthMs {
	s.policyNow = policy.TenthMs(eventloop.ClockOrigin)*tenthsPerMillisecond + toTenths(s.clock.Elapsed())
	if s.policy != nil {
		s.policy.SetTime(s.policyNow)
	}
	return s.policyNow
}

// wakePolicy calls policy.Router.WakeUp. If the policy does not schedule the next call itself, wakePolicy schedules it after
// policyTick.
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

// policyCaller executes the decisions of the policy; it implements policy.Caller. Its methods run in the event loop, inside a
// call to the policy: work that could call the policy again is deferred until that call has returned.
type policyCaller struct{ server *Server }

// Dispatch begins an attempt at the host that the policy chose. The attempt's timeout may end before the statement's deadline,
// so that time is left for an attempt at another host.
func (p policyCaller) Dispatch(command *policy.Command, host *policy.Host, timeout policy.TenthMs) {
	s := p.server
	stmt := s.statements[command.Name]
	stmt.command = command
	stmt.beginAttempt(s.poolByPolicyHost[host])
	if !s.isAuthorized(stmt) {
		s.deferred.add(func() { s.withdrawUnauthorized(stmt) })
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

// RejectRetryable rejects a statement that has not run or that may safely run again. A read is answered with the error of the last
// host, if there is one.
func (p policyCaller) RejectRetryable(command *policy.Command, retryAfter policy.TenthMs) {
	s := p.server
	stmt := s.statements[command.Name]
	s.counters.throttled.Add(1)
	s.deferred.add(func() {
		s.forgetIfFinished(stmt)
		if stmt.hostResponse != nil && !stmt.step.MayWrite {
			s.finishStatement(stmt, stmt.hostResponse)
			return
		}
		s.reject(stmt, errcode.NoHostAvailable, retryAfter/tenthsPerMillisecond)
	})
}

// Fail answers a statement that must not be retried. A write is in doubt if reportFailure recorded that it may have run. A COMMIT
// never gets here, since statements of a transaction are not submitted to the policy; failPinned answers it.
func (p policyCaller) Fail(command *policy.Command) {
	s := p.server
	stmt := s.statements[command.Name]
	s.counters.failed.Add(1)
	s.deferred.add(func() {
		s.forgetIfFinished(stmt)
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

// Probe opens a connection to a host, so that the policy learns whether the host is reachable and which position it has.
func (p policyCaller) Probe(host *policy.Host) {
	s := p.server
	pool := s.poolByPolicyHost[host]
	pool.probePending = true
	if s.connShare(pool).Scarce() && !pool.service.usedBySession {
		return // probes of all proxies would exceed the host's connection limit; dialOnFirstUse opens the connection
	}
	if pool.queue.dialing == 0 {
		pool.dial(pool.service.lastTenant)
	}
}

// CloseIdleConns closes the idle connections to a host that has none left for other proxies.
func (p policyCaller) CloseIdleConns(host *policy.Host) {
	for _, conn := range slices.Clone(p.server.poolByPolicyHost[host].idle) {
		p.server.closeConn(conn)
	}
}

// ReleaseHost deletes a removed host that no statement refers to any more.
func (p policyCaller) ReleaseHost(host *policy.Host) {
	s := p.server
	pool := s.poolByPolicyHost[host]
	if pool == nil {
		return
	}
	pool.retire()
	s.forgetHost(host, pool)
}

// RequestHostList does nothing: the control plane pushes the list of hosts.
func (policyCaller) RequestHostList() {}

// Broadcast does nothing: the policies of different proxies exchange no messages.
func (policyCaller) Broadcast(string) {}

// ScheduleWakeUp schedules a call of policy.Router.WakeUp.
func (p policyCaller) ScheduleWakeUp(after policy.TenthMs) { p.server.schedulePolicyWake(after) }
