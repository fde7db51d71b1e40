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

// host is a database host as the list has it, and what it said of itself since the last report.
type host struct {
	node        *policy.Node
	connections *transport.Host
	view.Host
	evidence   view.Evidence
	report     link.Heard
	lastAnswer policy.Tenth // when its last answer came
}

// applyList takes in a list, whole or the changes since the last. One that has a fault changes nothing.
// anew: versions are counted otherwise than before.
func (r *Router) applyList(o setup.Object, anew bool) error {
	rev, whole, entries, err := catalog.Read(o)
	if err != nil {
		return err
	}
	if rev < r.version.Load() && !anew {
		r.StaleLists.Add(1)
		r.log.Warn("a list that is older than the one held", zap.Int64("rev", rev), zap.Int64("held", r.version.Load()))
		return nil
	}
	r.applyHosts(entries, whole)
	r.trace.List(rev, whole, len(entries))
	r.version.Store(rev)
	r.Lists.Add(1)
	r.log.Info("list", zap.Int64("rev", rev), zap.Bool("whole", whole), zap.Int("entries", len(entries)))
	return nil
}

// applyHosts tells the module of hosts, and answers those who waited for a first list.
func (r *Router) applyHosts(entries []view.Host, whole bool) {
	r.advanceClock()
	for _, e := range entries {
		h := r.hosts[e.Name]
		if h == nil && e.Standing == policy.Gone {
			continue
		}
		if h == nil {
			r.HostsAdded.Add(1)
			h = &host{connections: r.pool.Add(e.Address), Host: e}
			r.introduce(h)
			r.sets[h.Set] = true
		}
		e.Set = h.Set // a host does not move between sets
		h.Host = e
		h.connections.Move(e.Address)
		r.listHost(h)
	}
	r.finishList(whole)
	r.hasList = true
	for _, s := range r.awaitingList {
		s.AnswerEmptyQuery()
	}
	r.awaitingList = nil
}

// introduce tells the module that there is a host.
func (r *Router) introduce(h *host) {
	h.node = r.policy.Host(h.Name, h.Set)
	r.hosts[h.Name], r.nodes[h.node] = h, h
	r.trace.Host(h.node, h.Set)
}

// listHost tells the module of a host, as the list has it.
func (r *Router) listHost(h *host) {
	r.preview.listed(h.Standing)
	r.trace.Listed(h.node, h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
	h.node.Listed(h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
}

func (r *Router) finishList(whole bool) {
	r.preview.list()
	r.trace.ListDone(whole)
	r.policy.ListDone(whole)
}

// Told takes in what is new in a view, from any goroutine: hosts as they are now, names of those that it dropped,
// how many routers there are, and whether any planner is there. Lists that are held are the view's alone.
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
		for _, e := range hosts {
			if h := r.hosts[e.Name]; h != nil {
				word := policy.Lateness(e.Late)
				r.trace.Told(h.node, e.Pos, e.Role, e.RoleAt, word)
				h.node.Told(e.Pos, e.Role, e.RoleAt, word)
			}
		}
	})
}

// Report hands over what answers said of hosts since the last report, from any goroutine; nil once stopped.
func (r *Router) Report() []link.Heard {
	got := make(chan []link.Heard, 1)
	if !r.queue.Put(eventloop.PriorityLists, func() {
		var all []link.Heard
		for _, h := range r.hosts {
			h.report.Evidence = h.evidence
			if h.report.Evidence.Name = h.Name; h.report.Count > 0 || h.report.Cold > 0 {
				all = append(all, h.report)
			}
			h.report.Count, h.report.Sum = 0, 0
		}
		got <- all
	}) {
		return nil
	}
	select {
	case all := <-got:
		return all
	case <-r.queue.Ended:
		return nil
	}
}

// noteAnswer notes what an answer said, for a report.
func (h *host) noteAnswer(c *policy.Cmd, o policy.Outcome, pos policy.Tenth, role policy.Role, asked, now, took policy.Tenth) {
	if pos >= 0 && o != policy.Reset {
		h.evidence.Said(pos, role, asked >= h.lastAnswer)
		h.lastAnswer = now
	}
	if o == policy.Answered {
		h.report.Count++
		h.report.Sum += uint32(min(10, c.Spent(took)) * 1000)
	}
}

// noteDispatch notes work sent to a cold host.
func (h *host) noteDispatch(c *policy.Cmd) {
	boot := h.node.Cold()
	if boot != h.report.Boot {
		h.report.Boot, h.report.Cold = boot, 0
	}
	if boot != 0 {
		h.report.Cold += int64(c.Work() * 1000)
	}
}
