package control

import "ferrypitch/internal/consensus"

const (
	// defaultGraceMs is the time for a graceful shutdown where the settings name none.
	defaultGraceMs = 6000
	// transferGraceMs is how long a shutdown waits beyond its deadline for another member to take over leadership.
	transferGraceMs = 1500
)

// BeginShutdown transfers this member's voting membership to a learner and its leadership to another member (Raft 4.1 and 3.10).
// The member serves on until ShutdownComplete.
func (s *Server) BeginShutdown() {
	graceMs := int64(s.settings.Bounds.GraceS * 1000)
	if graceMs == 0 {
		graceMs = defaultGraceMs
	}
	s.leaveDeadlineMs = s.clock.Now() + graceMs/2
	s.log.Info("shutting down", "is_leader", s.consensus.IsLeader(), "members", s.consensus.Members())
	s.carryOut(s.consensus.Leave(s.clock.Now()))
}

// ShutdownComplete reports whether the process may exit after BeginShutdown: a learner votes in its place or none can, another
// member leads, and no forwarded call is pending; or the time for this is over.
func (s *Server) ShutdownComplete() bool {
	now := s.clock.Now()
	leave := s.consensus.LeaveState()
	switch {
	case leave.Done() && now < s.leaveDeadlineMs:
		s.leaveDeadlineMs = now
		s.log.Info("shutdown may complete", "membership_transferred", leave == consensus.LeaveReplaced, "members", s.consensus.Members())
	case !leave.Done() && now < s.leaveDeadlineMs:
		return false
	case !leave.Done(): // no majority answers, or no learner has caught up: at least the leadership is transferred
		s.carryOut(s.consensus.TransferLeadership(now))
	}
	return !s.consensus.IsLeader() && len(s.forwarder.pending) == 0 || now > s.leaveDeadlineMs+transferGraceMs
}
