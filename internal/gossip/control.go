package gossip

import "slices"

// maxControlMembers is the maximum number of control-plane members that is accepted from a message.
const maxControlMembers = 32

// SetControlMembers sets the addresses of the control-plane members as of a log index (version). It ignores versions that are not
// newer than the known one. The addresses come from the control plane itself, or from messages of other proxies.
func (m *Membership) SetControlMembers(members []string, version uint64) {
	if version > m.controlVersion && len(members) > 0 && len(members) <= maxControlMembers {
		m.controlMembers, m.controlVersion = slices.Clone(members), version
	}
}

// ControlMembers returns the latest known addresses of the control-plane members, and the log index (version) that they are from.
func (m *Membership) ControlMembers() (members []string, version uint64) {
	return m.controlMembers, m.controlVersion
}
