package control

import "ferrypitch/internal/consensus"

const (
	// leaderlessReportMs is the time without a leader after which a process logs it. An election takes less than that.
	leaderlessReportMs = 5000
	// reportIntervalMs is the interval at which a condition that persists is logged again.
	reportIntervalMs = 60_000
	// maxMisattributedLogged limits the log lines about messages from other addresses than their senders'.
	maxMisattributedLogged = 64
)

// conditionReport decides when to log a condition that lasts: once after a delay, and then at intervals.
type conditionReport struct {
	holds      bool
	sinceMs    int64
	reportAtMs int64
	reported   bool
}

// update records whether the condition holds. It returns whether to log now that it does, or that it has ended after a log line
// said that it did.
func (r *conditionReport) update(holds bool, delayMs, nowMs int64) (due, ended bool) {
	switch {
	case !holds:
		ended = r.reported
		*r = conditionReport{}
	case !r.holds:
		*r = conditionReport{holds: true, sinceMs: nowMs, reportAtMs: nowMs + delayMs}
	case nowMs >= r.reportAtMs:
		r.reported, r.reportAtMs = true, nowMs+reportIntervalMs
		return true, false
	}
	return false, ended
}

// durationMs returns how long the condition has held; 0 if it does not.
func (r *conditionReport) durationMs(nowMs int64) int64 {
	if !r.holds {
		return 0
	}
	return nowMs - r.sinceMs
}

// reportLeaderless logs if this process has heard from no leader for a long time: as a process that asks to join, whom it has
// asked, and as a member, who has voted for it.
func (s *Server) reportLeaderless(now int64) {
	due, ended := s.leaderless.update(s.consensus.RecentLeader(now) == "", leaderlessReportMs, now)
	if ended {
		s.log.Info("a leader is known again", "leader", s.consensus.Leader(), "term", s.consensus.Term())
	}
	if !due {
		return
	}
	seconds := s.leaderless.durationMs(now) / msPerSecond
	if !s.consensus.IsVoter(s.id) {
		s.log.Warn("no leader has answered the requests to join", "seconds", seconds, "member", s.id, "asked", s.peerAddresses(),
			"requests", s.consensus.JoinRequests)
		return
	}
	status := s.consensus.Status(now)
	s.log.Warn("no leader", "seconds", seconds, "term", status.Term, "members", status.Members, "votes", status.Votes,
		"campaigns", s.consensus.Campaigns, "index", status.LastIndex)
}

// misattributed identifies the messages of a type that come from an address other than their sender's.
type misattributed struct {
	from        string
	sender      consensus.ID
	messageType consensus.MessageType
}

// discardMisattributed discards a message that did not come from its sender's address, and logs the first of its kind.
func (s *Server) discardMisattributed(from string, message *consensus.Message) {
	s.discard(messageWrongSender)
	kind := misattributed{from: from, sender: message.From, messageType: message.Type}
	if _, logged := s.misattributed[kind]; logged || len(s.misattributed) >= maxMisattributedLogged {
		return
	}
	s.misattributed[kind] = struct{}{}
	s.log.Warn("discarding messages that do not come from their sender's address", "type", kind.messageType, "sender", kind.sender, "from", from)
}
