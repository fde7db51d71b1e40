package view

import "ferrypitch/policy"

// Evidence is the state that a host reported about itself: its log position and
// its latest role. It has the same meaning whether it comes from the host or was
// relayed.
//
// A position is the commit time of an entry in the replicated log, in tenths of a
// millisecond, so positions order the statements of different hosts.
type Evidence struct {
	Name         string         `cbor:"1,keyasint"`
	Position     policy.TenthMs `cbor:"2,keyasint,omitempty"` // the host has applied the log at least up to this position
	Role         policy.Role    `cbor:"3,keyasint,omitempty"`
	RolePosition policy.TenthMs `cbor:"4,keyasint,omitempty"` // position of the host when it reported the role
	RoleChanges  uint32         `cbor:"5,keyasint,omitempty"` // number of role changes at RolePosition
}

// Observe adds a response of the host and reports whether the evidence changed.
// isNewer means that the request was sent after all earlier responses had arrived.
// Only then is a different role at the same position a change of role; otherwise
// the response may be an older one that arrived late.
func (e *Evidence) Observe(position policy.TenthMs, role policy.Role, isNewer bool) bool {
	before := *e
	e.Position = max(e.Position, position)
	switch {
	case role == policy.UnknownRole || position < e.RolePosition:
	case position > e.RolePosition:
		e.Role, e.RolePosition, e.RoleChanges = role, position, 0
	case e.Role == policy.UnknownRole:
		e.Role = role
	case role != e.Role && isNewer:
		e.Role, e.RoleChanges = role, e.RoleChanges+1
	}
	return *e != before
}

// Merge merges other evidence of the same host and reports whether the evidence
// changed. The role with the newest position wins, then the one with more role
// changes. If both are equal but the roles differ, which the responses of a host
// cannot cause, the host counts as a replica, the error with the lower cost.
func (e *Evidence) Merge(other Evidence) bool {
	before := *e
	e.Position = max(e.Position, other.Position)
	if e.roleOlderThan(other) {
		e.Role, e.RolePosition, e.RoleChanges = other.Role, other.RolePosition, other.RoleChanges
	}
	return *e != before
}

// roleOlderThan reports whether the role of the other evidence takes precedence.
func (e *Evidence) roleOlderThan(other Evidence) bool {
	switch {
	case e.RolePosition != other.RolePosition:
		return e.RolePosition < other.RolePosition
	case e.RoleChanges != other.RoleChanges:
		return e.RoleChanges < other.RoleChanges
	default:
		return e.Role < other.Role
	}
}

// clearEvidence resets the fields that come from the host's evidence.
func (h *Host) clearEvidence() {
	h.Position, h.Role, h.RolePosition, h.RoleChanges = 0, policy.UnknownRole, 0, 0
}
