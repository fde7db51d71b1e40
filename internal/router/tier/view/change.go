package view

import "slices"

// Change is the difference between two successive states of a planner's view, or
// the complete view if Full is set. Planners send changes over links and
// forwarders store full changes on disk, so the CBOR keys must never change.
type Change struct {
	Incarnation    uint64   `cbor:"1,keyasint"`           // identifies the planner's process; differs after each restart
	Sequence       uint64   `cbor:"2,keyasint"`           // sequence number, increased by 1 with each change
	Full           bool     `cbor:"3,keyasint,omitempty"` // Hosts is the complete view
	Floor          Version  `cbor:"4,keyasint"`
	ListVersion    Version  `cbor:"5,keyasint"`
	RouterCount    int      `cbor:"6,keyasint,omitempty"`
	ReportInterval int64    `cbor:"7,keyasint,omitempty"` // between reports of a forwarder, in tenths of a millisecond
	Hosts          []Host   `cbor:"8,keyasint,omitempty"` // added or changed hosts
	Removed        []string `cbor:"9,keyasint,omitempty"` // names of removed hosts
	Digest         uint64   `cbor:"10,keyasint"`          // digest of the view after the change
}

// FullChange returns a full change that describes the complete view.
func (v *View) FullChange(incarnation, sequence uint64) Change {
	change := v.header(incarnation, sequence)
	change.Full = true
	change.Hosts = v.Hosts()
	return change
}

// TakeChanges returns the hosts that were added, changed or removed since the last
// call of this method or TakeChangedNames, sorted by name.
func (v *View) TakeChanges(incarnation, sequence uint64) Change {
	change := v.header(incarnation, sequence)
	for _, name := range v.TakeChangedNames() {
		if host := v.hosts[name]; host != nil {
			change.Hosts = append(change.Hosts, *host)
		} else {
			change.Removed = append(change.Removed, name)
		}
	}
	return change
}

// header returns a change that has all fields but Full, ReportInterval and the hosts.
func (v *View) header(incarnation, sequence uint64) Change {
	return Change{
		Incarnation: incarnation, Sequence: sequence, Floor: v.Floor, ListVersion: v.ListVersion, RouterCount: v.RouterCount, Digest: v.Digest(),
	}
}

// TakeChangedNames returns the names of the hosts that were added, changed or
// removed since the last call of this method or TakeChanges, sorted.
func (v *View) TakeChangedNames() []string {
	names := make([]string, 0, len(v.changedNames))
	for name := range v.changedNames {
		names = append(names, name)
	}
	clear(v.changedNames)
	slices.Sort(names)
	return names
}
