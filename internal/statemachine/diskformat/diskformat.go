// Package diskformat holds the form in which changes and snapshots of the control plane's state are stored in the log and on
// disk.
//
// encoding/gob writes the names of types and fields into the bytes and drops, without an error, what it reads under a name
// that the type does not have. So no name here ever changes, whatever the values are called elsewhere: a field that is no
// longer needed stays, and a new one gets a name that was never used. A type that lists have is in package
// rack, since gob writes the name of its package too. The order of fields is part of the form as well: equal states give equal
// bytes.
package diskformat

import "ferrypitch/internal/statemachine/diskformat/rack"

// Change is the stored form of a change.
type Change struct {
	Led       int64
	Configure *Configure
	Enter     *Host
	Drain     string
	Leave     string
	Recall    *Recall
	Named     *Named
	Lead      *NewLead
	Router    *Router
	Missing   string
	Resumed   string
}

// Configure is the form of an update of the configuration in logs that are older than its packed form.
type Configure struct {
	Base   int64
	Amend  bool
	Body   []byte
	Packed Packed
}

// Packed is the digests and the difference of a Configure.
type Packed struct {
	Sent  [16]byte
	Was   [16]byte
	Whole [16]byte
	Diff  []byte
}

// Host is the stored form of a host.
type Host = rack.Host

// Recall is the stored form of the change that revokes a primary.
type Recall struct{ Service, Holder string }

// Named is the stored form of the change that nominates a primary.
type Named struct{ Service, Host, Holder string }

// NewLead is the stored form of the change that appoints a primary.
type NewLead struct {
	Service, Host string
	Term          uint64
	Took          int64
}

// Router is the stored form of the change that adds or removes a proxy.
type Router struct {
	Node string
	Gone bool
}

// Lead is the stored form of a service's primary.
type Lead = rack.Lead

// Departure is the stored form of a host that was removed.
type Departure = rack.Departure

// State is the stored form of the whole state. Its type keeps the name that stands in snapshots on disk.
type State = flatState

// flatState holds maps as lists. Maps are lists in the order of their keys.
type flatState struct {
	Index  uint64
	Config []byte
	Gen    int64
	Led    int64
	Orders []byte // the updates that were applied, packed by their owner
	Hosts  []Host
	Names  []string // of the services in Leads
	Leads  []Lead
	Left   []Departure
	Owed   []Host
	Took   int64

	Routers []string
	Since   []uint64 // the change that brought each of Routers
}
