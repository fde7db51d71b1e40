// Package rack defines the stored forms that are elements of lists in the stored state. encoding/gob writes the type name of a
// list with the package name of its elements, for example []rack.Host. So this package keeps the name that package statemachine
// had when the stored form was introduced.
package rack

// Host is the stored form of a host.
type Host struct {
	ID, Service, Address, Zone string
	Generation                 string
	Capacity                   int64
	Draining                   bool
	Missing                    bool
	Since                      uint64
}

// Lead is the stored form of a service's primary.
type Lead struct {
	Host   string
	Term   uint64
	Moving bool
	Fence  uint64
	Holder string
	At     uint64
	To     string
	Paused bool
}

// Departure is the stored form of a host that was removed.
type Departure struct {
	ID string
	At int64
}
