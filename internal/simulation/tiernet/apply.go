package tiernet

import (
	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// applyView passes to the decision module what has changed in the view of the planners: the list of hosts first, then the number
// of routers, then positions and roles.
func (f *forwarderProcess) applyView(due follower.Actions) {
	f.updateClock()
	hosts := due.ChangedHosts
	for _, name := range due.RemovedHosts {
		if f.nodes[name] != nil {
			hosts = append(hosts, view.Host{Name: name, ListedState: policy.Removed, Size: 1})
		}
	}
	for _, h := range hosts {
		f.applyListed(h)
	}
	f.trace.EndList(false)
	f.module.EndList(false)
	f.trace.SetRouterCount(due.RouterCount, due.NoPlanner)
	f.module.SetRouterCount(due.RouterCount, due.NoPlanner)
	for _, h := range hosts {
		if node := f.nodes[h.Name]; node != nil {
			lateness := policy.PlannerLatency(h.Lateness)
			f.trace.ApplyPlannerUpdate(node, h.Position, h.Role, h.RolePosition, lateness)
			node.ApplyPlannerUpdate(h.Position, h.Role, h.RolePosition, lateness)
			f.noteNaming(h)
		}
	}
}

// applyListed applies what discovery says of a host.
func (f *forwarderProcess) applyListed(h view.Host) {
	node := f.nodes[h.Name]
	if node == nil {
		if h.ListedState == policy.Removed {
			return
		}
		node = f.module.AddHost(h.Name, h.Set)
		f.nodes[h.Name], f.nodeNames[node] = node, h.Name
		f.trace.AddHost(node, h.Set)
	}
	f.trace.UpdateListing(node, h.ListedState, h.ListedPrimary, h.Zone, h.Model, h.Size, h.BootedAt)
	node.UpdateListing(h.ListedState, h.ListedPrimary, h.Zone, h.Model, h.Size, h.BootedAt)
	f.knownStarts[h.Name] = max(f.knownStarts[h.Name], h.BootedAt)
	if h.ListedState == policy.Active {
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
	f.module.SetTime(f.w.Now)
	f.trace.SetTime(f.w.Now)
}
