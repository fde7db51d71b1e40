package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"ferrypitch/policy"
)

// Counters holds the counters of a Router since the start of the process. Taken is the sum of Answered, Throttled, Failed,
// Disconnected and the open commands.
type Counters struct {
	Taken        atomic.Int64 // commands submitted to the policy
	Answered     atomic.Int64 // commands answered with a row
	Throttled    atomic.Int64 // commands answered with a retryable error
	Failed       atomic.Int64 // commands answered with an error that leaves their effect unknown
	Disconnected atomic.Int64 // commands whose client disconnected before the answer
	Rejected     atomic.Int64 // commands that are malformed or not supported

	Dispatched atomic.Int64                       // commands sent to hosts
	Probes     atomic.Int64                       // health checks sent to hosts
	Outcomes   [policy.Misrouted + 1]atomic.Int64 // dispatches by outcome

	Lists              atomic.Int64 // host lists and list updates applied
	StaleLists         atomic.Int64 // lists ignored because they are older than the current one
	ListRequests       atomic.Int64 // requests for the host list
	ListRequestsFailed atomic.Int64 // requests that returned no list or were interrupted
	HostsAdded         atomic.Int64 // hosts registered with the policy
	HostsRemoved       atomic.Int64 // hosts released by the policy

	Panics atomic.Int64 // panics of the policy
	Stalls atomic.Int64 // times that the process was stalled; see detectStall
}

// LogFields returns the counters as log fields. The open commands ("out") include those that the policy queues.
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
		zap.Int64("hosts_forgotten", c.HostsRemoved.Load()),
		zap.Int64("panics", c.Panics.Load()),
		zap.Int64("stalls", c.Stalls.Load()),
		zap.Int("queued", r.queue.Len()),
	}
	for i := range c.Outcomes {
		fields = append(fields, zap.Int64("outcome_"+policy.Outcome(i).String(), c.Outcomes[i].Load()))
	}
	return append(fields, r.preview.fields()...)
}
