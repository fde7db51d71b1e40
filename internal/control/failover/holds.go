package failover

import (
	"ferrypitch/internal/control/statemachine"
)

// resumeReplicas has the replicas that a move PAUSEd receive again; true once it need not be waited for. One that is not running
// receives when it starts; one that gives no answer is asked on, and holds up a planned move for a while only.
func (c *Coordinator) resumeReplicas(do *Actions, state *statemachine.State, s *serviceState, lead statemachine.Primary, members []string, now int64) bool {
	if s.resumingChange != lead.ChangedAt {
		s.resumingChange, s.resumeStartedAt = lead.ChangedAt, now
	}
	all := true
	for _, m := range members {
		if m == lead.Host || state.Hosts[m].AddedAt > lead.ChangedAt {
			continue
		}
		r, ok := s.lastResults[m]
		if ok && r.command == Resume && r.sentAt >= s.resumeStartedAt && (r.result.ConnectionRefused || !r.result.TimedOut && r.result.Code == "" &&
			r.result.Status.Held == 0 && c.cannotBeUndone(s, m, Pause, r.sentAt)) {
			continue
		}
		all = false
		every := int64(queryIntervalMs)
		if now > s.resumeStartedAt+replicaWaitMs { // it may be gone for long
			every *= 8
		}
		c.query(do, s, m, Resume, 0, every, now)
	}
	if all {
		c.Counters.Resumed++
		s.propose(do, statemachine.Change{ReplicationResumed: s.name}, now)
		return false
	}
	return now > s.resumeStartedAt+replicaWaitMs
}
