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
	node  *policy.Node
	conns *transport.Host
	view.Host
	said  view.Evidence
	heard link.Heard
	at    policy.Tenth // when its last answer came
}

// list takes in a list, whole or the changes since the last. One that has a fault changes nothing.
// anew: versions are counted otherwise than before.
func (r *Router) list(o setup.Object, anew bool) error {
	rev, whole, entries, err := catalog.Read(o)
	if err != nil {
		return err
	}
	if rev < r.rev.Load() && !anew {
		r.Stale.Add(1)
		r.log.Warn("a list that is older than the one held", zap.Int64("rev", rev), zap.Int64("held", r.rev.Load()))
		return nil
	}
	r.take(entries, whole)
	r.trace.List(rev, whole, len(entries))
	r.rev.Store(rev)
	r.Lists.Add(1)
	r.log.Info("list", zap.Int64("rev", rev), zap.Bool("whole", whole), zap.Int("entries", len(entries)))
	return nil
}

// take tells the module of hosts, and answers those who waited for a first list.
func (r *Router) take(entries []view.Host, whole bool) {
	r.moment()
	for _, e := range entries {
		h := r.hosts[e.Name]
		if h == nil && e.Standing == policy.Gone {
			continue
		}
		if h == nil {
			r.Held.Add(1)
			h = &host{conns: r.pool.Add(e.Address), Host: e}
			r.introduce(h)
			r.sets[h.Set] = true
		}
		e.Set = h.Set // a host does not move between sets
		h.Host = e
		h.conns.Move(e.Address)
		r.listHost(h)
	}
	r.listDone(whole)
	r.listed = true
	for _, s := range r.asking {
		s.AnswerEmptyQuery()
	}
	r.asking = nil
}

// introduce tells the module that there is a host.
func (r *Router) introduce(h *host) {
	h.node = r.rules.Host(h.Name, h.Set)
	r.hosts[h.Name], r.nodes[h.node] = h, h
	r.trace.Host(h.node, h.Set)
}

// listHost tells the module of a host, as the list has it.
func (r *Router) listHost(h *host) {
	r.shape.listed(h.Standing)
	r.trace.Listed(h.node, h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
	h.node.Listed(h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
}

func (r *Router) listDone(whole bool) {
	r.shape.list()
	r.trace.ListDone(whole)
	r.rules.ListDone(whole)
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
			r.take(hosts, false)
			r.Lists.Add(1)
		}
		r.moment()
		r.trace.View(len(hosts), len(dropped), routers, blind)
		r.trace.Count(routers, blind)
		r.rules.Count(routers, blind)
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
			h.heard.Evidence = h.said
			if h.heard.Evidence.Name = h.Name; h.heard.Count > 0 || h.heard.Cold > 0 {
				all = append(all, h.heard)
			}
			h.heard.Count, h.heard.Sum = 0, 0
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

// answered notes what an answer said, for a report.
func (h *host) answered(c *policy.Cmd, o policy.Outcome, pos policy.Tenth, role policy.Role, asked, now, took policy.Tenth) {
	if pos >= 0 && o != policy.Reset {
		h.said.Said(pos, role, asked >= h.at)
		h.at = now
	}
	if o == policy.Answered {
		h.heard.Count++
		h.heard.Sum += uint32(min(10, c.Spent(took)) * 1000)
	}
}

// sent notes work sent to a cold host.
func (h *host) sent(c *policy.Cmd) {
	boot := h.node.Cold()
	if boot != h.heard.Boot {
		h.heard.Boot, h.heard.Cold = boot, 0
	}
	if boot != 0 {
		h.heard.Cold += int64(c.Work() * 1000)
	}
}
