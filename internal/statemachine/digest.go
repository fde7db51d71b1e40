package statemachine

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Range is a part of the state that has a digest of its own, so that a divergence can be narrowed down to it.
type Range uint8

// The ranges of the state. Their numbers are indices into Digest.Ranges.
const (
	RangeConfig    Range = iota // the configuration and its version
	RangeHosts                  // the hosts, including unaccounted ones
	RangePrimaries              // the primaries
	RangeProxies                // the proxies
	RangeHistory                // leader time, applied updates and removed hosts
	RangeCount                  // number of ranges
)

var rangeNames = [RangeCount]string{"configuration", "hosts", "primaries", "proxies", "history"}

// String returns the name of the range, as used in log lines.
func (r Range) String() string { return rangeNames[r] }

// Digest summarizes the state at an index. All replicas have the same digest at the same index. The names of the type and its
// fields are part of the wire format.
type Digest struct {
	Index  uint64
	Ranges [RangeCount]uint64
}

// DifferingRanges returns the names of the ranges in which two digests differ; it is empty if they are equal.
func (d Digest) DifferingRanges(other Digest) string {
	var names []string
	for r := range RangeCount {
		if d.Ranges[r] != other.Ranges[r] {
			names = append(names, r.String())
		}
	}
	return strings.Join(names, ", ")
}

// Digest computes the digest of the state as it is in memory. It reads the whole state, which takes about 0.1 ms for a
// configuration of 1,000 routes.
func (s *State) Digest() Digest {
	return Digest{Index: s.Index, Ranges: [RangeCount]uint64{
		RangeConfig:    s.digestConfig(),
		RangeHosts:     s.digestHosts(),
		RangePrimaries: s.digestPrimaries(),
		RangeProxies:   s.digestProxies(),
		RangeHistory:   s.digestHistory(),
	}}
}

// ConfigBodyIntact reports whether the configuration's body in memory still matches the digest taken when it was applied.
func (s *State) ConfigBodyIntact() bool {
	return len(s.ConfigBody) == 0 || digestOf(s.ConfigBody) == s.configDigest
}

// rangeHash hashes a sequence of values. Strings are prefixed with their length, so that different sequences never hash the
// same bytes.
type rangeHash struct {
	hash    *xxhash.Digest
	scratch [binary.MaxVarintLen64]byte
}

func newRangeHash() *rangeHash { return &rangeHash{hash: xxhash.New()} }

func (h *rangeHash) number(value uint64) {
	_, _ = h.hash.Write(binary.AppendUvarint(h.scratch[:0], value)) // never fails
}

func (h *rangeHash) text(value string) {
	h.number(uint64(len(value)))
	_, _ = h.hash.WriteString(value) // never fails
}

func (h *rangeHash) flag(value bool) {
	if value {
		h.number(1)
	} else {
		h.number(0)
	}
}

func (s *State) digestConfig() uint64 {
	h := newRangeHash()
	h.number(uint64(s.Generation))
	h.number(uint64(len(s.ConfigBody)))
	_, _ = h.hash.Write(s.ConfigBody) // never fails
	if s.config != nil {
		for _, route := range s.config.Routes {
			h.text(route.Host)
			h.text(route.Service)
			h.number(math.Float64bits(route.DeadlineMs))
		}
	}
	return h.hash.Sum64()
}

func (s *State) digestHosts() uint64 {
	h := newRangeHash()
	for _, hosts := range []map[string]Host{s.Hosts, s.UnaccountedHosts} {
		h.number(uint64(len(hosts)))
		for _, id := range slices.Sorted(maps.Keys(hosts)) {
			h.text(id)
			h.host(hosts[id])
		}
	}
	return h.hash.Sum64()
}

func (h *rangeHash) host(host Host) {
	for _, text := range []string{host.ID, host.Service, host.Address, host.Zone, host.Generation} {
		h.text(text)
	}
	h.number(uint64(host.Capacity))
	h.flag(host.Draining)
	h.flag(host.Missing)
	h.number(host.AddedIndex)
}

func (s *State) digestPrimaries() uint64 {
	h := newRangeHash()
	h.number(uint64(s.LastPromotionMs))
	for _, service := range slices.Sorted(maps.Keys(s.Primaries)) {
		primary := s.Primaries[service]
		for _, text := range []string{service, primary.Host, primary.Owner, primary.Nominee} {
			h.text(text)
		}
		for _, number := range []uint64{primary.Term, primary.FencingToken, primary.ChangedIndex} {
			h.number(number)
		}
		h.flag(primary.Revoked)
		h.flag(primary.ReplicasPaused)
	}
	return h.hash.Sum64()
}

func (s *State) digestProxies() uint64 {
	h := newRangeHash()
	for _, name := range s.ProxyNames() {
		h.text(name)
		h.number(s.Proxies[name])
	}
	return h.hash.Sum64()
}

func (s *State) digestHistory() uint64 {
	h := newRangeHash()
	h.number(uint64(s.LeaderTimeMs))
	for _, update := range s.AppliedUpdates {
		h.number(uint64(update.BaseVersion))
		h.number(uint64(update.LeaderTimeMs))
		_, _ = h.hash.Write(update.Digest[:]) // never fails
	}
	h.number(uint64(len(s.RemovedHosts)))
	for _, removed := range s.RemovedHosts {
		h.text(removed.ID)
		h.number(uint64(removed.LeaderTimeMs))
	}
	return h.hash.Sum64()
}
