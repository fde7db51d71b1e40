package failover

import (
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// successor is the replica that takes over from a primary that leaves: one that stays, beats, and stands in order of id.
func (h *Coordinator) successor(state *statemachine.State, s *service, lead statemachine.Primary, members []string, now int64) string {
	best := ""
	for _, m := range members {
		host := state.Hosts[m]
		if m == lead.Host || host.Draining || host.Missing || now > h.beats[m].At+2*h.beatMs+patience || now < s.rejected[m]+2*patience && s.rejected[m] > 0 {
			continue
		}
		if best == "" || host.Zone == state.Hosts[lead.Host].Zone && state.Hosts[best].Zone != host.Zone {
			best = m
		}
	}
	return best
}

// handOver carries out a planned move up to the moment at which the successor leads.
func (h *Coordinator) handOver(do *Actions, state *statemachine.State, s *service, lead statemachine.Primary, members []string, now int64) {
	if s.started == 0 {
		s.started = now
		h.Log(s.name, "a lead is handed over", lead.Nominee)
	}
	recall := statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: h.self}}
	to, there := state.Hosts[lead.Nominee]
	if h.lost(do, s, lead, now) || !there {
		s.propose(do, recall, now) // what follows finds out where it had come to
		return
	}
	if lead.Owner != h.self {
		s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: lead.Nominee, Owner: h.self}}, now)
		return
	}
	if st, ok := s.answered(lead.Nominee, Stat, s.started); ok && st.Leader && st.Term > lead.Term || h.beats[lead.Nominee].IsPrimary && h.beats[lead.Nominee].At >= s.started {
		s.propose(do, recall, now)
		return
	}
	if s.called == "" && now > s.started+2*settles || to.Draining {
		s.propose(do, recall, now)
		return
	}
	if s.called != "" {
		for _, m := range members { // one that started anew receives again, and would have more than the successor
			if m != lead.Host && m != lead.Nominee {
				h.ask(do, s, m, Pause, lead.Term+1, quick, now)
			}
		}
		h.look(do, state, s, now)
		if !s.calling && now > s.callEnded+settles {
			s.propose(do, recall, now)
		}
		return
	}
	if r, ok := s.rows[lead.Nominee]; ok && r.sent >= s.started && (r.reply.ConnectionRefused || r.reply.TimedOut) { // another, if there is one
		s.rejected[lead.Nominee] = now
		s.named = h.successor(state, s, lead, members, now)
		s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: s.named, Owner: h.self}}, now)
		return
	}
	h.attend(do, s, lead.Nominee, now)
	if now < h.since+lingers {
		return // what the holder before this one said may run still
	}
	// Nothing is acknowledged that the successor has not received, from here on.
	ready, most := true, wire.Position{}
	for _, m := range members {
		if m == lead.Host || m == lead.Nominee {
			continue
		}
		st, ok := s.answered(m, Pause, s.started)
		if !ok {
			if r, ok := s.rows[m]; ok && r.verb == Pause && r.sent >= s.started {
				s.propose(do, recall, now) // it may be back before the successor leads, and acknowledge: writes are stopped first
				return
			}
			h.ask(do, s, m, Pause, lead.Term+1, again, now)
			ready = false
			continue
		}
		if !h.stands(s, m, Resume, s.rows[m].sent) {
			s.propose(do, recall, now) // it may be told to receive again by what was said before: writes are stopped first
			return
		}
		if s.paused[m] = true; most.Before(st.Received) {
			most = st.Received
		}
	}
	if !ready {
		if now > s.started+handing { // then with writes stopped first
			s.propose(do, recall, now)
		}
		return
	}
	st, ok := s.answered(lead.Nominee, Stat, s.started)
	if !ok || st.Received.Before(most) {
		h.ask(do, s, lead.Nominee, Stat, 0, 30, now)
		return
	}
	h.call(do, s, lead, lead.Nominee, now)
}

// attend asks a successor where it stands, and has it receive where an earlier try PAUSEd it.
func (h *Coordinator) attend(do *Actions, s *service, to string, now int64) {
	if st, ok := s.answered(to, Stat, s.started); ok && st.Held > 0 {
		h.ask(do, s, to, Resume, 0, closing, now)
		return
	}
	h.ask(do, s, to, Stat, 0, closing, now)
}
