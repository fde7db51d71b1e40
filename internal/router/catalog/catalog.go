// Package catalog reads the endpoint lists of the discovery service, for whoever watches it.
package catalog

import (
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// States and roles of an entry.
const (
	stateUp      = "up"
	stateRemoved = "removed"
	roleLeader   = "leader"
)

// Read reads a list, which is complete or has the changes since the last. Versions grow. An invalid list is a setup.Fault
// that names the field, and nothing of it is used.
func Read(list setup.Object) (version int64, complete bool, hosts []view.Host, err error) {
	defer setup.Catch(&err)
	version, complete = list.Integer("rev"), list.Flag("all")
	entries := list.Objects("targets")
	hosts = make([]view.Host, len(entries))
	for i, entry := range entries {
		hosts[i] = readHost(entry)
	}
	return version, complete, hosts, nil
}

func readHost(entry setup.Object) view.Host {
	host := view.Host{
		Name:          entry.Text("uid"),
		Address:       entry.Text("endpoint"),
		Set:           entry.Integer("pod_group"),
		ListedPrimary: entry.OptionalText("role") == roleLeader,
		Zone:          entry.OptionalText("az"),
		Model:         entry.OptionalText("model"),
		Size:          entry.OptionalNumber("capacity_hint"),
		BootedAt:      setup.RoundUp(entry.OptionalNumber("boot_ms")),
	}
	switch entry.Text("state") {
	case stateUp:
		host.ListedState = policy.Active
	case stateRemoved:
		host.ListedState = policy.Removed
	default: // a state that is not known gets nothing new
		host.ListedState = policy.Draining
	}
	return host
}
