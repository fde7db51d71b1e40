package routing

import (
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/catalog"
	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

// Units and limits of a forwarder's reports to planners.
const (
	reportUnitsPerWork = 1000 // work is reported in thousandths
)

// host is a database host: its entry in the host list, its connections, and the observations from its answers for the next
// report to planners.
type host struct {
	view.Host                // entry in the host list
	node        *policy.Host // the policy's handle of the host
	connections *transport.Host
	evidence    view.Evidence    // positions and roles from answers
	report      link.Observation // sums since the last report
	lastAnswer  policy.TenthMs   // time of the last answer with a position
}

// HandleListLine applies a complete host list or a list update from discovery, and returns after the policy has it.
// addressIsNew is true for the first line from a new discovery address, whose versions are not comparable to earlier ones. An
// invalid line changes nothing.
func (r *Router) HandleListLine(line []byte, addressIsNew bool) error {
	result := make(chan error, 1)
	if !r.queue.Put(eventloop.PriorityControl, func() {
		list, err := setup.Decode("", line)
		if err == nil {
			err = r.applyList(list, addressIsNew)
		}
		result <- err
	}) {
		return errStopped
	}
	select {
	case err := <-result:
		return err
	case <-r.queue.Closed:
		return errStopped
	}
}

// ListRequestFailed tells the policy that a requested list did not arrive, or that its stream of updates has ended. The
// current list stays in use.
func (r *Router) ListRequestFailed() {
	r.queue.Put(eventloop.PriorityControl, func() {
		r.ListRequestsFailed.Add(1)
		r.advanceClock()
		r.trace.ListUnavailable()
		r.policy.ListUnavailable()
	})
}

// applyList applies a complete list or an update to the current one. An invalid list changes nothing.
func (r *Router) applyList(list setup.Object, addressIsNew bool) error {
	version, complete, entries, err := catalog.Read(list)
	if err != nil {
		return err
	}
	if version < r.version.Load() && !addressIsNew {
		r.StaleLists.Add(1)
		r.log.Warn("a list that is older than the one held", zap.Int64("rev", version), zap.Int64("held", r.version.Load()))
		return nil
	}
	r.applyHosts(entries, complete)
	r.trace.List(version, complete, len(entries))
	r.version.Store(version)
	r.Lists.Add(1)
	r.log.Info("list", zap.Int64("rev", version), zap.Bool("whole", complete), zap.Int("entries", len(entries)))
	return nil
}

// applyHosts passes list entries to the policy and answers the empty queries that waited for the first list.
func (r *Router) applyHosts(entries []view.Host, complete bool) {
	r.advanceClock()
	for _, entry := range entries {
		h := r.hosts[entry.Name]
		if h == nil && entry.ListedState == policy.Removed {
			continue
		}
		if h == nil {
			r.HostsAdded.Add(1)
			h = &host{connections: r.pool.Add(entry.Address), Host: entry}
			r.registerHost(h)
			r.replicaSets[h.Set] = true
		}
		entry.Set = h.Set // a host does not move between replica sets
		h.Host = entry
		h.connections.SetAddress(entry.Address)
		r.updateListing(h)
	}
	r.endList(complete)
	r.hasList = true
	for _, slot := range r.awaitingList {
		slot.AnswerEmptyQuery()
	}
	r.awaitingList = nil
}

// registerHost adds a host to the policy and to the router's indexes.
func (r *Router) registerHost(h *host) {
	h.node = r.policy.AddHost(h.Name, h.Set)
	r.hosts[h.Name], r.nodes[h.node] = h, h
	r.trace.AddHost(h.node, h.Set)
}

// updateListing passes the host's list entry to the policy.
func (r *Router) updateListing(h *host) {
	r.preview.hostListed(h.ListedState)
	r.trace.UpdateListing(h.node, h.ListedState, h.ListedPrimary, h.Zone, h.Model, h.Size, h.BootedAt)
	h.node.UpdateListing(h.ListedState, h.ListedPrimary, h.Zone, h.Model, h.Size, h.BootedAt)
}

// endList tells the policy that all entries of a list or a list update have been passed.
func (r *Router) endList(complete bool) {
	r.preview.listFinished()
	r.trace.EndList(complete)
	r.policy.EndList(complete)
}

// UpdateHosts applies a change of a forwarder's view: the current state of the changed hosts, the names of the hosts that were
// dropped, the number of routers, and whether no planner is connected (blind). A forwarder gets its hosts only from its view.
// It may be called from any goroutine.
func (r *Router) UpdateHosts(hosts []view.Host, dropped []string, routers int, blind bool) {
	r.queue.Put(eventloop.PriorityControl, func() {
		for _, name := range dropped {
			if h := r.hosts[name]; h != nil {
				removed := h.Host
				removed.ListedState = policy.Removed
				hosts = append(hosts, removed)
			}
		}
		if len(hosts) > 0 {
			r.applyHosts(hosts, false)
			r.Lists.Add(1)
		}
		r.advanceClock()
		r.trace.View(len(hosts), len(dropped), routers, blind)
		r.trace.SetRouterCount(routers, blind)
		r.policy.SetRouterCount(routers, blind)
		for _, entry := range hosts {
			if h := r.hosts[entry.Name]; h != nil {
				lateness := policy.PlannerLatency(entry.Lateness)
				r.trace.ApplyPlannerUpdate(h.node, entry.Position, entry.Role, entry.RolePosition, lateness)
				h.node.ApplyPlannerUpdate(entry.Position, entry.Role, entry.RolePosition, lateness)
			}
		}
	})
}

// TakeObservations returns the observations about hosts since the previous call and resets them; nil after Run has ended. It
// may be called from any goroutine.
func (r *Router) TakeObservations() []link.Observation { return ask(r, r.takeReports) }

// TimeToAnswer returns how long before its deadline a command must arrive to be answered, whatever its group; 0 after Run has ended. It
// may be called from any goroutine.
func (r *Router) TimeToAnswer() time.Duration { return ask(r, r.longestTimeToAnswer) }

// ask computes a value in the router's goroutine; it returns the zero value after Run has ended.
func ask[T any](r *Router, compute func() T) (result T) {
	results := make(chan T, 1)
	if !r.queue.Put(eventloop.PriorityControl, func() { results <- compute() }) {
		return result
	}
	select {
	case result = <-results:
	case <-r.queue.Closed:
	}
	return result
}

func (r *Router) longestTimeToAnswer() (longest time.Duration) {
	for group := range r.groups {
		longest = max(longest, time.Duration(r.policy.TimeToAnswer(group))*clock.Resolution)
	}
	return longest
}

// takeReports returns the observations of the hosts that have any, and resets their sums.
func (r *Router) takeReports() (reports []link.Observation) {
	for _, h := range r.hosts {
		h.report.Evidence = h.evidence
		if h.report.Name = h.Name; h.report.Responses > 0 || h.report.ColdWork > 0 {
			reports = append(reports, h.report)
		}
		h.report.Responses, h.report.LatenessSum = 0, 0
	}
	return reports
}

// recordAnswer adds the position, role and latency of a command's answer to the host's observations.
func (h *host) recordAnswer(c *policy.Command, outcome policy.Outcome, position policy.TenthMs, role policy.Role, sentAt, now, elapsed policy.TenthMs) {
	if position >= 0 && outcome != policy.Reset {
		h.evidence.Observe(position, role, sentAt >= h.lastAnswer)
		h.lastAnswer = now
	}
	if outcome == policy.Answered {
		h.report.Responses++
		h.report.LatenessSum += c.ReportedLatency(elapsed)
	}
}

// recordDispatch adds a command's work to the host's observations if the host is warming up after a boot.
func (h *host) recordDispatch(c *policy.Command) {
	boot := h.node.ColdSince()
	if boot != h.report.BootedAt {
		h.report.BootedAt, h.report.ColdWork = boot, 0
	}
	if boot != 0 {
		h.report.ColdWork += int64(c.Work() * reportUnitsPerWork)
	}
}
