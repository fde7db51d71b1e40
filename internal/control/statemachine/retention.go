package statemachine

import (
	"encoding/binary"
	"errors"
	"slices"
	"sort"

	"github.com/zeebo/blake3"
)

// What is remembered of the past, so that a call that comes again or late finds its answer: the orders that were taken,
// and the hosts that left. Both go by led time, in milliseconds: each leader stamps what it proposes with the last
// stamp of the log and its own steady clock's time since it began to lead. It stands still while nobody leads and after
// what a leader proposed last, so it never runs ahead of the time that has passed, and is the same for all who apply the log.
const (
	RetentionMs = 15 * 60 * 1000 // led time for which all are remembered
	MinRetained = 1 << 10        // the newest, remembered whatever their age
	MaxRetained = 1 << 15        // never more: one each 27 ms for all of Remembered, or the oldest go before their time
)

// RequestID is what makes an order sent again the same order: the version it builds on and the body as sent.
type RequestID struct {
	BaseVersion int64
	Digest      [16]byte
}

// RequestID of an order. It does not hang on how the log carries the change.
func (c *ConfigUpdate) RequestID() RequestID {
	if c.hasDelta() {
		return RequestID{c.BaseVersion, c.RequestDigest}
	}
	h := blake3.New()
	if c.IsAmendment {
		h.Write([]byte{1}) // no body that can be read begins so
	}
	h.Write(c.Body)
	id := RequestID{BaseVersion: c.BaseVersion}
	copy(id.Digest[:], h.Sum(nil))
	return id
}

// AppliedUpdate notes an order that was taken. Versions only rise, so each base is built on once at most.
type AppliedUpdate struct {
	RequestID
	LedTimeMs int64 // led time
}

// RemovedHost notes a host that left. Its id is not used again, so a beat of it is one that comes late.
type RemovedHost struct {
	ID        string
	LedTimeMs int64 // led time
}

func (s *State) alreadyApplied(id RequestID) bool {
	i := sort.Search(len(s.AppliedUpdates), func(i int) bool { return s.AppliedUpdates[i].BaseVersion >= id.BaseVersion })
	return i < len(s.AppliedUpdates) && s.AppliedUpdates[i].RequestID == id
}

func (s *State) wasRemoved(id string) bool {
	return slices.ContainsFunc(s.RemovedHosts, func(d RemovedHost) bool { return d.ID == id })
}

// retain is the rule: all of the newest Remembered of led time, Least at least, Most at most.
func retain[T any](all []T, at func(T) int64, led int64) []T {
	old := sort.Search(len(all), func(i int) bool { return at(all[i]) >= led-RetentionMs })
	return all[max(min(old, len(all)-MinRetained), len(all)-MaxRetained, 0):]
}

func (s *State) recordUpdate(id RequestID) {
	s.AppliedUpdates = retain(append(s.AppliedUpdates, AppliedUpdate{id, s.LedTimeMs}), func(t AppliedUpdate) int64 { return t.LedTimeMs }, s.LedTimeMs)
}

func (s *State) recordRemoval(id string) {
	s.RemovedHosts = retain(append(s.RemovedHosts, RemovedHost{id, s.LedTimeMs}), func(d RemovedHost) int64 { return d.LedTimeMs }, s.LedTimeMs)
}

// encodeAppliedUpdates writes orders as steps from one to the next: some 20 bytes each.
func encodeAppliedUpdates(all []AppliedUpdate) (b []byte) {
	var last AppliedUpdate
	for _, t := range all {
		b = binary.AppendUvarint(b, uint64(t.BaseVersion-last.BaseVersion))
		b = binary.AppendUvarint(b, uint64(t.LedTimeMs-last.LedTimeMs))
		b = append(b, t.Digest[:]...)
		last = t
	}
	return b
}

var errBadAppliedUpdates = errors.New("a snapshot: its orders")

func decodeAppliedUpdates(b []byte) (all []AppliedUpdate, err error) {
	var t AppliedUpdate
	for len(b) > 0 {
		base, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, errBadAppliedUpdates
		}
		at, m := binary.Uvarint(b[n:])
		if m <= 0 || len(b) < n+m+len(t.Digest) {
			return nil, errBadAppliedUpdates
		}
		first := len(all) == 0
		was := t
		t.BaseVersion, t.LedTimeMs = t.BaseVersion+int64(base), t.LedTimeMs+int64(at)
		if t.BaseVersion < was.BaseVersion || t.BaseVersion == was.BaseVersion && !first || t.LedTimeMs < was.LedTimeMs || len(all) == MaxRetained {
			return nil, errBadAppliedUpdates
		}
		copy(t.Digest[:], b[n+m:])
		b, all = b[n+m+len(t.Digest):], append(all, t)
	}
	return all, nil
}
