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
func (c *Coordinator) Heartbeat(host string, leader bool, now int64) {
	c.heartbeats[host] = HostHeartbeat{now, leader}
}

// LastHeartbeat is a host's last beat.
func (c *Coordinator) LastHeartbeat(host string) HostHeartbeat { return c.heartbeats[host] }

// ForgetHost drops a host that left.
func (c *Coordinator) ForgetHost(host string) {
	delete(c.heartbeats, host)
	for _, s := range c.services {
		delete(s.uncertainCommands, hostCommand{host, Pause})
		delete(s.uncertainCommands, hostCommand{host, Resume})
	}
}

// SuspectPrimary takes in a router's word that it can't reach a service's primary; now is when it came.
func (c *Coordinator) SuspectPrimary(router, name, host string, now int64) {
	s := c.service(name)
	if s.suspectedHost != host {
		s.suspectedHost, s.failedProbes = host, 0
		clear(s.suspicions)
	}
	if len(s.suspicions) == 0 {
		c.Counters.Suspected++
	}
	s.suspicions[router] = now
}

// discoverPrimary finds who leads a service that none was ever known to lead: a host says so, and is asked for its term.
func (c *Coordinator) discoverPrimary(do *Actions, s *serviceState, members []string, now int64) {
	best, term := "", uint64(0)
	for _, m := range members {
		if !c.heartbeats[m].IsPrimary {
			continue
		}
		if r, ok := s.lastResults[m]; ok && now < r.receivedAt+2*queryTimeoutMs && !r.result.TimedOut && !r.result.ConnectionRefused && r.result.Status.Leader {
			if r.result.Status.Term > term || best == "" {
				best, term = m, r.result.Status.Term
			}
			continue
		}
		c.query(do, s, m, Stat, 0, queryIntervalMs, now)
	}
	if best != "" {
		s.propose(do, statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: s.name, Host: best, Term: term}}, now)
	}
}

// monitorPrimary looks after a service that is led: is its primary there, and does it stay?
func (c *Coordinator) monitorPrimary(do *Actions, state *statemachine.State, s *serviceState, lead statemachine.Primary, members []string, now int64) {
	primary, there := state.Hosts[lead.Host]
	s.resetTransition()
	if !there || c.primaryLost(do, s, lead, now) {
		c.Counters.Lost++
		s.why = "lost"
		s.propose(do, statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: c.self}}, now)
		return
	}
	for _, m := range members { // one that was promoted late leads now, whoever is said to
		if m == lead.Host || !c.heartbeats[m].IsPrimary || c.heartbeats[m].At < c.leaderSince {
			continue
		}
		if st, ok := s.successSince(m, Stat, now-2*queryIntervalMs); ok && st.Leader && st.Term > lead.Term && isPlausibleTerm(st.Term, lead) {
			s.propose(do, statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: s.name, Owner: c.self}}, now)
			return
		}
		c.query(do, s, m, Stat, 0, 4*queryIntervalMs, now)
	}
	c.markMissingReplicas(do, state, s, lead, members, now)
	if lead.ReplicasPaused && !c.resumeReplicas(do, state, s, lead, members, now) {
		return // what is to be PAUSEd next must not be told to go on by what is still out
	}
	if primary.Draining && len(state.UnaccountedHostIDs(s.name)) == 0 {
		if to := c.chooseSuccessor(state, s, lead, members, now); to != "" {
			c.Counters.Planned++
			s.nominated = to
			s.why = "drains"
			s.propose(do, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: s.name, Host: to, Owner: c.self}}, now)
		}
	}
}

// markMissingReplicas finds replicas whose processes are gone, so that the loss of the primary need not wait for them: one that left,
// and one whose machine has refused for a while. What it alone had received others must have since: another replica has
// reached where the primary stood after that. A replica that is silent is never taken for gone.
func (c *Coordinator) markMissingReplicas(do *Actions, state *statemachine.State, s *serviceState, lead statemachine.Primary, members []string, now int64) {
	for _, m := range state.UnaccountedHostIDs(s.name) {
		if s.refusingSince[m] == 0 {
			s.refusingSince[m] = now
		}
		c.markMissingOnceOvertaken(do, state, s, lead, members, m, now)
	}
	for _, m := range members {
		if m == lead.Host || state.Hosts[m].Missing || now < max(c.heartbeats[m].At, c.leaderSince)+2*c.heartbeatIntervalMs+queryTimeoutMs {
			delete(s.refusingSince, m)
			continue
		}
		c.query(do, s, m, Stat, 0, 4*queryIntervalMs, now)
		r, ok := s.lastResults[m]
		if !ok || !r.result.ConnectionRefused || now > r.receivedAt+8*queryIntervalMs {
			delete(s.refusingSince, m)
			continue
		}
		if s.refusingSince[m] == 0 {
			s.refusingSince[m] = now
		}
		if now >= s.refusingSince[m]+suspicionTTLMs {
			c.markMissingOnceOvertaken(do, state, s, lead, members, m, now)
		}
	}
}

