package view

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"

	"ferrypitch/policy"
)

// Limits on the fields of a host received from a peer: lengths in bytes, and the relative capacity.
const (
	maxNameBytes    = 256
	maxAddressBytes = 256
	maxZoneBytes    = 64
	maxModelBytes   = 64
	maxSize         = 1e9
)

var (
	errHostName = errors.New("host name is empty or too long")
	errHostText = errors.New("address, zone or model is too long")
	errHostEnum = errors.New("unknown list state or role")
	errHostSize = errors.New("relative capacity is out of range")
)

// Host is a database host: its entry in discovery's list and the newest evidence of its state.
type Host struct {
	// Entry of the host in the newest list.
	Name          string           `cbor:"1,keyasint"`
	Address       string           `cbor:"2,keyasint"` // host and port
	Zone          string           `cbor:"3,keyasint,omitempty"`
	Model         string           `cbor:"4,keyasint,omitempty"`
	Set           int64            `cbor:"5,keyasint"`           // ID of the host's replica set
	Size          float64          `cbor:"6,keyasint,omitempty"` // relative capacity
	ListedPrimary bool             `cbor:"7,keyasint,omitempty"` // listed as the primary; lists may be outdated
	ListedState   policy.ListState `cbor:"8,keyasint,omitempty"`
	Version       Version          `cbor:"9,keyasint"`            // version of that list
	BootedAt      policy.TenthMs   `cbor:"10,keyasint,omitempty"` // start time of the host, by discovery

	// Newest evidence; see Evidence.
	Position     policy.TenthMs `cbor:"11,keyasint,omitempty"`
	Role         policy.Role    `cbor:"12,keyasint,omitempty"`
	RolePosition policy.TenthMs `cbor:"13,keyasint,omitempty"`
	RoleChanges  uint32         `cbor:"14,keyasint,omitempty"`

	// Lateness is the mean response time in halves of the unloaded latency, plus one.
	// 0 means that it is not known.
	Lateness uint8 `cbor:"15,keyasint,omitempty"`
}

// Validate checks the fields of a host received from a peer and returns an error
// if one is out of bounds.
func (h *Host) Validate() error {
	switch {
	case h.Name == "" || len(h.Name) > maxNameBytes:
		return errHostName
	case len(h.Address) > maxAddressBytes || len(h.Zone) > maxZoneBytes || len(h.Model) > maxModelBytes:
		return errHostText
	case h.ListedState > policy.Removed || h.Role > policy.Replica:
		return errHostEnum
	case math.IsNaN(h.Size) || h.Size < 0 || h.Size > maxSize:
		return errHostSize
	}
	return nil
}

func (h *Host) evidence() Evidence {
	return Evidence{h.Name, h.Position, h.Role, h.RolePosition, h.RoleChanges}
}

// mergeEvidence merges evidence of the host and reports whether the host changed.
func (h *Host) mergeEvidence(evidence Evidence) bool {
	merged := h.evidence()
	if !merged.Merge(evidence) {
		return false
	}
	h.Position, h.Role, h.RolePosition, h.RoleChanges = merged.Position, merged.Role, merged.RolePosition, merged.RoleChanges
	return true
}

// merge merges another view's state of the same host and reports whether the host
// changed. The entry of the newer list wins. Two lists of one version differ only
// if discovery is faulty; then the more restrictive list state wins, and if those
// are equal the greater value, so that the result does not depend on the order.
func (h *Host) merge(other Host) bool {
	before := *h
	if h.Version.Before(other.Version) || h.Version == other.Version && h.listedBefore(other) {
		h.Address, h.Zone, h.Model, h.Set, h.Size = other.Address, other.Zone, other.Model, other.Set, other.Size
		h.ListedPrimary, h.ListedState, h.Version, h.BootedAt = other.ListedPrimary, other.ListedState, other.Version, other.BootedAt
	}
	h.mergeEvidence(other.evidence())
	h.Lateness = max(h.Lateness, other.Lateness)
	return *h != before
}

// listedBefore is a total order of the entries for a host in lists of one version.
func (h *Host) listedBefore(other Host) bool {
	return cmp.Or(
		cmp.Compare(h.ListedState, other.ListedState),
		cmp.Compare(h.Address, other.Address),
		cmp.Compare(h.Zone, other.Zone),
		cmp.Compare(h.Model, other.Model),
		cmp.Compare(h.Set, other.Set),
		cmp.Compare(h.Size, other.Size),
		cmp.Compare(bit(h.ListedPrimary), bit(other.ListedPrimary)),
		cmp.Compare(h.BootedAt, other.BootedAt),
	) < 0
}

// digest returns a hash of all fields. It is part of the protocol: Change.Digest
// is computed from it.
func (h *Host) digest() uint64 {
	const typicalBytes = 192 // enough for most hosts, so the buffer rarely grows
	buffer := make([]byte, 0, typicalBytes)
	for _, text := range []string{h.Name, h.Address, h.Zone, h.Model} {
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(text)))
		buffer = append(buffer, text...)
	}
	for _, number := range []uint64{
		uint64(h.Set), math.Float64bits(h.Size), bit(h.ListedPrimary), uint64(h.ListedState),
		h.Version.Generation, uint64(h.Version.Revision), uint64(h.BootedAt),
		uint64(h.Position), uint64(h.Role), uint64(h.RolePosition), uint64(h.RoleChanges), uint64(h.Lateness),
	} {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	return xxhash.Sum64(buffer)
}

func bit(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}
