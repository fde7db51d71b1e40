// Package rack holds the stored forms that the state has lists of. encoding/gob writes the type of a list with the name of the
// package that its elements come from, as in []rack.Host. So this package keeps the name that the package of the state machine
// had when the form was first written.
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
