package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"ferrypitch/policy"
)

// Counters count since the start of the process. Taken is the sum of Answered, Throttled, Failed, Disconnected and the
// commands that are still open.
type Counters struct {
	Taken        atomic.Int64 // commands that the module has taken
	Answered     atomic.Int64 // commands answered with a row
	Throttled    atomic.Int64 // commands answered with an error that says to retry later
	Failed       atomic.Int64 // commands answered with an error
	Disconnected atomic.Int64 // commands whose client has gone
	Rejected     atomic.Int64 // commands that cannot be parsed, or are not served here

	Dispatched atomic.Int64 // commands sent to hosts
	Probes     atomic.Int64 // health checks sent to hosts
	Outcomes   [policy.Misrouted + 1]atomic.Int64

	Lists              atomic.Int64 // lists and changes taken in
	StaleLists         atomic.Int64 // older than the current one, and ignored
	ListRequests       atomic.Int64
	ListRequestsFailed atomic.Int64 // requests that brought no list or broke off
	HostsAdded         atomic.Int64
	HostsForgotten     atomic.Int64

	Panics atomic.Int64 // of the module
	Stalls atomic.Int64 // times that the process stood still
}

// LogFields returns the counters for a line of the log. The open commands include those that wait in the queue.
func (r *Router) LogFields() []zap.Field {
	c := &r.Counters
	open := c.Taken.Load() - c.Answered.Load() - c.Throttled.Load() - c.Failed.Load() - c.Disconnected.Load()
	fields := []zap.Field{
		zap.Int64("taken", c.Taken.Load()),
		zap.Int64("answered", c.Answered.Load()),
		zap.Int64("throttled", c.Throttled.Load()),
		zap.Int64("failed", c.Failed.Load()),
		zap.Int64("left", c.Disconnected.Load()),
		zap.Int64("out", open),
		zap.Int64("refused", c.Rejected.Load()),
		zap.Int64("dispatched", c.Dispatched.Load()),
		zap.Int64("probes", c.Probes.Load()),
		zap.Int64("lists", c.Lists.Load()),
		zap.Int64("stale_lists", c.StaleLists.Load()),
		zap.Int64("list_asks", c.ListRequests.Load()),
		zap.Int64("list_asks_failed", c.ListRequestsFailed.Load()),
		zap.Int64("hosts_held", c.HostsAdded.Load()),
		zap.Int64("hosts_forgotten", c.HostsForgotten.Load()),
		zap.Int64("panics", c.Panics.Load()),
		zap.Int64("stalls", c.Stalls.Load()),
		zap.Int("queued", r.queue.Len()),
	}
	for i := range c.Outcomes {
		fields = append(fields, zap.Int64("outcome_"+policy.Outcome(i).String(), c.Outcomes[i].Load()))
	}
	return append(fields, r.preview.fields()...)
}
