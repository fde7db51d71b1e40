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
	Remembered = 15 * 60 * 1000 // led time for which all are remembered
	Least      = 1 << 10        // the newest, remembered whatever their age
	Most       = 1 << 15        // never more: one each 27 ms for all of Remembered, or the oldest go before their time
)

// Identity is what makes an order sent again the same order: the version it builds on and the body as sent.
type Identity struct {
	Base int64
	Sum  [16]byte
}

// Identity of an order. It does not hang on how the log carries the change.
func (c *Configure) Identity() Identity {
	if c.isPacked() {
		return Identity{c.Base, c.Sent}
	}
	h := blake3.New()
	if c.Amend {
		h.Write([]byte{1}) // no body that can be read begins so
	}
	h.Write(c.Body)
	id := Identity{Base: c.Base}
	copy(id.Sum[:], h.Sum(nil))
	return id
}

// Taken notes an order that was taken. Versions only rise, so each base is built on once at most.
type Taken struct {
	Identity
	At int64 // led time
}

// Departure notes a host that left. Its id is not used again, so a beat of it is one that comes late.
type Departure struct {
	ID string
	At int64 // led time
}

func (s *State) taken(id Identity) bool {
	i := sort.Search(len(s.Taken), func(i int) bool { return s.Taken[i].Base >= id.Base })
	return i < len(s.Taken) && s.Taken[i].Identity == id
}

func (s *State) hasLeft(id string) bool {
	return slices.ContainsFunc(s.Gone, func(d Departure) bool { return d.ID == id })
}

// remember is the rule: all of the newest Remembered of led time, Least at least, Most at most.
func remember[T any](all []T, at func(T) int64, led int64) []T {
	old := sort.Search(len(all), func(i int) bool { return at(all[i]) >= led-Remembered })
	return all[max(min(old, len(all)-Least), len(all)-Most, 0):]
}

func (s *State) take(id Identity) {
	s.Taken = remember(append(s.Taken, Taken{id, s.Led}), func(t Taken) int64 { return t.At }, s.Led)
}

func (s *State) depart(id string) {
	s.Gone = remember(append(s.Gone, Departure{id, s.Led}), func(d Departure) int64 { return d.At }, s.Led)
}

// packTaken writes orders as steps from one to the next: some 20 bytes each.
func packTaken(all []Taken) (b []byte) {
	var last Taken
	for _, t := range all {
		b = binary.AppendUvarint(b, uint64(t.Base-last.Base))
		b = binary.AppendUvarint(b, uint64(t.At-last.At))
		b = append(b, t.Sum[:]...)
		last = t
	}
	return b
}

var errPacked = errors.New("a snapshot: its orders")

func unpackTaken(b []byte) (all []Taken, err error) {
	var t Taken
	for len(b) > 0 {
		base, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, errPacked
		}
		at, m := binary.Uvarint(b[n:])
		if m <= 0 || len(b) < n+m+len(t.Sum) {
			return nil, errPacked
		}
		first := len(all) == 0
		was := t
		t.Base, t.At = t.Base+int64(base), t.At+int64(at)
		if t.Base < was.Base || t.Base == was.Base && !first || t.At < was.At || len(all) == Most {
			return nil, errPacked
		}
		copy(t.Sum[:], b[n+m:])
		b, all = b[n+m+len(t.Sum):], append(all, t)
	}
	return all, nil
}
