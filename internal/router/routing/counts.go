package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"ferrypitch/policy"
)

// Counters are of what is taken in, sent and answered. Taken is the sum of
// Answered, Throttled, Failed, Gone and those still out.
type Counters struct {
	Taken, Answered, Throttled, Failed, Disconnected      atomic.Int64
	Rejected                                              atomic.Int64 // commands that could not be read
	Dispatched, Probes, Lists, StaleLists, Panics, Stalls atomic.Int64
	HostsAdded, HostsForgotten                            atomic.Int64 // hosts
	ListRequests, ListRequestsFailed                      atomic.Int64 // for the list, and those that brought none or broke off
	Outcomes                                              [policy.Missed + 1]atomic.Int64
}

// LogFields are the counts for a line of the log. What is still out counts what the queue holds, too.
func (r *Router) LogFields() []zap.Field {
	c := &r.Counters
	out := c.Taken.Load() - c.Answered.Load() - c.Throttled.Load() - c.Failed.Load() - c.Disconnected.Load()
	fields := []zap.Field{
		zap.Int64("taken", c.Taken.Load()), zap.Int64("answered", c.Answered.Load()),
		zap.Int64("throttled", c.Throttled.Load()), zap.Int64("failed", c.Failed.Load()),
		zap.Int64("left", c.Disconnected.Load()), zap.Int64("out", out), zap.Int64("refused", c.Rejected.Load()),
		zap.Int64("dispatched", c.Dispatched.Load()), zap.Int64("probes", c.Probes.Load()),
		zap.Int64("lists", c.Lists.Load()), zap.Int64("stale_lists", c.StaleLists.Load()),
		zap.Int64("list_asks", c.ListRequests.Load()), zap.Int64("list_asks_failed", c.ListRequestsFailed.Load()),
		zap.Int64("hosts_held", c.HostsAdded.Load()), zap.Int64("hosts_forgotten", c.HostsForgotten.Load()),
		zap.Int64("panics", c.Panics.Load()), zap.Int64("stalls", c.Stalls.Load()), zap.Int("queued", r.queue.Length()),
	}
	for i := range c.Outcomes {
		fields = append(fields, zap.Int64("outcome_"+policy.Outcome(i).String(), c.Outcomes[i].Load()))
	}
	return append(fields, r.preview.fields()...)
}
