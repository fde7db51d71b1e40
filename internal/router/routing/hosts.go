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
	node        *policy.Node
	connections *transport.Host
	evidence    view.Evidence
	report      link.Heard
	lastAnswer  policy.Tenth
}

// HandleListLine takes a list of discovery's, or changes of it, and returns when the module knows it. addressIsNew is
// true if the line is the first of a new address, whose versions are not comparable to those before. An invalid line changes
// nothing.
func (r *Router) HandleListLine(line []byte, addressIsNew bool) error {
	result := make(chan error, 1)
	if !r.queue.Put(eventloop.PriorityLists, func() {
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
	case <-r.queue.Ended:
		return errStopped
	}
}

// ListRequestFailed notes that a list which was requested did not come, or that its changes have ended. The current list
// stays in use.
func (r *Router) ListRequestFailed() {
	r.queue.Put(eventloop.PriorityLists, func() {
		r.ListRequestsFailed.Add(1)
		r.advanceClock()
		r.trace.Unlisted()
		r.policy.Unlisted()
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
		if h == nil && entry.Standing == policy.Gone {
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
		h.connections.Move(entry.Address)
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
	h.node = r.policy.Host(h.Name, h.Set)
	r.hosts[h.Name], r.nodes[h.node] = h, h
	r.trace.Host(h.node, h.Set)
}

// announceHost passes a host's state to the module, as the list has it.
func (r *Router) announceHost(h *host) {
	r.preview.hostListed(h.Standing)
	r.trace.Listed(h.node, h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
	h.node.Listed(h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
}

// finishList marks the end of a list, or of its changes, for the module.
func (r *Router) finishList(complete bool) {
	r.preview.listFinished()
	r.trace.ListDone(complete)
	r.policy.ListDone(complete)
}

// Told takes in what is new in a forwarder's view, from any goroutine: hosts as they are now, the names of those that it
// dropped, the number of routers, and whether no planner is connected (blind). Lists come from the view alone then.
func (r *Router) Told(hosts []view.Host, dropped []string, routers int, blind bool) {
	r.queue.Put(eventloop.PriorityLists, func() {
		for _, name := range dropped {
			if h := r.hosts[name]; h != nil {
				gone := h.Host
				gone.Standing = policy.Gone
				hosts = append(hosts, gone)
			}
		}
		if len(hosts) > 0 {
			r.applyHosts(hosts, false)
			r.Lists.Add(1)
		}
		r.advanceClock()
		r.trace.View(len(hosts), len(dropped), routers, blind)
		r.trace.Count(routers, blind)
		r.policy.Count(routers, blind)
		for _, entry := range hosts {
			if h := r.hosts[entry.Name]; h != nil {
				lateness := policy.Lateness(entry.Late)
				r.trace.Told(h.node, entry.Pos, entry.Role, entry.RoleAt, lateness)
				h.node.Told(entry.Pos, entry.Role, entry.RoleAt, lateness)
			}
		}
	})
}

// Report returns what answers have shown of hosts since the last report, from any goroutine; nil once Run has ended.
func (r *Router) Report() []link.Heard {
	result := make(chan []link.Heard, 1)
	if !r.queue.Put(eventloop.PriorityLists, func() { result <- r.takeReports() }) {
		return nil
	}
	select {
	case reports := <-result:
		return reports
	case <-r.queue.Ended:
		return nil
	}
}

// takeReports returns the reports of hosts that have something to report, and resets their sums.
func (r *Router) takeReports() (reports []link.Heard) {
	for _, h := range r.hosts {
		h.report.Evidence = h.evidence
		if h.report.Name = h.Name; h.report.Count > 0 || h.report.Cold > 0 {
			reports = append(reports, h.report)
		}
		h.report.Count, h.report.Sum = 0, 0
	}
	return reports
}

// noteAnswer notes what an answer to a command shows, for a report.
func (h *host) noteAnswer(c *policy.Cmd, outcome policy.Outcome, position policy.Tenth, role policy.Role, sentAt, now, elapsed policy.Tenth) {
	if position >= 0 && outcome != policy.Reset {
		h.evidence.Said(position, role, sentAt >= h.lastAnswer)
		h.lastAnswer = now
	}
	if outcome == policy.Answered {
		h.report.Count++
		h.report.Sum += uint32(min(maxReportedSpent, c.Spent(elapsed)) * reportedPerWork)
	}
}

// noteDispatch notes work that is sent to a host which is warming up.
func (h *host) noteDispatch(c *policy.Cmd) {
	boot := h.node.Cold()
	if boot != h.report.Boot {
		h.report.Boot, h.report.Cold = boot, 0
	}
	if boot != 0 {
		h.report.Cold += int64(c.Work() * reportedPerWork)
	}
}
