package view

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"

	"ferrypitch/policy"
)

// Limits on a host that a peer states: texts in bytes, and its relative size.
const (
	maxNameBytes    = 256
	maxAddressBytes = 256
	maxZoneBytes    = 64
	maxKindBytes    = 64
	maxSize         = 1e9
)

var (
	errHostName = errors.New("a name of no or too many bytes")
	errHostText = errors.New("a text of too many bytes")
	errHostEnum = errors.New("a standing or a role that is not known")
	errHostSize = errors.New("a size that can't be")
)

// Host is a host as discovery lists it, with the newest evidence of its state.
type Host struct {
	// What the newest list says.
	Name          string           `cbor:"1,keyasint"`
	Address       string           `cbor:"2,keyasint"` // host and port
	Zone          string           `cbor:"3,keyasint,omitempty"`
	Kind          string           `cbor:"4,keyasint,omitempty"`
	Set           int64            `cbor:"5,keyasint"`           // the replica set that it belongs to
	Size          float64          `cbor:"6,keyasint,omitempty"` // relative to other hosts
	ListedPrimary bool             `cbor:"7,keyasint,omitempty"` // listed as the primary; lists are late
	Standing      policy.ListState `cbor:"8,keyasint,omitempty"`
	Version       Version          `cbor:"9,keyasint"` // of that list
	BootedAt      policy.TenthMs   `cbor:"10,keyasint,omitempty"`

	// Evidence, see the type.
	Position     policy.TenthMs `cbor:"11,keyasint,omitempty"`
	Role         policy.Role    `cbor:"12,keyasint,omitempty"`
	RolePosition policy.TenthMs `cbor:"13,keyasint,omitempty"`
	RoleChanges  uint32         `cbor:"14,keyasint,omitempty"`

	// Lateness is how much of the response target a response takes, in tenths of the
	// target, plus one. 0 means that it is not known.
	Lateness uint8 `cbor:"15,keyasint,omitempty"`
}

// Validate returns why a host that a peer sent cannot be one, or nil.
func (h *Host) Validate() error {
	switch {
	case h.Name == "" || len(h.Name) > maxNameBytes:
		return errHostName
	case len(h.Address) > maxAddressBytes || len(h.Zone) > maxZoneBytes || len(h.Kind) > maxKindBytes:
		return errHostText
	case h.Standing > policy.Removed || h.Role > policy.Replica:
		return errHostEnum
	case math.IsNaN(h.Size) || h.Size < 0 || h.Size > maxSize:
		return errHostSize
	}
	return nil
}

func (h *Host) evidence() Evidence {
	return Evidence{h.Name, h.Position, h.Role, h.RolePosition, h.RoleChanges}
}

// mergeEvidence merges evidence of the host and reports whether anything changed.
func (h *Host) mergeEvidence(evidence Evidence) bool {
	merged := h.evidence()
	if !merged.Merge(evidence) {
		return false
	}
	h.Position, h.Role, h.RolePosition, h.RoleChanges = merged.Position, merged.Role, merged.RolePosition, merged.RoleChanges
	return true
}

// merge merges another view's state of the same host and reports whether anything
// changed. The newer list wins. Two lists of one version differ only if discovery
// is at fault; then the standing that allows less wins, and after it the greater
// value, so that the order of merges does not matter.
func (h *Host) merge(other Host) bool {
	before := *h
	if h.Version.Before(other.Version) || h.Version == other.Version && h.listedBefore(other) {
		h.Address, h.Zone, h.Kind, h.Set, h.Size = other.Address, other.Zone, other.Kind, other.Set, other.Size
		h.ListedPrimary, h.Standing, h.Version, h.BootedAt = other.ListedPrimary, other.Standing, other.Version, other.BootedAt
	}
	h.mergeEvidence(other.evidence())
	h.Lateness = max(h.Lateness, other.Lateness)
	return *h != before
}

// listedBefore is a total order of what two lists of one version say of a host.
func (h *Host) listedBefore(other Host) bool {
	return cmp.Or(
		cmp.Compare(h.Standing, other.Standing),
		cmp.Compare(h.Address, other.Address),
		cmp.Compare(h.Zone, other.Zone),
		cmp.Compare(h.Kind, other.Kind),
		cmp.Compare(h.Set, other.Set),
		cmp.Compare(h.Size, other.Size),
		cmp.Compare(bit(h.ListedPrimary), bit(other.ListedPrimary)),
		cmp.Compare(h.BootedAt, other.BootedAt),
	) < 0
}

// digest is a hash of every field. It is part of the protocol, by Change.Digest.
func (h *Host) digest() uint64 {
	const usualBytes = 192 // enough for most hosts, so that the buffer seldom grows
	buffer := make([]byte, 0, usualBytes)
	for _, text := range []string{h.Name, h.Address, h.Zone, h.Kind} {
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(text)))
		buffer = append(buffer, text...)
	}
	for _, number := range []uint64{
		uint64(h.Set), math.Float64bits(h.Size), bit(h.ListedPrimary), uint64(h.Standing),
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
