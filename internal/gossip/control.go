package gossip

import "slices"

// maxControlMembers is the largest control plane that is accepted.
const maxControlMembers = 32

// SetControlMembers sets the addresses of the members of the control plane as of an index in its log, unless a later index is
// known already. They come from the control plane or in messages of other proxies.
func (m *Membership) SetControlMembers(members []string, version uint64) {
	if version > m.controlVersion && len(members) > 0 && len(members) <= maxControlMembers {
		m.controlMembers, m.controlVersion = slices.Clone(members), version
	}
}

// ControlMembers returns the latest known addresses of the members of the control plane, and their index in its log.
func (m *Membership) ControlMembers() (members []string, version uint64) {
	return m.controlMembers, m.controlVersion
}
