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

// What is remembered of the past, so that a request that is sent again, or an announcement that comes late, is recognised:
// the updates of the configuration that were applied, and the hosts that were removed.
//
// Both are forgotten by leader time: each leader stamps what it proposes with the last stamp of the log, plus the time on its
// monotonic clock since it began to lead. It stands still while there is no leader, and what passed after a leader's last
// proposal is lost. So it never runs ahead of the time that has passed, and it is the same for all who apply the log.
const (
	RetentionMs = 15 * 60 * 1000 // milliseconds of leader time for which everything is remembered
	MinRetained = 1 << 10        // of the newest, remembered whatever their age
	MaxRetained = 1 << 15        // one every 27 ms for all of RetentionMs; of more, the oldest are forgotten before their time
)

// RequestID identifies an update of the configuration that may be sent more than once.
type RequestID struct {
	BaseVersion int64             // the version that it builds on
	Digest      [digestBytes]byte // of the body as it was sent
}

// amendmentPrefix tells the digest of an amendment from that of a configuration with the same bytes. No valid body begins so.
const amendmentPrefix = 1

// RequestID returns the update's identity, which does not depend on the form in which the log carries it.
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

// AppliedUpdate notes an update of the configuration that was applied. Versions only rise, so at most one builds on each.
type AppliedUpdate struct {
	RequestID
	LeaderTimeMs int64 // leader time
}

// RemovedHost notes a host that has left or was removed. Its id is not used again, so an announcement by it is one that comes
// late, unless the host is still listed: see State.IsLeaving.
type RemovedHost struct {
	ID           string
	LeaderTimeMs int64 // leader time
}

func (s *State) wasApplied(id RequestID) bool {
	place, found := slices.BinarySearchFunc(s.AppliedUpdates, id.BaseVersion, func(update AppliedUpdate, base int64) int {
		return cmp.Compare(update.BaseVersion, base)
	})
	return found && s.AppliedUpdates[place].RequestID == id
}

func (s *State) wasRemoved(id string) bool {
	return slices.ContainsFunc(s.RemovedHosts, func(removed RemovedHost) bool { return removed.ID == id })
}

// retain returns what is still remembered at a leader time, of notes of which the newest is last: all of the last
// RetentionMs, at least MinRetained, at most MaxRetained.
func retain[T any](notes []T, timeOf func(T) int64, nowMs int64) []T {
	recent := sort.Search(len(notes), func(place int) bool { return timeOf(notes[place]) >= nowMs-RetentionMs })
	first := max(min(recent, len(notes)-MinRetained), len(notes)-MaxRetained, 0)
	return notes[first:]
}

func (s *State) recordUpdate(id RequestID) {
	updates := append(s.AppliedUpdates, AppliedUpdate{id, s.LeaderTimeMs})
	s.AppliedUpdates = retain(updates, func(update AppliedUpdate) int64 { return update.LeaderTimeMs }, s.LeaderTimeMs)
}

func (s *State) recordRemoval(id string) {
	removed := append(s.RemovedHosts, RemovedHost{id, s.LeaderTimeMs})
	s.RemovedHosts = retain(removed, func(host RemovedHost) int64 { return host.LeaderTimeMs }, s.LeaderTimeMs)
}

// encodeAppliedUpdates writes each update as its difference to the one before: base version and leader time as uvarints, and
// the digest; some 20 bytes.
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

// decodeAppliedUpdates reads what encodeAppliedUpdates wrote.
func decodeAppliedUpdates(content []byte) (updates []AppliedUpdate, err error) {
	var previous AppliedUpdate
	for len(content) > 0 {
		update, size := decodeAppliedUpdate(content, previous)
		switch {
		case size == 0:
			return nil, errTruncatedUpdates
		case !isNext(update, previous, len(updates) == 0):
			return nil, errUpdateOrder
		case len(updates) == MaxRetained:
			return nil, errTooManyUpdates
		}
		updates = append(updates, update)
		content, previous = content[size:], update
	}
	return updates, nil
}

// decodeAppliedUpdate reads one update behind another. size is 0 where there is none that is complete.
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

// isNext reports whether an update may follow another; a sum that overflowed may not. The first may build on version 0.
func isNext(update, previous AppliedUpdate, isFirst bool) bool {
	return update.LeaderTimeMs >= previous.LeaderTimeMs &&
		(update.BaseVersion > previous.BaseVersion || isFirst && update.BaseVersion == previous.BaseVersion)
}
