package failover

import (
	"slices"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// failOver carries out a move whose lead was taken back.
func (c *Coordinator) failOver(do *Actions, state *statemachine.State, s *serviceState, lead statemachine.Primary, members []string, clear func(uint64) bool, now int64) {
	if lead.Owner != c.self {
		s.propose(do, statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: c.self}}, now)
		return
	}
	if s.startedAt == 0 {
		s.startedAt = now
		c.Log(s.name, "a lead is taken back", lead.Host)
	}
	term := lead.Term + 1
	for _, r := range s.lastResults {
		if r.sentAt >= s.startedAt && isPlausibleTerm(r.result.Status.Term, lead) {
			term = max(term, r.result.Status.Term+1)
		}
	}
	if _, there := state.Hosts[s.promotedHost]; !there && !s.promotionPending {
		s.promotedHost = "" // it has left: whoever is at its address now has another id
	}
	// One that was named, by whomever, may lead by now.
	least := lead.Term + 1
	if _, there := state.Hosts[lead.Host]; !there {
		least = lead.Term // a new host at its address leads on with its log
	}
	if to, st := s.newestPrimary(least, members); to != "" {
		c.query(do, s, lead.Host, StepDown, st.Term, queryIntervalMs, now)
		r, ok := s.lastResults[lead.Host]
		silent := ok && (r.result.TimedOut || r.result.ConnectionRefused) || !ok && now >= s.startedAt+queryTimeoutMs
		if !clear(lead.ChangedAt) || !silent && (r.command != StepDown || r.sentAt < s.startedAt) {
			return
		}
		// Where the new one was out of reach at once the old primary may have gone on and been acknowledged. Nothing was
		// acknowledged by the new one, since nobody was granted its lead.
		if old, ok := s.successSince(lead.Host, StepDown, s.startedAt); !ok || old.Leader || !s.promotedHostFailed || st.Received.Number >= old.Received.Number {
			c.Log(s.name, "leads", to)
			new := statemachine.AppointPrimary{Service: s.name, Host: to, Term: st.Term}
			if s.promotedHost == to {
				new.PromotionMs = max(1, s.lastResults[to].sentAt-s.promotionSentAt)
			}
			s.propose(do, statemachine.Change{AppointPrimary: &new}, now)
			return
		}
	}
	if s.promotedHost != "" && (s.promotionPending || now < s.promotionEndedAt+promotionTimeoutMs) {
		c.pollPromotedHost(do, state, s, now) // none other is named before it is clear what became of the call
		return
	}
	if !clear(lead.ChangedAt) {
		return
	}
	if s.proxiesCaughtUpAt == 0 {
		s.proxiesCaughtUpAt = now
	}
	// A planned move with writes stopped: the successor has all once it has what the old primary, where it leads on, has now.
	if s.nominated != "" && s.nominated == lead.Nominee && s.promotedHost == "" && now < s.startedAt+replicaWaitMs {
		old, lives := s.lastResults[lead.Host]
		if !lives || !old.result.TimedOut && !old.result.ConnectionRefused {
			c.query(do, s, lead.Host, Stat, 0, fastPollIntervalMs, now)
			c.queryNominee(do, s, lead.Nominee, now)
			at, ok := s.successSince(lead.Host, Stat, s.proxiesCaughtUpAt)
			if st, has := s.successSince(lead.Nominee, Stat, s.proxiesCaughtUpAt); ok && has && at.Leader && st.Received.Number >= at.Received.Number {
				c.requestPromotion(do, s, lead, lead.Nominee, now)
			}
			return
		}
	}
	// The old primary, where it can be reached, leads no more after this, and its log lacks nothing.
	c.query(do, s, lead.Host, StepDown, term, queryIntervalMs, now)
	old, oldKnown := s.successSince(lead.Host, StepDown, s.startedAt)
	if oldKnown && old.Leader {
		oldKnown = false
	}
	s.awaitedHosts = nil
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
		st, ok := s.successSince(m, Pause, s.startedAt)
		if ok && s.lastResults[m].sentAt < s.proxiesCaughtUpAt && !c.cannotBeUndone(s, m, Resume, s.lastResults[m].sentAt) {
			ok = false // it may have received since, and what it did may have been acknowledged
		}
		if !ok {
			c.query(do, s, m, Pause, term, queryIntervalMs, now)
			if !state.Hosts[m].Missing {
				s.awaitedHosts, complete = append(s.awaitedHosts, m), false
			}
			continue
		}
		s.paused[m] = true
		consider(m, st.Received)
	}
	if owed := state.UnaccountedHostIDs(s.name); len(owed) > 0 {
		s.awaitedHosts, complete = append(s.awaitedHosts, owed...), false
	}
	if oldKnown && (!complete || best == "") { // its log will do in place of those that don't answer
		if _, there := state.Hosts[lead.Host]; there {
			consider(lead.Host, old.Received)
		}
		complete = best != "" && most.Number >= old.Received.Number
	}
	if !complete || best == "" || s.rejectedAt[best] > 0 && now < s.rejectedAt[best]+2*queryTimeoutMs {
		c.Counters.Waiting++
		return
	}
	if best != lead.Nominee {
		if _, there := state.Hosts[lead.Nominee]; there && s.nominated != lead.Nominee && now < s.startedAt+2*queryTimeoutMs {
			return // an earlier holder may have called: whether that one leads is seen before another is named
		}
		s.nominated = best
		s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: best, Owner: c.self}}, now)
		return
	}
	c.requestPromotion(do, s, lead, best, now)
}

// isPlausibleTerm says that a term may follow a lead's. A host that tells of one beyond all reason is not believed.
func isPlausibleTerm(term uint64, lead statemachine.Primary) bool { return term < lead.Term+maxTermGap }

// newestPrimary is the host that was seen to lead in a term of at least so much, the greatest of all.
func (s *serviceState) newestPrimary(least uint64, members []string) (to string, at wire.HostStatus) {
	for _, m := range members {
		r, ok := s.lastResults[m]
		if ok && r.sentAt >= s.startedAt-2*promotionTimeoutMs && r.result.Code == "" && !r.result.TimedOut && !r.result.ConnectionRefused &&
			r.result.Status.Leader && r.result.Status.Term >= max(least, at.Term+1) && r.result.Status.Term < least+maxTermGap {
			to, at = m, r.result.Status
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
func (c *Coordinator) Transitions(state *statemachine.State, now int64) map[string]Transition {
	all := map[string]Transition{}
	for name, l := range state.Primaries {
		if s := c.services[name]; s != nil && (l.Revoked || l.Nominee != "") {
			m := Transition{From: l.Host, Nominee: l.Nominee, PromotionRequested: s.promotedHost, WaitingFor: slices.Clone(s.awaitedHosts), Planned: !l.Revoked}
			if s.startedAt > 0 {
				m.ElapsedMs = now - s.startedAt
			}
			all[name] = m
		}
	}
	return all
}
