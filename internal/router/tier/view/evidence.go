package view

import "ferrypitch/policy"

// Evidence is what a host said of itself, whoever relays it: its position, and
// the role that it named last.
//
// Positions are times of commits in the replicated log, in tenths of a
// millisecond, so that they order what different hosts say.
type Evidence struct {
	Name   string       `cbor:"1,keyasint"`
	Pos    policy.Tenth `cbor:"2,keyasint,omitempty"` // the host has applied the log up to here
	Role   policy.Role  `cbor:"3,keyasint,omitempty"`
	RoleAt policy.Tenth `cbor:"4,keyasint,omitempty"` // its position when it named the role
	Turn   uint32       `cbor:"5,keyasint,omitempty"` // how often the role changed at that position
}

// Said adds what the host just answered and reports whether anything changed. later says that
// the question was sent after the answers known so far had come: only then does a
// different role at the same position mean that the role has changed. Otherwise it
// is an older answer that arrived late.
func (e *Evidence) Said(position policy.Tenth, role policy.Role, later bool) bool {
	before := *e
	e.Pos = max(e.Pos, position)
	switch {
	case role == policy.Unknown || position < e.RoleAt:
	case position > e.RoleAt:
		e.Role, e.RoleAt, e.Turn = role, position, 0
	case e.Role == policy.Unknown:
		e.Role = role
	case role != e.Role && later:
		e.Role, e.Turn = role, e.Turn+1
	}
	return *e != before
}

// Merge adds other evidence of the same host and reports whether anything changed.
// The role named at the newest position wins, then the one after more changes. If
// both are equal and the roles differ, which no host's own answers can cause, the
// host counts as a replica: that error is the cheaper one.
func (e *Evidence) Merge(other Evidence) bool {
	before := *e
	e.Pos = max(e.Pos, other.Pos)
	if e.roleOlderThan(other) {
		e.Role, e.RoleAt, e.Turn = other.Role, other.RoleAt, other.Turn
	}
	return *e != before
}

func (e *Evidence) roleOlderThan(other Evidence) bool {
	switch {
	case e.RoleAt != other.RoleAt:
		return e.RoleAt < other.RoleAt
	case e.Turn != other.Turn:
		return e.Turn < other.Turn
	default:
		return e.Role < other.Role
	}
}

// clearEvidence forgets what the host said of itself.
func (h *Host) clearEvidence() { h.Pos, h.Role, h.RoleAt, h.Turn = 0, policy.Unknown, 0, 0 }
