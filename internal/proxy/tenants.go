package proxy

import (
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/proxy/tenancy"
)

// If the configuration lists tenants, a client authenticates with a key, and its statements run on connections that this proxy
// has opened as the key's tenant. A key can be revoked at any time, so it is looked up for each statement outside a transaction,
// and again right before the statement is sent.

// proxyIdentity is sent to hosts instead of a tenant's name where clients need no key.
const proxyIdentity = "proxy"

// admit returns the tenant under which a session's statements run on a route, which is empty where clients need no key. ok is
// false if no tenant holds the session's key.
func (s *Server) admit(client *clientSession, r *route) (tenant string, ok bool) {
	return s.tenants.Admit(r.Public, client.keyHash)
}

func (s *Server) tenancyBounds() tenancy.Bounds {
	bounds := s.settings.Bounds
	return tenancy.Bounds{RevokeMs: bounds.RevokeMs, ConfigApplyMs: bounds.ConfigApplyMs, DowngradeMs: bounds.DowngradeMs}
}

// keysStale reports whether the lease expired too long ago to accept any key. It applies only with the setting RevokeClosed,
// under which revocations also bind proxies that are partitioned from the control plane.
func (s *Server) keysStale() bool {
	return s.settings.Bounds.RevokeClosed && s.clock.Now() >= s.lease.holder.ExpiresAt()+s.tenancyBounds().MaxLeaseLossMs()
}

// isAuthorized reports whether a statement may be sent under its client's key now. A transaction whose key was revoked may continue
// for a grace period, within which most transactions end.
func (s *Server) isAuthorized(stmt *statement) bool {
	switch {
	case s.tenantHoldsKey(stmt.session, stmt.tenant):
		return stmt.tenant == "" || !s.keysStale()
	case stmt.tenant != "" && s.keysStale():
		return false
	}
	return stmt.isPinned() && !s.transactionGraceOver(stmt.session)
}

// tenantHoldsKey reports whether, by the current configuration, a tenant holds the session's key, so that a statement or
// transaction that began under the tenant may continue. For an empty tenant it reports whether the session's route needs no key.
func (s *Server) tenantHoldsKey(client *clientSession, tenant string) bool {
	if tenant != "" {
		return s.tenants.TenantHoldsKey(tenant, client.keyHash)
	}
	r := s.routes[client.database]
	return r == nil || s.tenants.AllowsAnonymous(r.Public)
}

func (s *Server) transactionGrace() time.Duration {
	return time.Duration(s.tenancyBounds().TransactionGraceMs()) * time.Millisecond
}

// transactionGraceOver reports whether the grace period of the session's transaction, after the revocation of its key, has ended.
func (s *Server) transactionGraceOver(client *clientSession) bool {
	return !client.keyRevokedAt.IsZero() && s.clock.Time().Sub(client.keyRevokedAt) >= s.transactionGrace()
}

// rejectUnauthorized answers a statement that may not run under its client's key and that has not run. An unknown key is final only
// under a valid lease; without one the client may retry at another proxy.
func (s *Server) rejectUnauthorized(stmt *statement) {
	client := stmt.session
	s.counters.revokedStatements.Add(1)
	_, held := s.admit(client, stmt.route)
	switch {
	case !s.configCurrent():
		s.reject(stmt, errcode.NoValidLease, stmt.route.retryAfterMs())
	case held: // the key belongs to another tenant, under which the client's retry will run
		s.reject(stmt, errcode.WriteNotSent, 0)
	default:
		stmt.finished, client.statement = true, nil
		s.releaseToken(stmt)
		s.counters.rejected.Add(1)
		s.sendFinal(client, s.errorReply(errcode.KeyRevoked, 0))
		s.processMessages(client) // its reader may already have ended
	}
}

// withdrawUnauthorized answers a statement like rejectUnauthorized and withdraws it from the policy.
func (s *Server) withdrawUnauthorized(stmt *statement) {
	if !stmt.finished {
		s.rejectUnauthorized(stmt)
	}
	s.withdraw(stmt)
}

// applyTenants applies the tenants of a new configuration to sessions, statements and transactions.
func (s *Server) applyTenants() {
	keysRevoked := false
	for _, client := range s.sessions.byAge() {
		keysRevoked = s.trackKeyRevocation(client) || keysRevoked
		if client.isIdle() && !s.isAdmitted(client) {
			s.counters.revokedSessions.Add(1)
			client.drain()
		}
	}
	s.withdrawRevokedStatements()
	if keysRevoked {
		s.timers.Add(s.clock.Time().Add(s.transactionGrace()), s.endRevokedTransactions)
	}
}

// isAdmitted reports whether the session's key allows new statements.
func (s *Server) isAdmitted(client *clientSession) bool {
	r := s.routes[client.database]
	if r == nil {
		return true // a removed route is handled by reconciliation and by handleStatement
	}
	_, ok := s.admit(client, r)
	return ok
}

// trackKeyRevocation records when the tenant of a session's statement or transaction lost the session's key. It reports whether the
// key is revoked.
func (s *Server) trackKeyRevocation(client *clientSession) (revoked bool) {
	if !client.isActive() || s.tenantHoldsKey(client, client.activeTenant()) {
		client.keyRevokedAt = time.Time{}
		return false
	}
	if client.keyRevokedAt.IsZero() {
		client.keyRevokedAt = s.clock.Time()
	}
	return true
}

// isActive reports whether the session has a statement or transaction in progress.
func (c *clientSession) isActive() bool { return c.statement != nil || c.pinnedConn != nil }

// activeTenant returns the tenant under which the session's statement or transaction runs. It is empty if there is neither, or
// if the client needed no key.
func (c *clientSession) activeTenant() string {
	switch {
	case c.statement != nil:
		return c.statement.tenant
	case c.pinnedConn != nil:
		return c.pinnedConn.tenant
	}
	return ""
}

// withdrawRevokedStatements rejects the statements that wait for a host and whose key was revoked. A write of which an earlier
// attempt may have run is left to the policy, which determines its outcome.
func (s *Server) withdrawRevokedStatements() {
	for _, id := range slices.Sorted(maps.Keys(s.statements)) {
		stmt := s.statements[id]
		if stmt == nil || stmt.finished || stmt.mayHaveRun || stmt.command == nil || !stmt.awaitsHost() || s.isAuthorized(stmt) {
			continue
		}
		s.withdrawUnauthorized(stmt)
	}
}

// endRevokedTransactions rolls back the open transactions whose key was revoked and that have no statement in flight. A transaction
// with a statement in flight ends at the client's next statement.
func (s *Server) endRevokedTransactions() {
	for _, client := range s.sessions.byAge() {
		conn := client.pinnedConn
		if conn == nil || client.statement != nil || s.tenantHoldsKey(client, conn.tenant) || !s.transactionGraceOver(client) {
			continue
		}
		s.counters.revokedTransactions.Add(1)
		client.pinnedConn = nil
		client.ConnectionLost()
		s.rollBack(conn)
	}
}
