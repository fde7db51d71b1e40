package failover

import (
	"ferrypitch/internal/control/statemachine"
)

// HostHeartbeat is what a host last said of itself.
type HostHeartbeat struct {
	At        int64
	IsPrimary bool
}

// Heartbeat takes in a host's beat.
func (h *Coordinator) Heartbeat(host string, leader bool, now int64) {
	h.beats[host] = HostHeartbeat{now, leader}
}

// LastHeartbeat is a host's last beat.
func (h *Coordinator) LastHeartbeat(host string) HostHeartbeat { return h.beats[host] }

// ForgetHost drops a host that left.
func (h *Coordinator) ForgetHost(host string) {
	delete(h.beats, host)
	for _, s := range h.services {
		delete(s.doubted, order{host, Pause})
		delete(s.doubted, order{host, Resume})
	}
}

// SuspectPrimary takes in a router's word that it can't reach a service's primary; now is when it came.
func (h *Coordinator) SuspectPrimary(router, name, host string, now int64) {
	s := h.service(name)
	if s.of != host {
		s.of, s.strikes = host, 0
		clear(s.suspect)
	}
	if len(s.suspect) == 0 {
		h.Counters.Suspected++
	}
	s.suspect[router] = now
}

// first finds who leads a service that none was ever known to lead: a host says so, and is asked for its term.
func (h *Coordinator) first(do *Actions, s *service, members []string, now int64) {
	best, term := "", uint64(0)
	for _, m := range members {
		if !h.beats[m].IsPrimary {
			continue
		}
		if r, ok := s.rows[m]; ok && now < r.at+2*patience && !r.reply.TimedOut && !r.reply.ConnectionRefused && r.reply.Status.Leader {
			if r.reply.Status.Term > term || best == "" {
				best, term = m, r.reply.Status.Term
			}
			continue
		}
		h.ask(do, s, m, Stat, 0, again, now)
	}
	if best != "" {
		s.propose(do, statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: s.name, Host: best, Term: term}}, now)
	}
}

// watch looks after a service that is led: is its primary there, and does it stay?
func (h *Coordinator) watch(do *Actions, state *statemachine.State, s *service, lead statemachine.Primary, members []string, now int64) {
	primary, there := state.Hosts[lead.Host]
	s.settle()
	if !there || h.lost(do, s, lead, now) {
		h.Counters.Lost++
		s.why = "lost"
		s.propose(do, statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: h.self}}, now)
		return
	}
	for _, m := range members { // one that was promoted late leads now, whoever is said to
		if m == lead.Host || !h.beats[m].IsPrimary || h.beats[m].At < h.since {
			continue
		}
		if st, ok := s.answered(m, Stat, now-2*again); ok && st.Leader && st.Term > lead.Term && sane(st.Term, lead) {
			s.propose(do, statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: h.self}}, now)
			return
		}
		h.ask(do, s, m, Stat, 0, 4*again, now)
	}
	h.missing(do, state, s, lead, members, now)
	if lead.ReplicasPaused && !h.resume(do, state, s, lead, members, now) {
		return // what is to be PAUSEd next must not be told to go on by what is still out
	}
	if primary.Draining && len(state.UnaccountedHostIDs(s.name)) == 0 {
		if to := h.successor(state, s, lead, members, now); to != "" {
			h.Counters.Planned++
			s.named = to
			s.why = "drains"
			s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: to, Owner: h.self}}, now)
		}
	}
}

// missing finds replicas whose processes are gone, so that the loss of the primary need not wait for them: one that left,
// and one whose machine has refused for a while. What it alone had received others must have since: another replica has
// reached where the primary stood after that. A replica that is silent is never taken for gone.
func (h *Coordinator) missing(do *Actions, state *statemachine.State, s *service, lead statemachine.Primary, members []string, now int64) {
	for _, m := range state.UnaccountedHostIDs(s.name) {
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
		if !ok || !r.reply.ConnectionRefused || now > r.at+8*again {
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
func (h *Coordinator) overtaken(do *Actions, state *statemachine.State, s *service, lead statemachine.Primary, members []string, m string, now int64) {
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
			h.Counters.Missing++
			delete(s.refuses, m)
			s.propose(do, statemachine.Change{MarkMissing: m}, now)
			return
		}
		h.ask(do, s, o, Stat, 0, again, now)
	}
}

// lost says whether a primary is given up. Routers that can't reach it, or beats that stopped, have it asked; it is
// lost once it gave no answer twice in a row.
func (h *Coordinator) lost(do *Actions, s *service, lead statemachine.Primary, now int64) bool {
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
		case !r.reply.ConnectionRefused && !r.reply.TimedOut:
			s.strikes, s.doubtAt = 0, 0
			h.Counters.Cleared++
			clear(s.suspect)
			if len(s.suspect) == 0 && r.reply.Status.Term == lead.Term && !r.reply.Status.Leader && r.reply.Code == "" {
				return true // it leads no more
			}
			h.beats[lead.Host] = HostHeartbeat{now, h.beats[lead.Host].IsPrimary}
			return false
		default:
			s.strikes++
		}
	}
	if s.strikes >= 2 {
		s.strikes = 0
		return true
	}
	if a := s.questions[lead.Host]; a != nil && a.question.Command == Stat && s.beside == nil && now >= a.at+hasten && now < a.at+patience {
		h.serial++
		q := HostQuery{s.name, lead.Host, Stat, 0, h.view, h.serial}
		s.beside = &asked{q, now}
		do.Queries = append(do.Queries, q)
		return false
	}
	h.ask(do, s, lead.Host, Stat, 0, twice, now)
	return false
}
