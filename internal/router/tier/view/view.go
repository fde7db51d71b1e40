// Package view holds the state of the fleet that planners send to forwarders: the
// hosts as discovery lists them, and the evidence of each host's position and role.
//
// A planner applies lists and evidence to its View. TakeChanges returns the
// changes since the last call under a sequence number, and a Replica at the
// forwarder applies them. After a gap or a digest mismatch the forwarder requests
// a full change. A forwarder merges the replicas of all planners into the view on
// which it decides.
//
// The merge is commutative, associative and idempotent, as in a state-based CRDT,
// so the order of arrival and duplicate messages do not affect the result. Neither
// do clocks: list entries are ordered by the version of the list, and evidence by
// the position in the replicated log that the host reported. Information does not
// take precedence by being relayed later.
//
// The package does no I/O and reads no clock. Times and positions are
// policy.TenthMs, tenths of a millisecond.
package view

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ferrypitch/policy"
)

// positionTolerance is how far a valid position may be ahead of the clock, since
// hosts round the position of a commit up.
const positionTolerance = policy.TenthMs(20)

// MaxPosition returns the highest position that a host can have reached at the given time.
func MaxPosition(now policy.TenthMs) policy.TenthMs { return now + positionTolerance }

// Version is the version of a list. Versions are ordered by generation, then by revision.
type Version struct {
	Generation uint64 `cbor:"1,keyasint,omitempty"` // incremented by the operator when discovery is replaced and its revisions restart
	Revision   int64  `cbor:"2,keyasint,omitempty"` // assigned by discovery
}

// Before reports whether the version is older than another.
func (v Version) Before(other Version) bool {
	return v.Generation < other.Generation || v.Generation == other.Generation && v.Revision < other.Revision
}

// View is the state of the fleet. The zero value is an empty view that is ready to
// use. A View is not safe for concurrent use.
type View struct {
	Floor       Version // hosts whose latest list is older than this version are removed
	ListVersion Version // version of the newest list
	RouterCount int     // number of routers that share the hosts; 0 if not known

	hosts         map[string]*Host
	tombstones    int
	hostDigestSum uint64
	changedNames  map[string]bool // hosts changed since the last TakeChanges or TakeChangedNames
}

// Len returns the number of hosts, including tombstones.
func (v *View) Len() int { return len(v.hosts) }

// TombstoneCount returns the number of tombstones: hosts whose list state is policy.Removed.
func (v *View) TombstoneCount() int { return v.tombstones }

// Host returns the state of a host and whether the host is known.
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

// Digest returns a hash of the view's content. It does not depend on the order in
// which the content was applied.
func (v *View) Digest() uint64 {
	buffer := binary.LittleEndian.AppendUint64(nil, v.hostDigestSum)
	for _, number := range []uint64{
		v.Floor.Generation, uint64(v.Floor.Revision), v.ListVersion.Generation, uint64(v.ListVersion.Revision), uint64(v.RouterCount),
	} {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	return xxhash.Sum64(buffer)
}

// ApplyList applies a list from discovery. A complete list removes all hosts that
// it does not contain; any other list holds only the entries that changed. It
// returns false, and changes nothing, if the list is older than the newest applied
// one.
func (v *View) ApplyList(version Version, complete bool, entries []Host) bool {
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
	if complete {
		v.confirmHosts(func(host *Host) bool { return host.Version == version })
	}
	return true
}

// Compact removes the tombstones and marks all other hosts as confirmed by the
// newest list. It raises Floor, so that a planner that reconnects with an older
// list cannot bring a removed host back.
func (v *View) Compact() {
	v.confirmHosts(func(host *Host) bool { return host.ListedState != policy.Removed })
}

// confirmHosts raises Floor and the versions of the hosts to keep to the version of the newest
// list, and removes all other hosts.
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
// Evidence of an unknown host, or with a position above maxPosition, is ignored.
func (v *View) AddEvidence(evidence Evidence, maxPosition policy.TenthMs) bool {
	if v.hosts[evidence.Name] == nil || !plausible(evidence.Position, evidence.RolePosition, maxPosition) {
		return false
	}
	return v.updateHost(evidence.Name, func(host *Host) bool { return host.mergeEvidence(evidence) })
}

// plausible reports whether both positions are in the range that a host can report.
func plausible(position, rolePosition, maxPosition policy.TenthMs) bool {
	return position >= 0 && position <= maxPosition && rolePosition >= 0 && rolePosition <= maxPosition
}

// SetLateness sets the lateness of a host, if the host is known. Unlike evidence, lateness may decrease.
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

// Merge merges another view. Merges in any order, also repeated ones, yield the
// same list entries and, for hosts at or above both floors, the same evidence.
// Evidence of a host below a floor may be lost, which is safe: less is then known
// of the host. Evidence above maxPosition is ignored, and so is lateness, which is
// valid for a short time only.
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

// raiseFloor sets Floor and removes the hosts whose versions are below it.
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

// Primary returns the primary of a replica set as routers determine it: of the
// active hosts that report the role of primary, the one that did so at the newest
// position. furthest is the active host with the newest position. Each is empty if
// there is no such host.
func (v *View) Primary(set int64) (primary, furthest string) {
	var newestPrimary, newestHost *Host
	for _, name := range slices.Sorted(maps.Keys(v.hosts)) {
		host := v.hosts[name]
		if host.Set != set || host.ListedState != policy.Active {
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

// updateHost calls update on a host, which is created if it is unknown, and updates
// the digest, the number of tombstones and the set of changed names. update reports
// whether it changed the host. updateHost reports whether the view changed.
func (v *View) updateHost(name string, update func(host *Host) bool) bool {
	var digestBefore uint64
	var wasTombstone bool
	host, known := v.hosts[name]
	if known {
		digestBefore, wasTombstone = host.digest(), host.ListedState == policy.Removed
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
	switch isTombstone := host.ListedState == policy.Removed; {
	case isTombstone && !wasTombstone:
		v.tombstones++
	case wasTombstone && !isTombstone:
		v.tombstones--
	}
	v.markChanged(name)
	return true
}

func (v *View) removeHost(name string) {
	host := v.hosts[name]
	v.hostDigestSum -= host.digest()
	if host.ListedState == policy.Removed {
		v.tombstones--
	}
	delete(v.hosts, name)
	v.markChanged(name)
}

func (v *View) markChanged(name string) {
	if v.changedNames == nil {
		v.changedNames = map[string]bool{}
	}
	v.changedNames[name] = true
}
