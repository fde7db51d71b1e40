// Package lease keeps the leases under which routers may treat a host as
// a service's primary. A lease counts at the router from the moment at which it asked, at the control plane from the
// moment at which that answered, so the router's always ends first. What leads which service comes with the log; a
// router that has applied the change which takes a lead back has handed it back.
//
//	Jaw    at the control plane: who may still hold what
//	Screw  at a router: until when what the log says may be acted on
//
// Pure: times are milliseconds of each process's own steady clock.
package lease

import "slices"

// GrantMs is how long the control plane counts on a lease that it granted, in milliseconds. Longer rides out a change of
// its view; shorter lets a lead pass on sooner when a router can't be heard.
const GrantMs = 1760

// holderValidityMs is how long a router acts under one: a tenth less, so that its clock may run slower than the control plane's, by
// as much as a view's leases allow.
const holderValidityMs = GrantMs * 9 / 10

// Grantor is the control plane's side. Its zero value is not of use; New.
type Grantor struct {
	leaderSince int64 // when this member began to lead
	grants      map[string]*grant
}

type grant struct {
	incarnation       uint64
	expiresAt         int64
	appliedIndex      uint64
	seenIncarnations  []uint64        // other lives that said hello while the lease of this one ran
	endedIncarnations map[uint64]bool // lives before this one
}

// NewGrantor starts the account of a member that begins to lead now: others may have granted until then.
func NewGrantor(now int64) *Grantor { return &Grantor{leaderSince: now, grants: map[string]*grant{}} }

// Grant notes a lease that is granted now to a router, which has applied the log up to an index. A router in another
// life has no leases of the one before. One that has not applied what takes a lead back, at need, is granted none: else
// one that hears no news, and yet asks, would hold up fail-over for good.
func (g *Grantor) Grant(router string, life, applied, need uint64, now int64) bool {
	h := g.grants[router]
	if h != nil && h.endedIncarnations[life] {
		return false // it was on its way when that life ended
	}
	if h != nil && h.incarnation != life {
		next := &grant{incarnation: life, endedIncarnations: map[uint64]bool{h.incarnation: true}}
		for old := range h.endedIncarnations {
			next.endedIncarnations[old] = true
		}
		for _, old := range h.seenIncarnations {
			next.endedIncarnations[old] = old != life
		}
		g.grants[router] = next
	}
	g.Observe(router, life, applied, now)
	if applied < need {
		return false
	}
	g.grants[router].expiresAt = now + GrantMs
	return true
}

// Observe notes how far a router has come, without a lease. A hello may be an old life's that comes late, and takes
// nothing from a lease that runs: only who was met here asks for one.
func (g *Grantor) Observe(router string, life, applied uint64, now int64) {
	h := g.grants[router]
	switch {
	case h == nil:
		h = &grant{incarnation: life}
		g.grants[router] = h
	case h.incarnation != life && (h.endedIncarnations[life] || now < h.expiresAt):
		if !h.endedIncarnations[life] && !slices.Contains(h.seenIncarnations, life) {
			h.seenIncarnations = append(h.seenIncarnations, life)
		}
		return
	case h.incarnation != life:
		h.incarnation, h.appliedIndex = life, 0
	}
	h.appliedIndex = max(h.appliedIndex, applied)
}

// AllCaughtUp says that no router acts any more on what the log said before an index. known are all routers that were ever
// granted a lease by anybody: until what others may have granted is over, each of them must have been heard.
func (g *Grantor) AllCaughtUp(index uint64, known []string, now int64) bool {
	if now < g.leaderSince+GrantMs {
		for _, name := range known {
			if h := g.grants[name]; h == nil || h.appliedIndex < index {
				return false
			}
		}
	}
	for _, h := range g.grants {
		if now < h.expiresAt && h.appliedIndex < index {
			return false
		}
	}
	return true
}

// HolderCount counts the routers that hold leases, and forgets those that are long gone.
func (g *Grantor) HolderCount(now int64) (n int) {
	for name, h := range g.grants {
		if now < h.expiresAt {
			n++
		} else if h.expiresAt > 0 && now > h.expiresAt+60*GrantMs {
			delete(g.grants, name)
		}
	}
	return n
}

// Holders are the names of those that hold leases.
func (g *Grantor) Holders(now int64) (names []string) {
	for name, h := range g.grants {
		if now < h.expiresAt {
			names = append(names, name)
		}
	}
	return names
}

// Holder is a router's side. The zero value holds nothing.
type Holder struct{ expiresAt int64 }

// Renewed takes in a lease that was asked for at a time.
func (s *Holder) Renewed(askedAt int64) { s.expiresAt = max(s.expiresAt, askedAt+holderValidityMs) }

// ExpiresAt is when the lease ends.
func (s *Holder) ExpiresAt() int64 { return s.expiresAt }

// Valid says whether what the log says may be acted on now.
func (s *Holder) Valid(now int64) bool { return now < s.expiresAt }
