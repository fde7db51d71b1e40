// Package catalog reads discovery's lists, for whoever watches it.
package catalog

import (
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// Read reads a list, whole or the changes since the last. A fault names its
// field, and nothing of the list counts.
func Read(o setup.Object) (rev int64, whole bool, hosts []view.Host, err error) {
	defer setup.Catch(&err)
	rev, whole = o.Integer("rev"), o.Flag("all")
	targets := o.Objects("targets")
	hosts = make([]view.Host, len(targets))
	for i, e := range targets {
		h := view.Host{Name: e.Text("uid"), Address: e.Text("endpoint"), Set: e.Integer("pod_group"),
			Standing: policy.Draining, // nothing new in a state not known
			Leader:   e.MaybeText("role") == "leader", Zone: e.MaybeText("az"), Kind: e.MaybeText("model"),
			Size: e.MaybeNumber("capacity_hint"), Boot: setup.Up(e.MaybeNumber("boot_ms"))}
		switch e.Text("state") {
		case "up":
			h.Standing = policy.In
		case "removed":
			h.Standing = policy.Gone
		}
		hosts[i] = h
	}
	return rev, whole, hosts, nil
}
