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

// waitingClient is a session that began while this proxy had no valid lease. It waits for one for a short time: a client that
// is rejected has to connect again.
type waitingClient struct {
	session   *clientSession
	arrivedAt time.Time
}

// beginSession handles a client's CONNECT.
func (s *Server) beginSession(client *clientSession, database string) {
	client.database = database
	client.id = s.nextID()
	client.policyKey = formatID(client.id)
	if !s.configCurrent() && len(s.waiting) < maxWaitingClients && !s.shuttingDown {
		s.waiting = append(s.waiting, waitingClient{session: client, arrivedAt: s.clock.Time()})
		return
	}
	s.greet(client)
}

// greetWaitingClients answers the CONNECT of clients that wait for a valid lease, or have waited long enough.
func (s *Server) greetWaitingClients(now time.Time) {
	current := s.configCurrent()
	for len(s.waiting) > 0 && (current || now.Sub(s.waiting[0].arrivedAt) > waitingClientTimeout) {
		client := s.waiting[0].session
		s.waiting = s.waiting[1:]
		s.greet(client)
	}
}

// greet answers CONNECT: with IDLE if a route has the database, else with an error.
func (s *Server) greet(client *clientSession) {
	switch {
	case client.closed:
	case s.routes[client.database] != nil:
		s.sessions[client] = struct{}{}
		client.out.write(wire.AppendIdle(nil, stateIdle, wire.Position{}))
	case s.configCurrent():
		s.counters.unknownDatabase.Add(1)
		s.sendFinal(client, s.errorReply(errcode.UnknownDatabase, 0))
	default:
		s.sendFinal(client, s.errorReply(errcode.NoValidLease, 0))
	}
}
