package record

import "ferrypitch/policy"

// The methods in this file record what happens in a router beside its decision
// module. A replay does not use them.

// List records a list that came from discovery.
func (r *Recorder) List(revision int64, whole bool, entries int) {
	if r != nil {
		r.addNumbers(List, revision, flag(whole), int64(entries))
	}
}

// Stall records for how long the owner of the module did not run.
func (r *Recorder) Stall(duration policy.TenthMs) {
	if r != nil {
		r.addNumbers(Stall, duration)
	}
}

// Reload records whether a new configuration could be read.
func (r *Recorder) Reload(ok bool) {
	if r != nil {
		r.addNumbers(Reload, flag(ok))
	}
}

// View records a change of the view that planners send: the numbers of changed and
// removed hosts, of routers, and whether no planner is current.
func (r *Recorder) View(hosts, dropped, routers int, blind bool) {
	if r != nil {
		r.addNumbers(View, int64(hosts), int64(dropped), int64(routers), flag(blind))
	}
}
