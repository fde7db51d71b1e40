package failover

import (
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// chooseSuccessor is the replica that takes over from a primary that leaves: one that stays, beats, and stands in order of id.
func (c *Coordinator) chooseSuccessor(state *statemachine.State, s *serviceState, lead statemachine.Primary, members []string, now int64) string {
	best := ""
	for _, m := range members {
		host := state.Hosts[m]
		if m == lead.Host || host.Draining || host.Missing || now > c.heartbeats[m].At+2*c.heartbeatIntervalMs+queryTimeoutMs || now < s.rejectedAt[m]+2*queryTimeoutMs && s.rejectedAt[m] > 0 {
			continue
		}
		if best == "" || host.Zone == state.Hosts[lead.Host].Zone && state.Hosts[best].Zone != host.Zone {
			best = m
		}
	}
	return best
}

// switchOver carries out a planned move up to the moment at which the successor leads.
func (c *Coordinator) switchOver(do *Actions, state *statemachine.State, s *serviceState, lead statemachine.Primary, members []string, now int64) {
	if s.startedAt == 0 {
		s.startedAt = now
		c.Log(s.name, "a lead is handed over", lead.Nominee)
	}
	recall := statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: c.self}}
	to, there := state.Hosts[lead.Nominee]
	if c.primaryLost(do, s, lead, now) || !there {
		s.propose(do, recall, now) // what follows finds out where it had come to
		return
	}
	if lead.Owner != c.self {
		s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: lead.Nominee, Owner: c.self}}, now)
		return
	}
	if st, ok := s.successSince(lead.Nominee, Stat, s.startedAt); ok && st.Leader && st.Term > lead.Term || c.heartbeats[lead.Nominee].IsPrimary && c.heartbeats[lead.Nominee].At >= s.startedAt {
		s.propose(do, recall, now)
		return
	}
	if s.promotedHost == "" && now > s.startedAt+2*promotionTimeoutMs || to.Draining {
		s.propose(do, recall, now)
		return
	}
	if s.promotedHost != "" {
		for _, m := range members { // one that started anew receives again, and would have more than the successor
			if m != lead.Host && m != lead.Nominee {
				c.query(do, s, m, Pause, lead.Term+1, nomineePollIntervalMs, now)
			}
		}
		c.pollPromotedHost(do, state, s, now)
		if !s.promotionPending && now > s.promotionEndedAt+promotionTimeoutMs {
			s.propose(do, recall, now)
		}
		return
	}
	if r, ok := s.lastResults[lead.Nominee]; ok && r.sentAt >= s.startedAt && (r.result.ConnectionRefused || r.result.TimedOut) { // another, if there is one
		s.rejectedAt[lead.Nominee] = now
		s.nominated = c.chooseSuccessor(state, s, lead, members, now)
		s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: s.nominated, Owner: c.self}}, now)
		return
	}
	c.queryNominee(do, s, lead.Nominee, now)
	if now < c.leaderSince+staleCommandMs {
		return // what the holder before this one said may run still
	}
	// Nothing is acknowledged that the successor has not received, from here on.
	ready, most := true, wire.Position{}
	for _, m := range members {
		if m == lead.Host || m == lead.Nominee {
			continue
		}
		st, ok := s.successSince(m, Pause, s.startedAt)
		if !ok {
			if r, ok := s.lastResults[m]; ok && r.command == Pause && r.sentAt >= s.startedAt {
				s.propose(do, recall, now) // it may be back before the successor leads, and acknowledge: writes are stopped first
				return
			}
			c.query(do, s, m, Pause, lead.Term+1, queryIntervalMs, now)
			ready = false
			continue
		}
		if !c.cannotBeUndone(s, m, Resume, s.lastResults[m].sentAt) {
			s.propose(do, recall, now) // it may be told to receive again by what was said before: writes are stopped first
			return
		}
		if s.paused[m] = true; most.Before(st.Received) {
			most = st.Received
		}
	}
	if !ready {
		if now > s.startedAt+replicaWaitMs { // then with writes stopped first
			s.propose(do, recall, now)
		}
		return
	}
	st, ok := s.successSince(lead.Nominee, Stat, s.startedAt)
	if !ok || st.Received.Before(most) {
		c.query(do, s, lead.Nominee, Stat, 0, 30, now)
		return
	}
	c.requestPromotion(do, s, lead, lead.Nominee, now)
}

// queryNominee asks a successor where it stands, and has it receive where an earlier try PAUSEd it.
func (c *Coordinator) queryNominee(do *Actions, s *serviceState, to string, now int64) {
	if st, ok := s.successSince(to, Stat, s.startedAt); ok && st.Held > 0 {
		c.query(do, s, to, Resume, 0, fastPollIntervalMs, now)
		return
	}
	c.query(do, s, to, Stat, 0, fastPollIntervalMs, now)
}
