// Package catalog decodes the host lists of the discovery service, for routers and planners.
package catalog

import (
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// Values of state and role in a list entry.
const (
	stateUp      = "up"
	stateRemoved = "removed"
	roleLeader   = "leader"
)

// Read decodes a host list. If complete is false, it contains only the changes since the previous list. Versions increase. If the
// list is invalid, the error is a setup.FieldError that names the field and no hosts are returned.
func Read(list setup.Object) (version int64, complete bool, hosts []view.Host, err error) {
	defer setup.CatchFieldError(&err)
	version, complete = list.Integer("rev"), list.Bool("all")
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
	default: // a host with an unknown state gets no new commands
		host.ListedState = policy.Draining
	}
	return host
}
