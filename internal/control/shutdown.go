package control

import "ferrypitch/internal/consensus"

const (
	// defaultGraceMs is the time for a graceful shutdown if the settings do not specify one.
	defaultGraceMs = 6000
	// transferGraceMs is the time that a shutdown waits after its deadline for another member to take over leadership.
	transferGraceMs = 1500
)

// BeginShutdown starts to transfer this member's voting membership to a learner and its leadership to another member (Raft
// dissertation, sections 4.1 and 3.10). The member continues to serve until ShutdownComplete returns true.
func (s *Server) BeginShutdown() {
	graceMs := int64(s.settings.Bounds.GraceS * 1000)
	if graceMs == 0 {
		graceMs = defaultGraceMs
	}
	s.shutdownDeadlineMs = s.clock.Now() + graceMs/2
	s.log.Info("shutting down", "is_leader", s.consensus.IsLeader(), "members", s.consensus.Members())
	s.processReady(s.consensus.Leave(s.clock.Now()))
}

// ShutdownComplete reports whether the process may exit after BeginShutdown. It may if a learner has replaced this member as a
// voter or none can, another member leads, and no forwarded call is pending; or if the deadline and transferGraceMs have passed.
func (s *Server) ShutdownComplete() bool {
	now := s.clock.Now()
	leave := s.consensus.LeaveState()
	switch {
	case leave.Done() && now < s.shutdownDeadlineMs:
		s.shutdownDeadlineMs = now
		s.log.Info("shutdown may complete", "membership_transferred", leave == consensus.LeaveReplaced, "members", s.consensus.Members())
	case !leave.Done() && now < s.shutdownDeadlineMs:
		return false
	case !leave.Done(): // no quorum responds or no learner has caught up: transfer at least the leadership
		s.processReady(s.consensus.TransferLeadership(now))
	}
	return !s.consensus.IsLeader() && len(s.forwarder.pending) == 0 || now > s.shutdownDeadlineMs+transferGraceMs
}
