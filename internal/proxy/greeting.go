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

// waitingClient is a session whose database this proxy does not know, and that began while no valid lease said whether the
// configuration is the newest. It waits for a lease for a short time: the route may have been added just now.
type waitingClient struct {
	session   *clientSession
	arrivedAt time.Time
}

// beginSession handles a client's CONNECT. A session whose route is known begins also without a valid lease: each of its
// statements is then served or rejected by what the lease allows at that moment.
func (s *Server) beginSession(client *clientSession, database string) {
	client.database = database
	client.id = s.nextID()
	client.policyKey = formatID(client.id)
	client.idleSince = s.clock.Time()
	known := s.routes[database] != nil
	if !known && !s.configCurrent() && len(s.waiting) < maxWaitingClients && !s.shuttingDown {
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
