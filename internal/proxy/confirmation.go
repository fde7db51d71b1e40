package proxy

import (
	"slices"
	"time"

	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// The primary acknowledges a write once any replica has received it, also one that the control plane does not know. The next primary
// is chosen among the known hosts, so a write is forwarded as acknowledged only once one of them has confirmed it:
//
//	acknowledgement of the primary -> mustConfirm -> hold -> askForConfirmation: a known replica's log position
//	    -> handleConfirmation -> releaseHeld: the acknowledgement is forwarded
//
// During a planned switchover only the nominee counts, which may become primary at any moment, and an acknowledgement waits for
// it until the statement's deadline. Otherwise an acknowledgement that no replica confirms within maxConfirmationWait is forwarded
// all the same, and its position is reported to the failover (service.unconfirmed), provided that the primary still answers. If it
// does not, it may be lost, and with it the commits up to the position that no replica has: the failover would wait for them in vain.
//
// While an acknowledgement is held, its connection and statement are in the state in which the answer has not arrived: the loss of
// the connection, the revocation of the primary and the deadline end the statement as in doubt.

const (
	// confirmationInterval is the interval between queries for confirmation.
	confirmationInterval = 10 * time.Millisecond

	// maxConfirmationWait is how long an acknowledgement waits for a confirmation, except in a switchover.
	maxConfirmationWait = 100 * time.Millisecond

	// confirmationTimeout is how long a query for confirmation may be unanswered before another connection is used.
	confirmationTimeout = 50 * time.Millisecond
)

// confirmations are the acknowledgements of a service's primary that wait for a confirmation, and what known replicas have
// confirmed.
type confirmations struct {
	held      []*heldAcknowledgement // the oldest first
	position  wire.Position          // latest position that a host which counts has reported
	conn      *hostConn              // connection of the query that is under way; nil: none
	askedAt   time.Time              // when that query was sent
	nextHost  int                    // which replica is asked next; incremented once one has confirmed nothing
	inVain    bool                   // nothing was confirmed since the last query
	nextQuery timer                  // nil: no acknowledgement is held
}

// heldAcknowledgement is the primary's acknowledgement of a write that no known replica has confirmed yet.
type heldAcknowledgement struct {
	conn      *hostConn
	statement *statement
	response  *wire.Response
	heldSince time.Time
}

// isPending reports whether the statement still waits for the answer.
func (h *heldAcknowledgement) isPending() bool {
	return !h.conn.closed && h.conn.statement == h.statement && !h.statement.attempt.ended
}

// mustConfirm reports whether the response to a statement acknowledges a write that a known replica must confirm before the client
// is told. A write whose position is known exactly needs no confirmation outside a switchover: a failover waits for that position.
func (s *Server) mustConfirm(conn *hostConn, stmt *statement, response *wire.Response) bool {
	svc := conn.pool.service
	switch {
	case stmt.finished || !stmt.provesCommit(response) || !s.primaryEpochValid(svc, stmt.attempt.primaryEpoch):
		return false
	case svc.confirmations.position.Contains(response.Position):
		return false
	case svc.primary.Nominee != "":
		return true
	}
	return !stmt.attempt.commitsExactlyAt(response.Position) && len(s.confirmingHosts(svc)) > 0
}

// commitsExactlyAt reports whether the commit of an acknowledged write is at end, the end of the primary's log in the response: the
// commit comes after every position that was known when the write was sent.
func (a *attempt) commitsExactlyAt(end wire.Position) bool {
	return a.primaryPosition.Known() && end.Number == a.primaryPosition.Number+1
}

// hold keeps the acknowledgement of a write until a known replica has confirmed it.
func (s *Server) hold(conn *hostConn, stmt *statement, response *wire.Response) {
	svc := conn.pool.service
	s.counters.acksHeld.Add(1)
	stmt.attempt.held = true
	if stmt.commandID != "" { // for the policy, the host has done its work
		stmt.mayHaveRun = true
		position := stmt.attempt.hostPosition
		stmt.command.EndDispatch(policy.Answered, position.upToDateAsOf, position.role, stmt.attempt.answerTime(), stmt.finished)
	}
	svc.confirmations.held = append(svc.confirmations.held, &heldAcknowledgement{conn, stmt, response, s.clock.Time()})
	if svc.confirmations.nextQuery == nil {
		s.scheduleConfirmation(svc)
	}
}

// scheduleConfirmation lets askForConfirmation run after confirmationInterval: a replica needs some time to receive the write.
func (s *Server) scheduleConfirmation(svc *service) {
	due := s.clock.Time().Add(confirmationInterval)
	svc.confirmations.nextQuery = s.timers.Add(due, func() { s.askForConfirmation(svc) })
}

// askForConfirmation forwards the acknowledgements that have waited long enough, and asks a known replica for its position while
// others are held.
func (s *Server) askForConfirmation(svc *service) {
	waiting := &svc.confirmations
	waiting.nextQuery = nil
	s.releaseHeld(svc)
	if len(waiting.held) == 0 {
		return
	}
	s.scheduleConfirmation(svc)
	s.checkPrimary(waiting.held[0])
	isAsking := waiting.conn != nil && !waiting.conn.closed && s.clock.Time().Sub(waiting.askedAt) < confirmationTimeout
	if isAsking {
		return
	}
	if conn := s.takeConfirmingConn(svc); conn != nil {
		waiting.conn, waiting.askedAt = conn, s.clock.Time()
		s.queryPosition(conn)
	}
}

// isOverdue reports whether the acknowledgement has waited for maxConfirmationWait. In a switchover it waits for as long as it takes.
func (h *heldAcknowledgement) isOverdue(now time.Time) bool {
	return h.conn.pool.service.primary.Nominee == "" && now.Sub(h.heldSince) >= maxConfirmationWait
}

// primaryAnswers reports whether the primary has answered anything since the acknowledgement became overdue.
func (h *heldAcknowledgement) primaryAnswers() bool {
	return h.conn.pool.lastResponseAt.Sub(h.heldSince) >= maxConfirmationWait
}

// checkPrimary asks the primary for its status if an acknowledgement is overdue and the primary has answered nothing since. The query
// goes over the connection of the acknowledgement, on which nothing else is under way.
func (s *Server) checkPrimary(held *heldAcknowledgement) {
	conn := held.conn
	if !held.isPending() || conn.checkingPrimary || !held.isOverdue(s.clock.Time()) || held.primaryAnswers() {
		return
	}
	s.counters.primaryChecks.Add(1)
	conn.checkingPrimary = true
	if _, ok := conn.out.write(wire.AppendQuery(nil, internalRequestID, statText)); !ok {
		s.deferred.add(func() { s.connLost(conn) })
	}
}

// confirmingHosts returns the pools of the hosts whose log positions confirm writes: the nominee during a switchover, otherwise the
// replicas that the control plane asks in a failover.
func (s *Server) confirmingHosts(svc *service) (pools []*hostPool) {
	for _, id := range s.replica.state.HostIDs(svc.name) {
		pool := s.pools[id]
		counts := id != svc.primary.Host && !s.replica.state.Hosts[id].Missing && (svc.primary.Nominee == "" || svc.primary.Nominee == id)
		if counts && pool != nil && !pool.retired {
			pools = append(pools, pool)
		}
	}
	return pools
}

// takeConfirmingConn returns an idle connection to a host that may confirm writes: to the one that confirmed the last ones, or else to
// the next that has one. If there is none, it opens one if it may, and returns nil.
func (s *Server) takeConfirmingConn(svc *service) *hostConn {
	pools := s.confirmingHosts(svc)
	if svc.confirmations.inVain {
		svc.confirmations.nextHost++
	}
	for i := range pools {
		pool := pools[(svc.confirmations.nextHost+i)%len(pools)]
		if last := len(pool.idle) - 1; last >= 0 {
			conn := pool.idle[last]
			pool.idle = pool.idle[:last]
			return conn
		}
	}
	for _, pool := range pools {
		if len(pool.conns) == 0 && pool.queue.dialing == 0 && pool.canDial() {
			pool.dial(svc.lastTenant)
			return nil
		}
	}
	return nil
}

// queryPosition asks a host for its log position: by STAT in a switchover, for what it has received, and otherwise by RESET, which
// takes no slot, for what it has applied.
func (s *Server) queryPosition(conn *hostConn) {
	text := statText
	if conn.pool.service.primary.Nominee == "" {
		text = conn.state.ResetStatement()
	}
	s.counters.confirmationQueries.Add(1)
	conn.confirming, conn.pool.service.confirmations.inVain = true, true
	conn.pendingInternal++
	if _, ok := conn.out.write(wire.AppendQuery(nil, internalRequestID, text)); !ok {
		s.deferred.add(func() { s.connLost(conn) })
	}
}

// statText is the text of a status query.
const statText = "STAT"

// handleConfirmation handles the response to a query for confirmation.
func (s *Server) handleConfirmation(conn *hostConn, response *wire.Response) {
	waiting := &conn.pool.service.confirmations
	conn.confirming = false
	conn.pendingInternal--
	if waiting.conn == conn {
		waiting.conn = nil
	}
	s.releaseConn(conn)
	s.confirmBy(conn.pool, response)
}

// confirmBy forwards the held acknowledgements that the log position in a host's response confirms. Any response of a host that
// counts will do.
func (s *Server) confirmBy(pool *hostPool, response *wire.Response) {
	svc := pool.service
	if len(svc.confirmations.held) == 0 || !slices.Contains(s.confirmingHosts(svc), pool) {
		return
	}
	position := response.Position
	if status, err := wire.ParseHostStatus(response.FirstRow); err == nil && position.Before(status.ReceivedPosition) {
		position = status.ReceivedPosition
	}
	if svc.confirmations.position.Before(position) {
		svc.confirmations.position = position
		s.releaseHeld(svc)
	}
}

// releaseHeld forwards the held acknowledgements that are confirmed, and those that are overdue if the primary still answers.
func (s *Server) releaseHeld(svc *service) {
	waiting, now := &svc.confirmations, s.clock.Time()
	var released, kept []*heldAcknowledgement
	for _, held := range waiting.held {
		switch {
		case !held.isPending():
		case held.isOverdue(now) && held.primaryAnswers(), waiting.position.Contains(held.response.Position):
			released = append(released, held)
		default:
			kept = append(kept, held)
		}
	}
	waiting.held, waiting.inVain = kept, waiting.inVain && len(released) == 0
	for _, held := range released {
		if held.isPending() { // releasing another one may have ended it
			held.statement.attempt.held = false
			s.finishAttempt(held.conn, held.statement, held.response)
		}
	}
}

// forgetConfirmations discards what was confirmed under another primary or nominee.
func (svc *service) forgetConfirmations(previous statemachine.Primary) {
	current := svc.primary
	if previous.Nominee != current.Nominee || previous.Host != current.Host || previous.ChangedIndex != current.ChangedIndex {
		svc.confirmations.position = wire.Position{}
	}
}

// answerTime returns how long the host took to answer an attempt, whenever the answer is forwarded.
func (a *attempt) answerTime() policy.TenthMs { return a.answeredAt - a.sentAt }
