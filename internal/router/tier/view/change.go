package view

import "slices"

// Change is what happened to a planner's view between two sequence numbers. A
// full change describes the whole view. It is sent over links and stored by
// forwarders, so its keys never change.
type Change struct {
	Incarnation    uint64   `cbor:"1,keyasint"` // of the planner; each start has another
	Sequence       uint64   `cbor:"2,keyasint"`
	Full           bool     `cbor:"3,keyasint,omitempty"`
	Floor          Version  `cbor:"4,keyasint"`
	ListVersion    Version  `cbor:"5,keyasint"`
	RouterCount    int      `cbor:"6,keyasint,omitempty"`
	ReportInterval int64    `cbor:"7,keyasint,omitempty"` // the interval at which forwarders are to report, in tenths of a millisecond
	Hosts          []Host   `cbor:"8,keyasint,omitempty"` // added or changed
	Removed        []string `cbor:"9,keyasint,omitempty"` // removed
	Digest         uint64   `cbor:"10,keyasint"`          // of the view after the change
}

// FullChange returns a full change that describes the view.
func (v *View) FullChange(incarnation, sequence uint64) Change {
	change := v.header(incarnation, sequence)
	change.Full = true
	change.Hosts = v.Hosts()
	return change
}

// TakeChanges returns what changed since the last call, sorted by name.
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

// header returns a change without hosts.
func (v *View) header(incarnation, sequence uint64) Change {
	return Change{
		Incarnation: incarnation, Sequence: sequence, Floor: v.Floor, ListVersion: v.ListVersion, RouterCount: v.RouterCount, Digest: v.Digest(),
	}
}

// TakeChangedNames returns the names of the hosts that were added, changed or
// removed since the last call of this method or TakeChanges, sorted.
func (v *View) TakeChangedNames() []string {
	names := make([]string, 0, len(v.touched))
	for name := range v.touched {
		names = append(names, name)
	}
	clear(v.touched)
	slices.Sort(names)
	return names
}
