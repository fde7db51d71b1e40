// Package statemachine implements the replicated state of the control plane: the configuration, the database hosts, the primary
// of each service, and the proxies that may hold leases. Every member and every proxy applies the same changes in log order, so
// all of them have the same state at the same index.
//
//	Change -> EncodeChange -> log -> DecodeChange -> State.Apply
//	State  -> Snapshot     -> log, proxies       -> Restore
//
// A rejected change stays in the log; Apply returns the same error for it on every replica. The package is pure: it uses no
// sockets, files, clocks or random numbers. Package diskformat defines the stored form of changes and snapshots.
//
// Files: change.go defines the changes, and apply.go has a method for each; config_update.go handles configuration updates and
// their deltas; retention.go keeps the history of updates and removed hosts; digest.go and lookup.go have digests and secondary
// indexes of the state; snapshot.go and stored.go convert from and to the stored form; errors.go defines the errors.
package statemachine

import (
	"maps"
	"slices"

	"ferrypitch/internal/config"
)

// Host is a database host, as described by its heartbeats.
type Host struct {
	ID, Service, Address, Zone string
	Generation                 string
	Capacity                   int64
	Draining                   bool
	Missing                    bool   // the process has ended, and another host has everything that it received
	AddedIndex                 uint64 `json:"AddedAt"` // index of the change that added it; the status has the older name
}

// Primary describes the primary of a service and the failover or switchover in progress, if any. While Revoked is set, no proxy may
// send any host commands that require the primary.
type Primary struct {
	Host           string
	Term           uint64 // timeline of the database
	Revoked        bool
	FencingToken   uint64 // increases with each owner
	Owner          string // control-plane member that runs the failover or switchover
	ChangedIndex   uint64 `json:"ChangedAt"` // index of the change that revoked or appointed the primary; the status has the older name
	Nominee        string // host nominated in this failover or switchover; its promotion may have taken effect
	ReplicasPaused bool   // a failover or switchover paused replicas, and not all of them are known to receive writes again
}

// State is the result of all changes up to Index. The zero value is the state before the first change. Callers may read its
// fields, but only Apply may modify them.
type State struct {
	Index          uint64
	ConfigBody     []byte             // body of the configuration; empty if there is none yet
	Generation     int64              // version of the configuration
	LeaderTimeMs   int64              // highest leader time of all changes, see RetentionMs
	AppliedUpdates []AppliedUpdate    // sorted from oldest to newest
	Hosts          map[string]Host    // by ID
	Primaries      map[string]Primary // by service
	RemovedHosts   []RemovedHost      // sorted from oldest to newest
	// UnaccountedHosts are removed hosts, by ID, that may be the only ones that received an acknowledged write. No other primary
	// is appointed until a new host at the same address has that log, or other hosts are known to have all of it.
	UnaccountedHosts map[string]Host
	// LastPromotionMs is the duration of the last promotion by the platform in milliseconds, measured from the call; 0 if none
	// was observed.
	LastPromotionMs int64
	// Proxies maps the name of each proxy that may hold a lease to the index of the change that added it.
	Proxies map[string]uint64

	config       *config.Config
	configDigest [16]byte // of ConfigBody
	lookup       *lookup  // nil if not built yet
}

// Config returns the current configuration, or nil if there is none yet.
func (s *State) Config() *config.Config { return s.config }

// ProxyNames returns the sorted names of the proxies that may hold leases.
func (s *State) ProxyNames() []string { return slices.Sorted(maps.Keys(s.Proxies)) }

// UnaccountedHostIDs returns the sorted IDs of a service's unaccounted hosts.
func (s *State) UnaccountedHostIDs(service string) []string {
	return idsOfService(s.UnaccountedHosts, service)
}

func idsOfService(hosts map[string]Host, service string) (ids []string) {
	for id, host := range hosts {
		if host.Service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *State) putProxy(name string, addedIndex uint64) { putInMap(&s.Proxies, name, addedIndex) }

// putInMap sets a value in a map. It allocates the map if it is nil, as in the zero State.
func putInMap[V any](all *map[string]V, key string, value V) {
	if *all == nil {
		*all = map[string]V{}
	}
	(*all)[key] = value
}
