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

// beginSession handles a client's CONNECT. A session whose route is known begins also without a valid lease: each of its
// statements is then served or rejected by what the lease allows at that moment.
func (s *Server) beginSession(client *clientSession, database string) {
	client.database = database
	client.id = s.nextID()
	client.policyKey = formatID(client.id)
	client.idleSince = s.clock.Time()
	known := s.routes[database] != nil
	if !known && !s.configCurrent() && !s.shutdown.begun && s.sessions.await(client, s.clock.Time()) {
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

// greet answers CONNECT: with IDLE if a route has the database, else with an error.
func (s *Server) greet(client *clientSession) {
	switch {
	case client.closed:
	case s.routes[client.database] != nil:
		s.sessions.open[client] = struct{}{}
		client.out.write(wire.AppendIdle(nil, stateIdle, wire.Position{}))
	case s.configCurrent():
		s.counters.unknownDatabase.Add(1)
		s.sendFinal(client, s.errorReply(errcode.UnknownDatabase, 0))
	default:
		s.sendFinal(client, s.errorReply(errcode.NoValidLease, 0))
	}
}
