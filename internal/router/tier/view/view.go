// Package view is the state of a fleet that planners know and send to forwarders:
// hosts as discovery lists them, and what the hosts said of themselves.
//
// A planner applies lists and evidence to its View. TakeChanges returns what
// changed since the last call, numbered, and a Replica applies those changes at a
// forwarder; a gap or a difference makes the forwarder request a full change.
// Merging the replicas of all planners yields the one view that a forwarder
// decides on.
//
// Merging is commutative, associative and idempotent, as for a state-based CRDT,
// so that the order of arrival and repeated messages do not matter. Neither does
// any clock: claims are ordered by the version of the list, or by the position in
// the replicated log at which a host made its statement. Whoever relays a claim
// last gains nothing.
//
// The package is pure. Times and positions are policy.Tenth, tenths of a
// millisecond.
package view

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ferrypitch/policy"
)

// positionTolerance is how far a true position may be ahead of the clock: hosts
// round the position of a commit up.
const positionTolerance = policy.TenthMs(20)

// MaxPosition returns the greatest position that any host can have reached at a time.
func MaxPosition(now policy.TenthMs) policy.TenthMs { return now + positionTolerance }

// Version orders lists: by generation first, then by revision.
type Version struct {
	Generation uint64 `cbor:"1,keyasint,omitempty"` // raised by the operator when discovery is replaced and its revisions start anew
	Revision   int64  `cbor:"2,keyasint,omitempty"` // discovery's own
}

// Before reports whether a version is older than another.
func (v Version) Before(other Version) bool {
	return v.Generation < other.Generation || v.Generation == other.Generation && v.Revision < other.Revision
}

// View is the state of a fleet. The zero value is empty and ready to use. It is
// not safe for concurrent use.
type View struct {
	Floor       Version // a host that only lists older than this have named is removed
	ListVersion Version // of the newest list
	RouterCount int     // that share the hosts; 0: not known

	hosts         map[string]*Host
	goneHosts     int
	hostDigestSum uint64
	touched       map[string]bool // since the last TakeChanges or TakeChangedNames
}

// Len returns how many hosts are known, those that have left included.
func (v *View) Len() int { return len(v.hosts) }

// GoneCount returns how many of the hosts have left.
func (v *View) GoneCount() int { return v.goneHosts }

// Host returns the state of a host.
func (v *View) Host(name string) (Host, bool) {
	host := v.hosts[name]
	if host == nil {
		return Host{}, false
	}
	return *host, true
}

// Hosts returns the states of all hosts, sorted by name.
func (v *View) Hosts() []Host {
	hosts := make([]Host, 0, len(v.hosts))
	for _, host := range v.hosts {
		hosts = append(hosts, *host)
	}
	slices.SortFunc(hosts, compareNames)
	return hosts
}

func compareNames(a, b Host) int { return strings.Compare(a.Name, b.Name) }

