package failover

import (
	"slices"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// move carries out a move whose lead was taken back.
func (h *Coordinator) move(do *Actions, state *statemachine.State, s *service, lead statemachine.Primary, members []string, clear func(uint64) bool, now int64) {
	if lead.Owner != h.self {
		s.propose(do, statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: h.self}}, now)
		return
	}
	if s.started == 0 {
		s.started = now
		h.Log(s.name, "a lead is taken back", lead.Host)
	}
	term := lead.Term + 1
	for _, r := range s.rows {
		if r.sent >= s.started && sane(r.reply.Status.Term, lead) {
			term = max(term, r.reply.Status.Term+1)
		}
	}
	if _, there := state.Hosts[s.called]; !there && !s.calling {
		s.called = "" // it has left: whoever is at its address now has another id
	}
	// One that was named, by whomever, may lead by now.
	least := lead.Term + 1
	if _, there := state.Hosts[lead.Host]; !there {
		least = lead.Term // a new host at its address leads on with its log
	}
	if to, st := s.leading(least, members); to != "" {
		h.ask(do, s, lead.Host, StepDown, st.Term, again, now)
		r, ok := s.rows[lead.Host]
		silent := ok && (r.reply.TimedOut || r.reply.ConnectionRefused) || !ok && now >= s.started+patience
		if !clear(lead.ChangedAt) || !silent && (r.verb != StepDown || r.sent < s.started) {
			return
		}
		// Where the new one was out of reach at once the old primary may have gone on and been acknowledged. Nothing was
		// acknowledged by the new one, since nobody was granted its lead.
		if old, ok := s.answered(lead.Host, StepDown, s.started); !ok || old.Leader || !s.gaveNone || st.Received.Number >= old.Received.Number {
			h.Log(s.name, "leads", to)
			new := statemachine.AppointPrimary{Service: s.name, Host: to, Term: st.Term}
			if s.called == to {
				new.PromotionMs = max(1, s.rows[to].sent-s.calledAt)
			}
			s.propose(do, statemachine.Change{AppointPrimary: &new}, now)
			return
		}
	}
	if s.called != "" && (s.calling || now < s.callEnded+settles) {
		h.look(do, state, s, now) // none other is named before it is clear what became of the call
		return
	}
	if !clear(lead.ChangedAt) {
		return
	}
	if s.clearAt == 0 {
		s.clearAt = now
	}
	// A planned move with writes stopped: the successor has all once it has what the old primary, where it leads on, has now.
	if s.named != "" && s.named == lead.Nominee && s.called == "" && now < s.started+handing {
		old, lives := s.rows[lead.Host]
		if !lives || !old.reply.TimedOut && !old.reply.ConnectionRefused {
			h.ask(do, s, lead.Host, Stat, 0, closing, now)
			h.attend(do, s, lead.Nominee, now)
			at, ok := s.answered(lead.Host, Stat, s.clearAt)
			if st, has := s.answered(lead.Nominee, Stat, s.clearAt); ok && has && at.Leader && st.Received.Number >= at.Received.Number {
				h.call(do, s, lead, lead.Nominee, now)
			}
			return
		}
	}
	// The old primary, where it can be reached, leads no more after this, and its log lacks nothing.
	h.ask(do, s, lead.Host, StepDown, term, again, now)
	old, oldKnown := s.answered(lead.Host, StepDown, s.started)
	if oldKnown && old.Leader {
		oldKnown = false
	}
	s.lacking = nil
	complete, best, most := true, "", wire.Position{}
	consider := func(m string, at wire.Position) {
		at.Term = min(at.Term, lead.Term) // nothing was acknowledged in a term that nobody was granted
		// One that drains is taken only where no other has as much: what it alone received was acknowledged.
		if best == "" || most.Before(at) || most == at && (state.Hosts[best].Draining && !state.Hosts[m].Draining || m == lead.Nominee) {
			best, most = m, at
		}
	}
	for _, m := range members {
		if m == lead.Host {
			continue
		}
		st, ok := s.answered(m, Pause, s.started)
		if ok && s.rows[m].sent < s.clearAt && !h.stands(s, m, Resume, s.rows[m].sent) {
			ok = false // it may have received since, and what it did may have been acknowledged
		}
		if !ok {
			h.ask(do, s, m, Pause, term, again, now)
			if !state.Hosts[m].Missing {
				s.lacking, complete = append(s.lacking, m), false
			}
			continue
		}
		s.paused[m] = true
		consider(m, st.Received)
	}
	if owed := state.UnaccountedHostIDs(s.name); len(owed) > 0 {
		s.lacking, complete = append(s.lacking, owed...), false
	}
	if oldKnown && (!complete || best == "") { // its log will do in place of those that don't answer
		if _, there := state.Hosts[lead.Host]; there {
			consider(lead.Host, old.Received)
		}
		complete = best != "" && most.Number >= old.Received.Number
	}
	if !complete || best == "" || s.rejected[best] > 0 && now < s.rejected[best]+2*patience {
		h.Counters.Waiting++
		return
	}
	if best != lead.Nominee {
		if _, there := state.Hosts[lead.Nominee]; there && s.named != lead.Nominee && now < s.started+2*patience {
			return // an earlier holder may have called: whether that one leads is seen before another is named
		}
		s.named = best
		s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: best, Owner: h.self}}, now)
		return
	}
	h.call(do, s, lead, best, now)
}

// sane says that a term may follow a lead's. A host that tells of one beyond all reason is not believed.
func sane(term uint64, lead statemachine.Primary) bool { return term < lead.Term+farOff }

// leading is the host that was seen to lead in a term of at least so much, the greatest of all.
func (s *service) leading(least uint64, members []string) (to string, at wire.HostStatus) {
	for _, m := range members {
		r, ok := s.rows[m]
		if ok && r.sent >= s.started-2*settles && r.reply.Code == "" && !r.reply.TimedOut && !r.reply.ConnectionRefused &&
			r.reply.Status.Leader && r.reply.Status.Term >= max(least, at.Term+1) && r.reply.Status.Term < least+farOff {
			to, at = m, r.reply.Status
		}
	}
	return to, at
}

// Transition is a service's move as it stands.
type Transition struct {
	From, Nominee      string
	ElapsedMs          int64    // since this member carries it out
	PromotionRequested string   // whom the platform was told to promote
	WaitingFor         []string // hosts that must say what they received, or whose logs are owed, before one can be named
	Planned            bool     // the old primary serves on meanwhile
}

// Transitions are the services on the move, by name.
func (h *Coordinator) Transitions(state *statemachine.State, now int64) map[string]Transition {
	all := map[string]Transition{}
	for name, l := range state.Primaries {
		if s := h.services[name]; s != nil && (l.Revoked || l.Nominee != "") {
			m := Transition{From: l.Host, Nominee: l.Nominee, PromotionRequested: s.called, WaitingFor: slices.Clone(s.lacking), Planned: !l.Revoked}
			if s.started > 0 {
				m.ElapsedMs = now - s.started
			}
			all[name] = m
		}
	}
	return all
}
