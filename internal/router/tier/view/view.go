// Package view holds what a planner knows of a fleet and hands out: hosts as
// the list has them, and what they said of themselves. Views join in any
// order, any number of times, to the same. It has no clock: what orders two
// claims is the version of the list, or the position in the log that a host
// named with its own words, so whoever relays them wins nothing by being last.
//
// A planner witnesses and lists into its View; Changes cuts what is new since
// the last time; a Copy follows those changes at a forwarder, and asks for a
// whole view where it can't; View.Join takes all copies into the one view that
// a forwarder decides on.
package view

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ferrypitch/policy"
)

// Version orders lists. Rev is discovery's; Gen is raised by the operator when
// discovery is replaced by one that counts anew.
type Version struct {
	Gen uint64 `cbor:"1,keyasint,omitempty"`
	Rev int64  `cbor:"2,keyasint,omitempty"`
}

// Before says that v is older than o.
func (v Version) Before(o Version) bool { return v.Gen < o.Gen || v.Gen == o.Gen && v.Rev < o.Rev }

// Host is a host as the list has it, and what it said of itself.
type Host struct {
	Name     string          `cbor:"1,keyasint"`
	Address  string          `cbor:"2,keyasint"`
	Zone     string          `cbor:"3,keyasint,omitempty"`
	Kind     string          `cbor:"4,keyasint,omitempty"`
	Set      int64           `cbor:"5,keyasint"`
	Size     float64         `cbor:"6,keyasint,omitempty"`
	Leader   bool            `cbor:"7,keyasint,omitempty"` // by the list, late
	Standing policy.Standing `cbor:"8,keyasint,omitempty"`
	Version  Version         `cbor:"9,keyasint"` // of the list that says all above
	Boot     policy.Tenth    `cbor:"10,keyasint,omitempty"`

	Pos    policy.Tenth `cbor:"11,keyasint,omitempty"` // it has applied all up to here
	Role   policy.Role  `cbor:"12,keyasint,omitempty"`
	RoleAt policy.Tenth `cbor:"13,keyasint,omitempty"` // the position that it named with its role
	Turn   uint32       `cbor:"14,keyasint,omitempty"` // how often it changed its role at that position

	Late uint8 `cbor:"15,keyasint,omitempty"` // one more than the tenths of the response target; 0: not known
}

// Evidence is a host's own words: its position, and its role if it named one.
type Evidence struct {
	Name   string       `cbor:"1,keyasint"`
	Pos    policy.Tenth `cbor:"2,keyasint,omitempty"`
	Role   policy.Role  `cbor:"3,keyasint,omitempty"`
	RoleAt policy.Tenth `cbor:"4,keyasint,omitempty"`
	Turn   uint32       `cbor:"5,keyasint,omitempty"`
}

// Said takes in what a host just said. later tells that it was asked after what
// is held was heard: a role that differs at one position has then turned, else it
// is an older word that came late.
func (e *Evidence) Said(pos policy.Tenth, role policy.Role, later bool) bool {
	was := *e
	e.Pos = max(e.Pos, pos)
	switch {
	case role == policy.Unknown || pos < e.RoleAt:
	case pos > e.RoleAt:
		e.Role, e.RoleAt, e.Turn = role, pos, 0
	case e.Role == policy.Unknown:
		e.Role = role
	case role != e.Role && later:
		e.Role, e.Turn = role, e.Turn+1
	}
	return *e != was
}

// Merge takes in another's evidence of the same host. Equal turns with different
// roles can't come of one host's words; a replica is the claim that costs less.
func (e *Evidence) Merge(o Evidence) bool {
	was := *e
	e.Pos = max(e.Pos, o.Pos)
	if o.RoleAt > e.RoleAt || o.RoleAt == e.RoleAt && (o.Turn > e.Turn || o.Turn == e.Turn && o.Role > e.Role) {
		e.Role, e.RoleAt, e.Turn = o.Role, o.RoleAt, o.Turn
	}
	return *e != was
}

func (h *Host) evidence() Evidence { return Evidence{h.Name, h.Pos, h.Role, h.RoleAt, h.Turn} }

func (h *Host) mergeEvidence(e Evidence) bool {
	mine := h.evidence()
	if !mine.Merge(e) {
		return false
	}
	h.Pos, h.Role, h.RoleAt, h.Turn = mine.Pos, mine.Role, mine.RoleAt, mine.Turn
	return true
}