// Digest returns a hash that is the same for views of the same content, however
// they came by it.
func (v *View) Digest() uint64 {
	buffer := binary.LittleEndian.AppendUint64(nil, v.hostDigestSum)
	for _, number := range []uint64{
		v.Floor.Generation, uint64(v.Floor.Revision), v.ListVersion.Generation, uint64(v.ListVersion.Revision), uint64(v.RouterCount),
	} {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	return xxhash.Sum64(buffer)
}

// ApplyList applies a list of discovery: a whole one, or what changed since another. A
// whole list removes the hosts that it lacks. It returns false, and changes
// nothing, if the list is older than the newest one applied.
func (v *View) ApplyList(version Version, whole bool, entries []Host) bool {
	if version.Before(v.ListVersion) {
		return false
	}
	v.ListVersion = version
	for _, entry := range entries {
		entry.Version = version
		entry.clearEvidence()
		entry.Lateness = 0
		v.updateHost(entry.Name, func(host *Host) bool { return host.merge(entry) })
	}
	if whole {
		v.confirmHosts(func(host *Host) bool { return host.Version == version })
	}
	return true
}

// Compact removes the hosts that have left, and records for the others that the
// newest list still names them. It raises the floor, so that a planner that
// returns with an older list cannot bring a removed host back.
func (v *View) Compact() {
	v.confirmHosts(func(host *Host) bool { return host.Standing != policy.Removed })
}

// confirmHosts raises the floor and the version of the hosts to keep to the newest list, and removes the others.
func (v *View) confirmHosts(keep func(*Host) bool) {
	v.Floor = v.ListVersion
	for name, host := range v.hosts {
		if !keep(host) {
			v.removeHost(name)
			continue
		}
		v.updateHost(name, func(host *Host) bool { host.Version = v.ListVersion; return true })
	}
}

// AddEvidence merges evidence of a host and reports whether it changed the view.
// Evidence of an unknown host, or with a position past maxPosition, is ignored.
func (v *View) AddEvidence(evidence Evidence, maxPosition policy.TenthMs) bool {
	if v.hosts[evidence.Name] == nil || !plausible(evidence.Position, evidence.RolePosition, maxPosition) {
		return false
	}
	return v.updateHost(evidence.Name, func(host *Host) bool { return host.mergeEvidence(evidence) })
}

// plausible reports whether a host can have named these positions.
func plausible(position, rolePosition, maxPosition policy.TenthMs) bool {
	return position >= 0 && position <= maxPosition && rolePosition >= 0 && rolePosition <= maxPosition
}

// SetLateness sets the lateness of a host, if it is known. Unlike evidence it may fall again.
func (v *View) SetLateness(name string, lateness uint8) {
	if v.hosts[name] == nil {
		return
	}
	v.updateHost(name, func(host *Host) bool {
		changed := host.Lateness != lateness
		host.Lateness = lateness
		return changed
	})
}

// Merge merges another view. Any order and repetition of merges yields the same
// list and, for hosts above the floors, the same evidence; evidence of a host below
// a floor may be lost, which is safe, since less is then known. Claims past
// maxPosition are ignored, and so is lateness, which is valid for a short time only.
func (v *View) Merge(other *View, maxPosition policy.TenthMs) {
	if v.ListVersion.Before(other.ListVersion) {
		v.ListVersion = other.ListVersion
	}
	if v.Floor.Before(other.Floor) {
		v.raiseFloor(other.Floor)
	}
	for _, host := range other.hosts {
		v.MergeHost(*host, maxPosition)
	}
}

func (v *View) raiseFloor(floor Version) {
	v.Floor = floor
	for name, host := range v.hosts {
		if host.Version.Before(floor) {
			v.removeHost(name)
		}
	}
}

// MergeHost merges one host of another view and reports whether it changed the view.
func (v *View) MergeHost(host Host, maxPosition policy.TenthMs) bool {
	if host.Version.Before(v.Floor) {
		return false
	}
	host.Lateness = 0
	if !plausible(host.Position, host.RolePosition, maxPosition) {
		host.clearEvidence()
	}
	host.BootedAt = max(0, min(host.BootedAt, maxPosition))
	return v.updateHost(host.Name, func(own *Host) bool { return own.merge(host) })
}

// Primary returns the host of a set that routers take as its primary: of those
// that say they are, the one that said so at the newest position. furthest is the
// host with the newest position. Either is empty if there is none.
func (v *View) Primary(set int64) (primary, furthest string) {
	var newestPrimary, newestHost *Host
	for _, name := range slices.Sorted(maps.Keys(v.hosts)) {
		host := v.hosts[name]
		if host.Set != set || host.Standing != policy.Active {
			continue
		}
		if host.Role == policy.Primary && (newestPrimary == nil || host.RolePosition > newestPrimary.RolePosition) {
			newestPrimary, primary = host, name
		}
		if newestHost == nil || host.Position > newestHost.Position {
			newestHost, furthest = host, name
		}
	}
	return primary, furthest
}

// updateHost runs update on a host, which is created if it is unknown, and keeps
// the digest, the counts and the names of changed hosts up to date. update reports
// whether it changed the host; the result is whether the view changed.
func (v *View) updateHost(name string, update func(host *Host) bool) bool {
	var digestBefore uint64
	var wasGone bool
	host, known := v.hosts[name]
	if known {
		digestBefore, wasGone = host.digest(), host.Standing == policy.Removed
	} else {
		host = &Host{Name: name}
	}
	if changed := update(host); known && !changed {
		return false
	}
	if !known {
		if v.hosts == nil {
			v.hosts = map[string]*Host{}
		}
		v.hosts[name] = host
	}
	v.hostDigestSum += host.digest() - digestBefore
	switch isGone := host.Standing == policy.Removed; {
	case isGone && !wasGone:
		v.goneHosts++
	case wasGone && !isGone:
		v.goneHosts--
	}
	v.markTouched(name)
	return true
}

func (v *View) removeHost(name string) {
	host := v.hosts[name]
	v.hostDigestSum -= host.digest()
	if host.Standing == policy.Removed {
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
