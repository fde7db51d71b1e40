// Package diskformat defines the stored form of changes and snapshots of the control plane's state, in the log and on disk.
//
// encoding/gob writes the names of types and fields into its output, and the decoder silently ignores fields that the type does
// not have. So names in this package never change, whatever the values are called elsewhere: an obsolete field stays, and a new
// field gets a name that was never used before. Types that are elements of lists are in package rack, because gob also writes
// the package name of an element type. The order of fields is part of the form as well, because equal states must have equal
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

// Configure is the stored form of a configuration update in logs of releases before updates had an encoding of their own.
type Configure struct {
	Base   int64
	Amend  bool
	Body   []byte
	Packed Packed
}

// Packed holds the digests of the request, the base and the result of a Configure, and the diff.
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

// State is the stored form of the whole state. The name of its type, flatState, is written in snapshots on disk.
type State = flatState

// flatState holds the state's maps as lists sorted by key.
type flatState struct {
	Index  uint64
	Config []byte
	Gen    int64
	Led    int64
	Orders []byte // applied configuration updates, encoded by package statemachine
	Hosts  []Host
	Names  []string // service names; the keys of Leads
	Leads  []Lead
	Left   []Departure
	Owed   []Host
	Took   int64

	Routers []string
	Since   []uint64 // index of the change that added each proxy in Routers
}
