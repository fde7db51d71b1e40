package proxy

import (
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
)

const (
	maxWaitingClients    = 2048
	waitingClientTimeout = 900 * time.Millisecond
)

// beginSession handles a client's CONNECT. A session whose route and key are known begins also without a valid lease: each of its
// statements is then served or rejected by what the lease allows at that moment.
func (s *Server) beginSession(client *clientSession, database string) {
	client.database = database
	client.id = s.nextID()
	client.policyKey = formatID(client.id)
	client.idleSince = s.clock.Time()
	_, refused := s.refusalOf(client)
	if refused && !s.configCurrent() && !s.shutdown.started && s.sessions.await(client, s.clock.Time()) {
		return
	}
	s.greet(client)
}

// greetWaitingClients answers the CONNECT of clients that wait for a valid lease, or have waited long enough.
func (s *Server) greetWaitingClients(now time.Time) {
	current := s.configCurrent()
	for client := s.sessions.takeWaiting(now, current); client != nil; client = s.sessions.takeWaiting(now, current) {
		s.greet(client)
	}
}

// greet answers CONNECT: with IDLE if a route has the database and a tenant holds the key, else with an error.
func (s *Server) greet(client *clientSession) {
	if client.closed {
		return
	}
	kind, refused := s.refusalOf(client)
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

// refusalOf is why a session can't begin. That its database or key is unknown is certain only under a valid lease.
func (s *Server) refusalOf(client *clientSession) (kind errcode.Kind, refused bool) {
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
