package failover

import (
	"ferrypitch/internal/control/statemachine"
)

// resume has the replicas that a move PAUSEd receive again; true once it need not be waited for. One that is not running
// receives when it starts; one that gives no answer is asked on, and holds up a planned move for a while only.
func (h *Coordinator) resume(do *Actions, state *statemachine.State, s *service, lead statemachine.Primary, members []string, now int64) bool {
	if s.resuming != lead.ChangedAt {
		s.resuming, s.resumeAt = lead.ChangedAt, now
	}
	all := true
	for _, m := range members {
		if m == lead.Host || state.Hosts[m].AddedAt > lead.ChangedAt {
			continue
		}
		r, ok := s.rows[m]
		if ok && r.verb == Resume && r.sent >= s.resumeAt && (r.reply.ConnectionRefused || !r.reply.TimedOut && r.reply.Code == "" &&
			r.reply.Status.Held == 0 && h.stands(s, m, Pause, r.sent)) {
			continue
		}
		all = false
		every := int64(again)
		if now > s.resumeAt+handing { // it may be gone for long
			every *= 8
		}
		h.ask(do, s, m, Resume, 0, every, now)
	}
	if all {
		h.Counters.Resumed++
		s.propose(do, statemachine.Change{ReplicationResumed: s.name}, now)
		return false
	}
	return now > s.resumeAt+handing
}
