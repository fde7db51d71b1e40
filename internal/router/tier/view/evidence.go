package view

import "ferrypitch/policy"

// Evidence is what a host said of itself, whoever relays it: its position, and
// the role that it named last.
//
// Positions are times of commits in the replicated log, in tenths of a
// millisecond, so that they order what different hosts say.
type Evidence struct {
	Name         string         `cbor:"1,keyasint"`
	Position     policy.TenthMs `cbor:"2,keyasint,omitempty"` // the host has applied the log up to here
	Role         policy.Role    `cbor:"3,keyasint,omitempty"`
	RolePosition policy.TenthMs `cbor:"4,keyasint,omitempty"` // its position when it named the role
	RoleChanges  uint32         `cbor:"5,keyasint,omitempty"` // how often the role changed at that position
}

// Observe adds what the host just answered and reports whether anything changed. later says that
// the question was sent after the answers known so far had come: only then does a
// different role at the same position mean that the role has changed. Otherwise it
// is an older answer that arrived late.
func (e *Evidence) Observe(position policy.TenthMs, role policy.Role, later bool) bool {
	before := *e
	e.Position = max(e.Position, position)
	switch {
	case role == policy.UnknownRole || position < e.RolePosition:
	case position > e.RolePosition:
		e.Role, e.RolePosition, e.RoleChanges = role, position, 0
	case e.Role == policy.UnknownRole:
		e.Role = role
	case role != e.Role && later:
		e.Role, e.RoleChanges = role, e.RoleChanges+1
	}
	return *e != before
}

// Merge adds other evidence of the same host and reports whether anything changed.
// The role named at the newest position wins, then the one after more changes. If
// both are equal and the roles differ, which no host's own answers can cause, the
// host counts as a replica: that error is the cheaper one.
func (e *Evidence) Merge(other Evidence) bool {
	before := *e
	e.Position = max(e.Position, other.Position)
	if e.roleOlderThan(other) {
		e.Role, e.RolePosition, e.RoleChanges = other.Role, other.RolePosition, other.RoleChanges
	}
	return *e != before
}

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

// clearEvidence forgets what the host said of itself.
func (h *Host) clearEvidence() {
	h.Position, h.Role, h.RolePosition, h.RoleChanges = 0, policy.UnknownRole, 0, 0
}
