package tiernet

import (
	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// applyView passes to the decision module what has changed in the view of the planners: the list of hosts first, then the number
// of routers, then positions and roles.
func (f *forwarderProcess) applyView(due follower.Todo) {
	f.updateClock()
	hosts := due.Hosts
	for _, name := range due.Dropped {
		if f.nodes[name] != nil {
			hosts = append(hosts, view.Host{Name: name, Standing: policy.Gone, Size: 1})
		}
	}
	for _, h := range hosts {
		f.applyListed(h)
	}
	f.trace.ListDone(false)
	f.module.ListDone(false)
	f.trace.Count(due.Routers, due.Blind)
	f.module.Count(due.Routers, due.Blind)
	for _, h := range hosts {
		if node := f.nodes[h.Name]; node != nil {
			lateness := policy.Lateness(h.Late)
			f.trace.Told(node, h.Pos, h.Role, h.RoleAt, lateness)
			node.Told(h.Pos, h.Role, h.RoleAt, lateness)
			f.noteNaming(h)
		}
	}
}

// applyListed applies what discovery says of a host.
func (f *forwarderProcess) applyListed(h view.Host) {
	node := f.nodes[h.Name]
	if node == nil {
		if h.Standing == policy.Gone {
			return
		}
		node = f.module.Host(h.Name, h.Set)
		f.nodes[h.Name], f.nodeNames[node] = node, h.Name
		f.trace.Host(node, h.Set)
	}
	f.trace.Listed(node, h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
	node.Listed(h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
	f.knownStarts[h.Name] = max(f.knownStarts[h.Name], h.Boot)
	if h.Standing == policy.In {
		delete(f.drainedAt, h.Name)
	} else if f.drainedAt[h.Name] == 0 {
		f.drainedAt[h.Name] = f.w.Now
	}
}

// noteNaming notes how soon after an election the forwarder's view names the new primary.
func (f *forwarderProcess) noteNaming(h view.Host) {
	named := f.w.host(h.Name)
	set := named.set
	if set.naming != nil && !set.naming[f] && h.Role == policy.Primary && set.primary == named {
		set.naming[f] = true
		f.w.NamingTimes = append(f.w.NamingTimes, f.w.Now-set.electedAt)
	}
}

// updateClock sets the module's time for the calls that follow.
func (f *forwarderProcess) updateClock() {
	f.module.Clock(f.w.Now)
	f.trace.Now(f.w.Now)
}
