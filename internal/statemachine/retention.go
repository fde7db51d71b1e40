package statemachine

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sort"

	"github.com/zeebo/blake3"
)

// The state keeps a history of applied configuration updates and removed hosts, to recognise retried requests and delayed
// heartbeats.
//
// Records expire by leader time: each leader stamps its proposals with the last timestamp in the log when it was elected, plus
// the time elapsed since then on its monotonic clock. Leader time stands still while there is no leader, and the time between a
// leader's last proposal and its loss of leadership is not counted. So leader time never runs faster than real time, and it is
// the same on all replicas.
const (
	RetentionMs = 15 * 60 * 1000 // leader time, in milliseconds, for which all records are retained
	MinRetained = 1 << 10        // number of newest records that are retained whatever their age
	MaxRetained = 1 << 15        // maximum number of records, one every 27 ms during RetentionMs; the oldest are dropped early
)

// RequestID identifies a configuration update across retries.
type RequestID struct {
	BaseVersion int64             // version that the update is based on
	Digest      [digestBytes]byte // of the body of the request
}

// amendmentPrefix is hashed before the body of an amendment, so that its digest differs from that of a complete configuration
// with the same bytes. No valid body begins with this byte.
const amendmentPrefix = 1

// RequestID returns the identity of the update. It is the same for the request and for the form stored in the log.
func (c *ConfigUpdate) RequestID() RequestID {
	if c.hasDelta() {
		return RequestID{c.BaseVersion, c.RequestDigest}
	}
	hash := blake3.New()
	if c.IsAmendment {
		hash.Write([]byte{amendmentPrefix})
	}
	hash.Write(c.Body)
	id := RequestID{BaseVersion: c.BaseVersion}
	copy(id.Digest[:], hash.Sum(nil))
	return id
}

// AppliedUpdate is a record of an applied configuration update. Versions only increase, so at most one update is based on each
// version.
type AppliedUpdate struct {
	RequestID
	LeaderTimeMs int64 // leader time at which the update was applied
}

// RemovedHost is a record of a host that has left or was removed. Host IDs are not reused, so a heartbeat with this ID is a
// delayed one, unless the host is still listed, see State.IsLeaving.
type RemovedHost struct {
	ID           string
	LeaderTimeMs int64 // leader time at which the host left or was removed
}

func (s *State) wasApplied(id RequestID) bool {
	position, found := slices.BinarySearchFunc(s.AppliedUpdates, id.BaseVersion, func(update AppliedUpdate, base int64) int {
		return cmp.Compare(update.BaseVersion, base)
	})
	return found && s.AppliedUpdates[position].RequestID == id
}

func (s *State) wasRemoved(id string) bool {
	return slices.ContainsFunc(s.RemovedHosts, func(removed RemovedHost) bool { return removed.ID == id })
}

// retain drops expired records from a list sorted from oldest to newest. It keeps the records of the last RetentionMs, but at
// least the newest MinRetained and at most the newest MaxRetained records.
func retain[T any](records []T, timeOf func(T) int64, nowMs int64) []T {
	recent := sort.Search(len(records), func(position int) bool { return timeOf(records[position]) >= nowMs-RetentionMs })
	first := max(min(recent, len(records)-MinRetained), len(records)-MaxRetained, 0)
	return records[first:]
}

func (s *State) recordUpdate(id RequestID) {
	updates := append(s.AppliedUpdates, AppliedUpdate{id, s.LeaderTimeMs})
	s.AppliedUpdates = retain(updates, func(update AppliedUpdate) int64 { return update.LeaderTimeMs }, s.LeaderTimeMs)
}

func (s *State) recordRemoval(id string) {
	removed := append(s.RemovedHosts, RemovedHost{id, s.LeaderTimeMs})
	s.RemovedHosts = retain(removed, func(host RemovedHost) int64 { return host.LeaderTimeMs }, s.LeaderTimeMs)
}

// encodeAppliedUpdates encodes each update relative to the previous one: the increments of base version and leader time as
// uvarints, and the digest. An update takes about 20 bytes.
func encodeAppliedUpdates(updates []AppliedUpdate) (content []byte) {
	var previous AppliedUpdate
	for _, update := range updates {
		content = binary.AppendUvarint(content, uint64(update.BaseVersion-previous.BaseVersion))
		content = binary.AppendUvarint(content, uint64(update.LeaderTimeMs-previous.LeaderTimeMs))
		content = append(content, update.Digest[:]...)
		previous = update
	}
	return content
}

// Errors of decodeAppliedUpdates.
var (
	errTruncatedUpdates = errors.New("truncated")
	errUpdateOrder      = errors.New("not in order")
	errTooManyUpdates   = fmt.Errorf("more than %d", MaxRetained)
)

// decodeAppliedUpdates decodes the output of encodeAppliedUpdates.
func decodeAppliedUpdates(content []byte) (updates []AppliedUpdate, err error) {
	var previous AppliedUpdate
	for len(content) > 0 {
		update, size := decodeAppliedUpdate(content, previous)
		switch {
		case size == 0:
			return nil, errTruncatedUpdates
		case !canFollow(update, previous, len(updates) == 0):
			return nil, errUpdateOrder
		case len(updates) == MaxRetained:
			return nil, errTooManyUpdates
		}
		updates = append(updates, update)
		content, previous = content[size:], update
	}
	return updates, nil
}

// decodeAppliedUpdate decodes the update that follows previous. It returns a size of 0 if the content is truncated or invalid.
func decodeAppliedUpdate(content []byte, previous AppliedUpdate) (update AppliedUpdate, size int) {
	versions, versionBytes := binary.Uvarint(content)
	if versionBytes <= 0 {
		return update, 0
	}
	elapsedMs, timeBytes := binary.Uvarint(content[versionBytes:])
	numberBytes := versionBytes + timeBytes
	if timeBytes <= 0 || len(content) < numberBytes+digestBytes {
		return update, 0
	}
	update.BaseVersion = previous.BaseVersion + int64(versions)
	update.LeaderTimeMs = previous.LeaderTimeMs + int64(elapsedMs)
	copy(update.Digest[:], content[numberBytes:])
	return update, numberBytes + digestBytes
}

// canFollow reports whether an update may follow another: base versions increase, and leader time does not decrease. This also
// rejects increments that overflow. The first update may be based on version 0.
func canFollow(update, previous AppliedUpdate, isFirst bool) bool {
	return update.LeaderTimeMs >= previous.LeaderTimeMs &&
		(update.BaseVersion > previous.BaseVersion || isFirst && update.BaseVersion == previous.BaseVersion)
}
