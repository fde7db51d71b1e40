package view

import "slices"

// Change is what happened to a planner's view between two sequence numbers. A
// full change describes the whole view. It is sent over links and stored by
// forwarders, so its keys never change.
type Change struct {
	Life    uint64   `cbor:"1,keyasint"` // of the planner; each start has another
	Seq     uint64   `cbor:"2,keyasint"`
	Whole   bool     `cbor:"3,keyasint,omitempty"`
	Floor   Version  `cbor:"4,keyasint"`
	Listed  Version  `cbor:"5,keyasint"`
	Routers int      `cbor:"6,keyasint,omitempty"`
	Every   int64    `cbor:"7,keyasint,omitempty"` // the interval at which forwarders are to report, in tenths of a millisecond
	Hosts   []Host   `cbor:"8,keyasint,omitempty"` // added or changed
	Dropped []string `cbor:"9,keyasint,omitempty"` // removed
	Digest  uint64   `cbor:"10,keyasint"`          // of the view after the change
}

// Whole returns a full change that describes the view.
func (v *View) Whole(incarnation, sequence uint64) Change {
	change := v.header(incarnation, sequence)
	change.Whole = true
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
			change.Dropped = append(change.Dropped, name)
		}
	}
	return change
}

// header returns a change without hosts.
func (v *View) header(incarnation, sequence uint64) Change {
	return Change{
		Life: incarnation, Seq: sequence, Floor: v.Floor, Listed: v.Listed, Routers: v.Routers, Digest: v.Digest(),
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
