package proxy

import (
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
)

const (
	maxWaitingClients    = 2048                   // maximum number of clients whose CONNECT waits for a valid lease
	waitingClientTimeout = 900 * time.Millisecond // time after which such a CONNECT is answered without a valid lease
)

// beginSession handles a client's CONNECT. If its route and key are known, the session begins even without a valid lease: the lease
// is checked again for each statement. Otherwise the CONNECT may wait for a valid lease.
func (s *Server) beginSession(client *clientSession, database string) {
	client.database = database
	client.id = s.nextID()
	client.policyKey = formatID(client.id)
	client.idleSince = s.clock.Time()
	_, refused := s.connectRejection(client)
	if refused && !s.configCurrent() && !s.shutdown.started && s.sessions.addWaiting(client, s.clock.Time()) {
		return
	}
	s.answerConnect(client)
}

// answerWaitingClients answers waiting CONNECTs: all of them if the configuration is current, otherwise those that have timed out.
func (s *Server) answerWaitingClients(now time.Time) {
	current := s.configCurrent()
	for client := s.sessions.takeWaiting(now, current); client != nil; client = s.sessions.takeWaiting(now, current) {
		s.answerConnect(client)
	}
}

// answerConnect answers CONNECT: with IDLE if the database has a route and a tenant holds the key, otherwise with an error.
func (s *Server) answerConnect(client *clientSession) {
	if client.closed {
		return
	}
	kind, refused := s.connectRejection(client)
	if !refused {
		s.sessions.open[client] = struct{}{}
		client.out.write(wire.AppendIdle(nil, stateIdle, wire.Position{}))
		return
	}
	switch kind {
	case errcode.UnknownDatabase:
		s.counters.unknownDatabase.Add(1)
	case errcode.UnknownKey:
		s.counters.deniedSessions.Add(1)
	}
	s.sendFinal(client, s.errorReply(kind, 0))
}

// connectRejection returns whether and with which error CONNECT is rejected. An unknown database or key is final only under a valid
// lease, since the configuration may be outdated otherwise.
func (s *Server) connectRejection(client *clientSession) (kind errcode.Kind, refused bool) {
	r := s.routes[client.database]
	admitted := false
	if r != nil {
		_, admitted = s.admit(client, r)
	}
	switch {
	case admitted:
		return kind, false
	case !s.configCurrent():
		return errcode.NoValidLease, true
	case r == nil:
		return errcode.UnknownDatabase, true
	}
	return errcode.UnknownKey, true
}
