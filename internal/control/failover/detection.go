package failover

import (
	"ferrypitch/internal/control/statemachine"
)

// Beat is what a host last said of itself.
type Beat struct {
	At     int64
	Leader bool
}

// Beat takes in a host's beat.
func (h *Hoist) Beat(host string, leader bool, now int64) { h.beats[host] = Beat{now, leader} }

// Beaten is a host's last beat.
func (h *Hoist) Beaten(host string) Beat { return h.beats[host] }

// Forget drops a host that left.
func (h *Hoist) Forget(host string) {
	delete(h.beats, host)
	for _, s := range h.services {
		delete(s.doubted, order{host, Pause})
		delete(s.doubted, order{host, Resume})
	}
}

// Suspect takes in a router's word that it can't reach a service's primary; now is when it came.
func (h *Hoist) Suspect(router, name, host string, now int64) {
	s := h.service(name)
	if s.of != host {
		s.of, s.strikes = host, 0
		clear(s.suspect)
	}
	if len(s.suspect) == 0 {
		h.Counts.Suspected++
	}
	s.suspect[router] = now
}

// first finds who leads a service that none was ever known to lead: a host says so, and is asked for its term.
func (h *Hoist) first(do *Todo, s *service, members []string, now int64) {
	best, term := "", uint64(0)
	for _, m := range members {
		if !h.beats[m].Leader {
			continue
		}
		if r, ok := s.rows[m]; ok && now < r.at+2*patience && !r.reply.Silent && !r.reply.Refused && r.reply.Status.Leader {
			if r.reply.Status.Term > term || best == "" {
				best, term = m, r.reply.Status.Term
			}
			continue
		}
		h.ask(do, s, m, Stat, 0, again, now)
	}
	if best != "" {
		s.propose(do, statemachine.Change{Lead: &statemachine.NewLead{Service: s.name, Host: best, Term: term}}, now)
	}
}

// watch looks after a service that is led: is its primary there, and does it stay?
func (h *Hoist) watch(do *Todo, state *statemachine.State, s *service, lead statemachine.Lead, members []string, now int64) {
	primary, there := state.Hosts[lead.Host]
	s.settle()
	if !there || h.lost(do, s, lead, now) {
		h.Counts.Lost++
		s.why = "lost"
		s.propose(do, statemachine.Change{Recall: &statemachine.Recall{Service: s.name, Holder: h.self}}, now)
		return
	}
	for _, m := range members { // one that was promoted late leads now, whoever is said to
		if m == lead.Host || !h.beats[m].Leader || h.beats[m].At < h.since {
			continue
		}
		if st, ok := s.answered(m, Stat, now-2*again); ok && st.Leader && st.Term > lead.Term && sane(st.Term, lead) {
			s.propose(do, statemachine.Change{Recall: &statemachine.Recall{Service: s.name, Holder: h.self}}, now)
			return
		}
		h.ask(do, s, m, Stat, 0, 4*again, now)
	}
	h.missing(do, state, s, lead, members, now)
	if lead.Paused && !h.resume(do, state, s, lead, members, now) {
		return // what is to be PAUSEd next must not be told to go on by what is still out
	}
	if primary.Draining && len(state.OwedOf(s.name)) == 0 {
		if to := h.successor(state, s, lead, members, now); to != "" {
			h.Counts.Planned++
			s.named = to
			s.why = "drains"
			s.propose(do, statemachine.Change{Named: &statemachine.Named{Service: s.name, Host: to, Holder: h.self}}, now)
		}
	}
}

