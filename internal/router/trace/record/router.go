package record

import "ferrypitch/policy"

// The methods in this file record events in a router outside its decision module. A replay
// does not use them.

// List records a host list received from discovery.
func (r *Recorder) List(revision int64, complete bool, entries int) {
	if r != nil {
		r.addNumbers(List, revision, flag(complete), int64(entries))
	}
}

// Stall records that the owner of the module did not run for a duration.
func (r *Recorder) Stall(duration policy.TenthMs) {
	if r != nil {
		r.addNumbers(Stall, duration)
	}
}

// Reload records a reload of the configuration and whether it succeeded.
func (r *Recorder) Reload(ok bool) {
	if r != nil {
		r.addNumbers(Reload, flag(ok))
	}
}

// View records a change of the view that planners send: the numbers of changed hosts,
// removed hosts and routers, and whether no planner is current.
func (r *Recorder) View(hosts, removed, routers int, noPlanner bool) {
	if r != nil {
		r.addNumbers(View, int64(hosts), int64(removed), int64(routers), flag(noPlanner))
	}
}