// markMissingOnceOvertaken notes in the log that nothing is owed to a host that is gone, once another replica has all that it had.
func (c *Coordinator) markMissingOnceOvertaken(do *Actions, state *statemachine.State, s *serviceState, lead statemachine.Primary, members []string, m string, now int64) {
	since := s.refusingSince[m]
	at, ok := s.successSince(lead.Host, Stat, since)
	if !ok {
		c.query(do, s, lead.Host, Stat, 0, queryIntervalMs, now)
		return
	}
	if !at.Leader {
		return
	}
	for _, o := range members {
		if o == m || o == lead.Host || state.Hosts[o].Missing {
			continue
		}
		st, ok := s.successSince(o, Stat, s.lastResults[lead.Host].sentAt)
		if ok && !st.Received.Before(at.Received) {
			c.Log(s.name, "a replica is gone, and others have all that it had", m)
			c.Counters.Missing++
			delete(s.refusingSince, m)
			s.propose(do, statemachine.Change{MarkMissing: m}, now)
			return
		}
		c.query(do, s, o, Stat, 0, queryIntervalMs, now)
	}
}

// primaryLost says whether a primary is given up. Routers that can't reach it, or beats that stopped, have it asked; it is
// lost once it gave no answer twice in a row.
func (c *Coordinator) primaryLost(do *Actions, s *serviceState, lead statemachine.Primary, now int64) bool {
	if s.suspectedHost != lead.Host {
		s.suspectedHost, s.failedProbes = lead.Host, 0
		clear(s.suspicions)
	}
	for router, at := range s.suspicions {
		if now > at+suspicionTTLMs {
			delete(s.suspicions, router)
		}
	}
	since := max(c.heartbeats[lead.Host].At, c.leaderSince)
	if len(s.suspicions) == 0 && now < since+2*c.heartbeatIntervalMs+queryTimeoutMs {
		s.failedProbes, s.suspectedSince = 0, 0
		return false
	}
	if s.suspectedSince == 0 {
		s.suspectedSince = now
	}
	if a := s.hedgedQuery; a != nil && now >= a.sentAt+2*queryTimeoutMs {
		s.hedgedQuery = nil
	}
	if r, ok := s.lastResults[lead.Host]; ok && r.command == Stat && r.sentAt >= s.suspectedSince && r.sentAt > s.lastProbeSentAt {
		s.lastProbeSentAt = r.sentAt
		switch {
		case !r.result.ConnectionRefused && !r.result.TimedOut:
			s.failedProbes, s.suspectedSince = 0, 0
			c.Counters.Cleared++
			clear(s.suspicions)
			if len(s.suspicions) == 0 && r.result.Status.Term == lead.Term && !r.result.Status.Leader && r.result.Code == "" {
				return true // it leads no more
			}
			c.heartbeats[lead.Host] = HostHeartbeat{now, c.heartbeats[lead.Host].IsPrimary}
			return false
		default:
			s.failedProbes++
		}
	}
	if s.failedProbes >= 2 {
		s.failedProbes = 0
		return true
	}
	if a := s.pendingQueries[lead.Host]; a != nil && a.query.Command == Stat && s.hedgedQuery == nil && now >= a.sentAt+hedgeDelayMs && now < a.sentAt+queryTimeoutMs {
		c.lastSerial++
		q := HostQuery{s.name, lead.Host, Stat, 0, c.leaderTerm, c.lastSerial}
		s.hedgedQuery = &pendingQuery{q, now}
		do.Queries = append(do.Queries, q)
		return false
	}
	c.query(do, s, lead.Host, Stat, 0, suspectProbeIntervalMs, now)
	return false
}
