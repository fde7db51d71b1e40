package tiernet

import (
	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// applyView passes the changes of the planners' view to the decision module: first the list of hosts, then the number of
// routers, then positions and roles.
func (f *forwarderProcess) applyView(due follower.Actions) {
	f.updateClock()
	hosts := due.ChangedHosts
	for _, name := range due.RemovedHosts {
		if f.moduleHosts[name] != nil {
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
		if node := f.moduleHosts[h.Name]; node != nil {
			lateness := policy.PlannerLatency(h.Lateness)
			f.trace.ApplyPlannerUpdate(node, h.Position, h.Role, h.RolePosition, lateness)
			node.ApplyPlannerUpdate(h.Position, h.Role, h.RolePosition, lateness)
			f.recordPrimaryView(h)
		}
	}
}

// applyListed applies a host's entry in the discovery list.
func (f *forwarderProcess) applyListed(h view.Host) {
	node := f.moduleHosts[h.Name]
	if node == nil {
		if h.ListedState == policy.Removed {
			return
		}
		node = f.module.AddHost(h.Name, h.Set)
		f.moduleHosts[h.Name], f.moduleHostNames[node] = node, h.Name
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

// recordPrimaryView records the time from an election until the forwarder's view has the new primary.
func (f *forwarderProcess) recordPrimaryView(h view.Host) {
	named := f.w.host(h.Name)
	set := named.set
	if set.primaryInView != nil && !set.primaryInView[f] && h.Role == policy.Primary && set.primary == named {
		set.primaryInView[f] = true
		f.w.PrimaryViewTimes = append(f.w.PrimaryViewTimes, f.w.Now-set.electedAt)
	}
}

// updateClock sets the time of the module and of the trace before calls into them.
func (f *forwarderProcess) updateClock() {
	f.module.SetTime(f.w.Now)
	f.trace.SetTime(f.w.Now)
}