// merge takes in another view's host. Of two lists the newer binds; at one
// version the one that allows less does, and of what else differs there (which
// lists of one discovery never do) the greater, so that order does not matter.
func (h *Host) merge(o Host) bool {
	was := *h
	if h.Version.Before(o.Version) || h.Version == o.Version && h.listedBefore(o) {
		h.Address, h.Zone, h.Kind, h.Set, h.Size = o.Address, o.Zone, o.Kind, o.Set, o.Size
		h.Leader, h.Standing, h.Version, h.Boot = o.Leader, o.Standing, o.Version, o.Boot
	}
	h.mergeEvidence(o.evidence())
	h.Late = max(h.Late, o.Late)
	return *h != was
}

func (h *Host) listedBefore(o Host) bool {
	flag := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	for _, c := range []int{int(h.Standing) - int(o.Standing), strings.Compare(h.Address, o.Address),
		strings.Compare(h.Zone, o.Zone), strings.Compare(h.Kind, o.Kind), compare(h.Set, o.Set),
		compare(h.Size, o.Size), flag(h.Leader) - flag(o.Leader), compare(h.Boot, o.Boot)} {
		if c != 0 {
			return c < 0
		}
	}
	return false
}

func compare[T int64 | float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// View is a fleet. The zero value holds nothing and works.
type View struct {
	Floor         Version // hosts that no list since has named are gone
	Listed        Version // of the newest list
	Routers       int     // how many take commands; 0: not known
	hosts         map[string]*Host
	goneHosts     int
	hostDigestSum uint64
	touched       map[string]bool // since the last Changes
}

// Len is how many hosts are held, those that are gone included.
func (v *View) Len() int { return len(v.hosts) }

// GoneCount is how many of them are gone.
func (v *View) GoneCount() int { return v.goneHosts }

// Host is a copy of a host.
func (v *View) Host(name string) (Host, bool) {
	h := v.hosts[name]
	if h == nil {
		return Host{}, false
	}
	return *h, true
}

// Hosts are copies of all hosts, in the order of their names.
func (v *View) Hosts() []Host {
	all := make([]Host, 0, len(v.hosts))
	for _, h := range v.hosts {
		all = append(all, *h)
	}
	slices.SortFunc(all, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Digest is the same for views that hold the same, whatever came in which order.
func (v *View) Digest() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, v.hostDigestSum)
	for _, n := range []uint64{v.Floor.Gen, uint64(v.Floor.Rev), v.Listed.Gen, uint64(v.Listed.Rev), uint64(v.Routers)} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

func (h *Host) digest() uint64 {
	b := make([]byte, 0, 192)
	for _, s := range []string{h.Name, h.Address, h.Zone, h.Kind} {
		b = append(binary.LittleEndian.AppendUint32(b, uint32(len(s))), s...)
	}
	leader := uint64(0)
	if h.Leader {
		leader = 1
	}
	for _, n := range []uint64{uint64(h.Set), math.Float64bits(h.Size), leader, uint64(h.Standing), h.Version.Gen,
		uint64(h.Version.Rev), uint64(h.Boot), uint64(h.Pos), uint64(h.Role), uint64(h.RoleAt), uint64(h.Turn),
		uint64(h.Late)} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

// updateHost runs do on a host, which it may make, and books what that changed.
func (v *View) updateHost(name string, do func(h *Host) bool) bool {
	h, known := v.hosts[name]
	if !known {
		h = &Host{Name: name}
	}
	before, was := uint64(0), h.Standing == policy.Gone
	if known {
		before = h.digest()
	}
	if !do(h) && known {
		return false
	}
	if !known {
		if v.hosts == nil {
			v.hosts = map[string]*Host{}
		}
		v.hosts[name] = h
	}
	v.hostDigestSum += h.digest() - before
	switch is := h.Standing == policy.Gone; {
	case is && !(known && was):
		v.goneHosts++
	case !is && known && was:
		v.goneHosts--
	}
	v.markTouched(name)
	return true
}

func (v *View) removeHost(name string) {
	h := v.hosts[name]
	v.hostDigestSum -= h.digest()
	if h.Standing == policy.Gone {
		v.goneHosts--
	}
	delete(v.hosts, name)
	v.markTouched(name)
}

func (v *View) markTouched(name string) {
	if v.touched == nil {
		v.touched = map[string]bool{}
	}
	v.touched[name] = true
}

// List takes in a list, whole or the changes since one. Of a whole one, what it
// lacks is gone. One that is older than what is held changes nothing.
func (v *View) List(at Version, whole bool, entries []Host) bool {
	if at.Before(v.Listed) {
		return false
	}
	v.Listed = at
	for _, e := range entries {
		e.Version, e.Pos, e.Role, e.RoleAt, e.Turn, e.Late = at, 0, policy.Unknown, 0, 0, 0
		v.updateHost(e.Name, func(h *Host) bool { return h.merge(e) })
	}
	if whole {
		v.confirmHosts(func(h *Host) bool { return h.Version != at })
	}
	return true
}

// Compact says of all hosts that are held that the newest list still has them so,
// and drops those that are gone. Guards against a planner that comes back with a
// list from before they went: what is older than the floor counts no more.
func (v *View) Compact() { v.confirmHosts(func(h *Host) bool { return h.Standing == policy.Gone }) }

func (v *View) confirmHosts(gone func(*Host) bool) {
	v.Floor = v.Listed
	for name, h := range v.hosts {
		if gone(h) {
			v.removeHost(name)
			continue
		}
		v.updateHost(name, func(h *Host) bool { h.Version = v.Listed; return true })
	}
}

// Believe takes in evidence of a host, from whomever, and says whether it was
// new. ahead is the greatest position that can be true now.
func (v *View) Believe(e Evidence, ahead policy.Tenth) bool {
	if v.hosts[e.Name] == nil || e.Pos > ahead || e.RoleAt > ahead || e.Pos < 0 || e.RoleAt < 0 {
		return false
	}
	return v.updateHost(e.Name, func(h *Host) bool { return h.mergeEvidence(e) })
}

// Lateness sets what answers of a host take, for what it is worth.
func (v *View) Lateness(name string, late uint8) {
	if v.hosts[name] != nil {
		v.updateHost(name, func(h *Host) bool { was := h.Late; h.Late = late; return was != late })
	}
}

// Join takes in all that another view holds: each order and repeat of joins ends
// in the same list, and, of hosts above the floors, in the same evidence; what
// was said of a host under an older floor may be lost, which only makes less
// known. Claims past ahead are passed over, and lateness, which ages.
func (v *View) Join(o *View, ahead policy.Tenth) {
	if v.Listed.Before(o.Listed) {
		v.Listed = o.Listed
	}
	if v.Floor.Before(o.Floor) {
		v.Floor = o.Floor
		for name, h := range v.hosts {
			if h.Version.Before(v.Floor) {
				v.removeHost(name)
			}
		}
	}
	for _, h := range o.hosts {
		v.MergeHost(*h, ahead)
	}
}

// MergeHost takes in one host of another view.
func (v *View) MergeHost(h Host, ahead policy.Tenth) bool {
	if h.Version.Before(v.Floor) {
		return false
	}
	if h.Late = 0; h.Pos > ahead || h.RoleAt > ahead || h.Pos < 0 || h.RoleAt < 0 {
		h.Pos, h.Role, h.RoleAt, h.Turn = 0, policy.Unknown, 0, 0
	}
	h.Boot = max(0, min(h.Boot, ahead))
	return v.updateHost(h.Name, func(mine *Host) bool { return mine.merge(h) })
}

// Primary is the host of a set that follows as its primary: of those that say
// they are, the one whose word is newest. Where none does, next is the one that
// is furthest in the log.
func (v *View) Primary(set int64) (primary, next string) {
	var p, n *Host
	for _, h := range v.hosts {
		if h.Set != set || h.Standing != policy.In {
			continue
		}
		if h.Role == policy.Primary && (p == nil || h.RoleAt > p.RoleAt || h.RoleAt == p.RoleAt && h.Name < p.Name) {
			p = h
		}
		if n == nil || h.Pos > n.Pos || h.Pos == n.Pos && h.Name < n.Name {
			n = h
		}
	}
	if p != nil {
		primary = p.Name
	}
	if n != nil {
		next = n.Name
	}
	return primary, next
}
