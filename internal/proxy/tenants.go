package proxy

import (
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/proxy/tenancy"
)

// Where the configuration lists tenants, a client names itself by a key, and its statements run on connections that this proxy opened
// in the name of the key's tenant. Keys can be taken away at any time: the key is looked up for each statement outside a transaction,
// and again right before it is sent.

// proxyIdentity is what hosts are told in place of a tenant where clients are not asked who they are.
const proxyIdentity = "proxy"

// admit returns the tenant under which a session's statements run on a route, empty where clients are not asked. ok is false if no
// tenant holds the session's key.
func (s *Server) admit(client *clientSession, r *route) (tenant string, ok bool) {
	return s.tenants.Admit(r.Public, client.keyHash)
}

func (s *Server) tenancyBounds() tenancy.Bounds {
	bounds := s.settings.Bounds
	return tenancy.Bounds{RevokeMs: bounds.RevokeMs, ConfigApplyMs: bounds.ConfigApplyMs, DowngradeMs: bounds.DowngradeMs}
}

// keysOutdated says that the lease ended too long ago to rely on any key, where revocations bind proxies that are cut off, too.
func (s *Server) keysOutdated() bool {
	return s.settings.Bounds.RevokeClosed && s.clock.Now() >= s.lease.holder.ExpiresAt()+s.tenancyBounds().MaxLeaseLossMs()
}

// keyAllows says that a statement may be sent under its client's key at this moment. A transaction of a key that was taken away may
// go on for a short time, in which most end.
func (s *Server) keyAllows(stmt *statement) bool {
	switch {
	case s.runsAs(stmt.session, stmt.tenant):
		return stmt.tenant == "" || !s.keysOutdated()
	case stmt.tenant != "" && s.keysOutdated():
		return false
	}
	return stmt.isPinned() && !s.transactionGraceOver(stmt.session)
}

// runsAs says that work of a session which began under a tenant may go on as that tenant's, by the configuration in force. Without a
// tenant it may while the session's route asks nobody.
func (s *Server) runsAs(client *clientSession, tenant string) bool {
	if tenant != "" {
		return s.tenants.Holds(tenant, client.keyHash)
	}
	r := s.routes[client.database]
	return r == nil || s.tenants.AsksNobody(r.Public)
}

func (s *Server) transactionGrace() time.Duration {
	return time.Duration(s.tenancyBounds().TransactionGraceMs()) * time.Millisecond
}

// transactionGraceOver says that the key of a session's transaction was taken away too long ago for the transaction to go on.
func (s *Server) transactionGraceOver(client *clientSession) bool {
	return !client.keyLostAt.IsZero() && s.clock.Time().Sub(client.keyLostAt) >= s.transactionGrace()
}

// rejectKey answers a statement that may not run under its client's key, and of which nothing has run. That no tenant holds the key is
// final only under a valid lease; without one the client may retry at another proxy.
func (s *Server) rejectKey(stmt *statement) {
	client := stmt.session
	s.counters.revokedStatements.Add(1)
	_, held := s.admit(client, stmt.route)
	switch {
	case !s.configCurrent():
		s.reject(stmt, errcode.NoValidLease, stmt.route.retryAfterMs())
	case held: // by another tenant: the client's next attempt runs under that one
		s.reject(stmt, errcode.WriteNotSent, 0)
	default:
		stmt.finished, client.statement = true, nil
		s.releaseToken(stmt)
		s.counters.rejected.Add(1)
		s.sendFinal(client, s.errorReply(errcode.KeyRevoked, 0))
		s.processMessages(client) // its reader may have ended before
	}
}

// withdrawForKey answers a statement that the policy has, like rejectKey, and takes it back from the policy.
func (s *Server) withdrawForKey(stmt *statement) {
	if !stmt.finished {
		s.rejectKey(stmt)
	}
	s.withdraw(stmt)
}

// applyTenants has sessions, statements and transactions follow the tenants of a new configuration.
func (s *Server) applyTenants() {
	transactionsLost := false
	for _, client := range s.sessions.byAge() {
		transactionsLost = s.noteKeyLoss(client) || transactionsLost
		if client.idle() && !s.admitted(client) {
			s.counters.revokedSessions.Add(1)
			client.drain()
		}
	}
	s.withdrawRevokedStatements()
	if transactionsLost {
		s.timers.Add(s.clock.Time().Add(s.transactionGrace()), s.endRevokedTransactions)
	}
}

// admitted says that a session may begin statements, as far as its key goes.
func (s *Server) admitted(client *clientSession) bool {
	r := s.routes[client.database]
	if r == nil {
		return true // the route says what becomes of it
	}
	_, ok := s.admit(client, r)
	return ok
}

// noteKeyLoss notes since when the tenant of a session's transaction or statement does not hold the session's key, and says whether
// that is so.
func (s *Server) noteKeyLoss(client *clientSession) (lost bool) {
	if !client.isActive() || s.runsAs(client, client.activeTenant()) {
		client.keyLostAt = time.Time{}
		return false
	}
	if client.keyLostAt.IsZero() {
		client.keyLostAt = s.clock.Time()
	}
	return true
}

// isActive says that a statement or a transaction of the session is under way.
func (c *clientSession) isActive() bool { return c.statement != nil || c.pinnedConn != nil }

// activeTenant is the tenant under which a session's statement or transaction runs; empty: there is neither, or nobody was asked.
func (c *clientSession) activeTenant() string {
	switch {
	case c.statement != nil:
		return c.statement.tenant
	case c.pinnedConn != nil:
		return c.pinnedConn.tenant
	}
	return ""
}

// withdrawRevokedStatements ends the statements that wait for a host and whose key was taken away. A write of which an earlier attempt
// may have run stays: its outcome is the policy's to tell.
func (s *Server) withdrawRevokedStatements() {
	for _, id := range slices.Sorted(maps.Keys(s.statements)) {
		stmt := s.statements[id]
		if stmt == nil || stmt.finished || stmt.mayHaveRun || stmt.command == nil || !stmt.awaitsHost() || s.keyAllows(stmt) {
			continue
		}
		s.withdrawForKey(stmt)
	}
}

// endRevokedTransactions rolls back the open transactions whose key was taken away, where no statement is with the host. One whose
// statement is there ends with the client's next.
func (s *Server) endRevokedTransactions() {
	for _, client := range s.sessions.byAge() {
		conn := client.pinnedConn
		if conn == nil || client.statement != nil || s.runsAs(client, conn.tenant) || !s.transactionGraceOver(client) {
			continue
		}
		s.counters.revokedTransactions.Add(1)
		client.pinnedConn = nil
		client.ConnectionLost()
		s.rollBack(conn)
	}
}
