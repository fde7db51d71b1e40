package routing

import (
	"go.uber.org/zap"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/catalog"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

// Units of a forwarder's report.
const (
	reportedPerWork  = 1000 // work is reported in thousandths
	maxReportedSpent = 10   // times its latency target that one command counts for at most
)

// host is a database host as the list has it, and what its answers have shown since the last report.
type host struct {
	view.Host
	node        *policy.Host
	connections *transport.Host
	evidence    view.Evidence
	report      link.Observation
	lastAnswer  policy.TenthMs
}

// HandleListLine takes a list of discovery's, or changes of it, and returns when the module knows it. addressIsNew is
// true if the line is the first of a new address, whose versions are not comparable to those before. An invalid line changes
// nothing.
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

// ListRequestFailed notes that a list which was requested did not come, or that its changes have ended. The current list
// stays in use.
func (r *Router) ListRequestFailed() {
	r.queue.Put(eventloop.PriorityControl, func() {
		r.ListRequestsFailed.Add(1)
		r.advanceClock()
		r.trace.ListUnavailable()
		r.policy.ListUnavailable()
	})
}

// applyList takes in a list, complete or the changes since the last. An invalid one changes nothing.
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

// applyHosts passes hosts to the module, and answers the empty queries that waited for a first list.
func (r *Router) applyHosts(entries []view.Host, complete bool) {
	r.advanceClock()
	for _, entry := range entries {
		h := r.hosts[entry.Name]
		if h == nil && entry.Standing == policy.Removed {
			continue
		}
		if h == nil {
			r.HostsAdded.Add(1)
			h = &host{connections: r.pool.Add(entry.Address), Host: entry}
			r.introduce(h)
			r.replicaSets[h.Set] = true
		}
		entry.Set = h.Set // a host does not move between replica sets
		h.Host = entry
		h.connections.SetAddress(entry.Address)
		r.announceHost(h)
	}
	r.finishList(complete)
	r.hasList = true
	for _, slot := range r.awaitingList {
		slot.AnswerEmptyQuery()
	}
	r.awaitingList = nil
}

// introduce registers a host with the module.
func (r *Router) introduce(h *host) {
	h.node = r.policy.AddHost(h.Name, h.Set)
	r.hosts[h.Name], r.nodes[h.node] = h, h
	r.trace.AddHost(h.node, h.Set)
}

// announceHost passes a host's state to the module, as the list has it.
func (r *Router) announceHost(h *host) {
	r.preview.hostListed(h.Standing)
	r.trace.UpdateListing(h.node, h.Standing, h.ListedPrimary, h.Zone, h.Kind, h.Size, h.BootedAt)
	h.node.UpdateListing(h.Standing, h.ListedPrimary, h.Zone, h.Kind, h.Size, h.BootedAt)
}

// finishList marks the end of a list, or of its changes, for the module.
func (r *Router) finishList(complete bool) {
	r.preview.listFinished()
	r.trace.EndList(complete)
	r.policy.EndList(complete)
}

// UpdateHosts takes in what is new in a forwarder's view, from any goroutine: hosts as they are now, the names of those that it
// dropped, the number of routers, and whether no planner is connected (blind). Lists come from the view alone then.
func (r *Router) UpdateHosts(hosts []view.Host, dropped []string, routers int, blind bool) {
	r.queue.Put(eventloop.PriorityControl, func() {
		for _, name := range dropped {
			if h := r.hosts[name]; h != nil {
				gone := h.Host
				gone.Standing = policy.Removed
				hosts = append(hosts, gone)
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

// TakeObservations returns what answers have shown of hosts since the last report, from any goroutine; nil once Run has ended.
func (r *Router) TakeObservations() []link.Observation {
	result := make(chan []link.Observation, 1)
	if !r.queue.Put(eventloop.PriorityControl, func() { result <- r.takeReports() }) {
		return nil
	}
	select {
	case reports := <-result:
		return reports
	case <-r.queue.Closed:
		return nil
	}
}

// takeReports returns the reports of hosts that have something to report, and resets their sums.
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

// noteAnswer notes what an answer to a command shows, for a report.
func (h *host) noteAnswer(c *policy.Command, outcome policy.Outcome, position policy.TenthMs, role policy.Role, sentAt, now, elapsed policy.TenthMs) {
	if position >= 0 && outcome != policy.Reset {
		h.evidence.Observe(position, role, sentAt >= h.lastAnswer)
		h.lastAnswer = now
	}
	if outcome == policy.Answered {
		h.report.Responses++
		h.report.LatenessSum += uint32(min(maxReportedSpent, c.TargetFraction(elapsed)) * reportedPerWork)
	}
}

// noteDispatch notes work that is sent to a host which is warming up.
func (h *host) noteDispatch(c *policy.Command) {
	boot := h.node.ColdSince()
	if boot != h.report.BootedAt {
		h.report.BootedAt, h.report.ColdWork = boot, 0
	}
	if boot != 0 {
		h.report.ColdWork += int64(c.Work() * reportedPerWork)
	}
}