// missing finds replicas whose processes are gone, so that the loss of the primary need not wait for them: one that left,
// and one whose machine has refused for a while. What it alone had received others must have since: another replica has
// reached where the primary stood after that. A replica that is silent is never taken for gone.
func (h *Hoist) missing(do *Todo, state *statemachine.State, s *service, lead statemachine.Lead, members []string, now int64) {
	for _, m := range state.OwedOf(s.name) {
		if s.refuses[m] == 0 {
			s.refuses[m] = now
		}
		h.overtaken(do, state, s, lead, members, m, now)
	}
	for _, m := range members {
		if m == lead.Host || state.Hosts[m].Missing || now < max(h.beats[m].At, h.since)+2*h.beatMs+patience {
			delete(s.refuses, m)
			continue
		}
		h.ask(do, s, m, Stat, 0, 4*again, now)
		r, ok := s.rows[m]
		if !ok || !r.reply.Refused || now > r.at+8*again {
			delete(s.refuses, m)
			continue
		}
		if s.refuses[m] == 0 {
			s.refuses[m] = now
		}
		if now >= s.refuses[m]+believed {
			h.overtaken(do, state, s, lead, members, m, now)
		}
	}
}

// overtaken notes in the log that nothing is owed to a host that is gone, once another replica has all that it had.
func (h *Hoist) overtaken(do *Todo, state *statemachine.State, s *service, lead statemachine.Lead, members []string, m string, now int64) {
	since := s.refuses[m]
	at, ok := s.answered(lead.Host, Stat, since)
	if !ok {
		h.ask(do, s, lead.Host, Stat, 0, again, now)
		return
	}
	if !at.Leader {
		return
	}
	for _, o := range members {
		if o == m || o == lead.Host || state.Hosts[o].Missing {
			continue
		}
		st, ok := s.answered(o, Stat, s.rows[lead.Host].sent)
		if ok && !st.Received.Before(at.Received) {
			h.Log(s.name, "a replica is gone, and others have all that it had", m)
			h.Counts.Missing++
			delete(s.refuses, m)
			s.propose(do, statemachine.Change{Missing: m}, now)
			return
		}
		h.ask(do, s, o, Stat, 0, again, now)
	}
}

// lost says whether a primary is given up. Routers that can't reach it, or beats that stopped, have it asked; it is
// lost once it gave no answer twice in a row.
func (h *Hoist) lost(do *Todo, s *service, lead statemachine.Lead, now int64) bool {
	if s.of != lead.Host {
		s.of, s.strikes = lead.Host, 0
		clear(s.suspect)
	}
	for router, at := range s.suspect {
		if now > at+believed {
			delete(s.suspect, router)
		}
	}
	since := max(h.beats[lead.Host].At, h.since)
	if len(s.suspect) == 0 && now < since+2*h.beatMs+patience {
		s.strikes, s.doubtAt = 0, 0
		return false
	}
	if s.doubtAt == 0 {
		s.doubtAt = now
	}
	if a := s.beside; a != nil && now >= a.at+2*patience {
		s.beside = nil
	}
	if r, ok := s.rows[lead.Host]; ok && r.verb == Stat && r.sent >= s.doubtAt && r.sent > s.struckAt {
		s.struckAt = r.sent
		switch {
		case !r.reply.Refused && !r.reply.Silent:
			s.strikes, s.doubtAt = 0, 0
			h.Counts.Cleared++
			clear(s.suspect)
			if len(s.suspect) == 0 && r.reply.Status.Term == lead.Term && !r.reply.Status.Leader && r.reply.Code == "" {
				return true // it leads no more
			}
			h.beats[lead.Host] = Beat{now, h.beats[lead.Host].Leader}
			return false
		default:
			s.strikes++
		}
	}
	if s.strikes >= 2 {
		s.strikes = 0
		return true
	}
	if a := s.questions[lead.Host]; a != nil && a.question.Verb == Stat && s.beside == nil && now >= a.at+hasten && now < a.at+patience {
		h.serial++
		q := Question{s.name, lead.Host, Stat, 0, h.view, h.serial}
		s.beside = &asked{q, now}
		do.Questions = append(do.Questions, q)
		return false
	}
	h.ask(do, s, lead.Host, Stat, 0, twice, now)
	return false
}
