package config

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// minCopyBytes is the minimum length of a copied part. Shorter matches are encoded as literals.
const minCopyBytes = 12

// Diff encodes the body of updated as a diff against the body of old. The diff has the length of the updated body, followed by
// alternating literal parts (length and bytes) and copied parts (offset in the old body and length) until the body is complete.
// All numbers are unsigned varints. Items of the old body are copied even if their order changed.
func Diff(old, updated *Config) []byte {
	encoder := diffEncoder{old: old.Body, updated: updated.Body}
	encoder.appendUvarint(len(updated.Body))
	for _, a := range anchors(old, updated) {
		encoder.copyAround(a)
	}
	if encoder.encoded < len(updated.Body) {
		encoder.appendLiteral(len(updated.Body))
	}
	return encoder.diff
}

// anchor is a pair of offsets at which the two bodies probably match.
type anchor struct{ updatedOffset, oldOffset int }

// anchors returns the anchors of a diff, sorted by offset: the beginnings of both bodies, each updated item with the old item that
// it equals or replaces, and the ends of both bodies.
func anchors(old, updated *Config) []anchor {
	found := []anchor{{0, 0}}
	finders := old.finders()
	for list, items := range updated.layout {
		finder, oldItems := finders[list], old.layout[list]
		for _, item := range items {
			index := finder.matchPrefix(updated.Body[item.from:])
			if index == newItem {
				index = finder.find(item.slice(updated.Body))
			}
			if index == newItem {
				index = finder.expectedIndex - 1 // the item that it may replace
			}
			if index < len(oldItems) {
				found = append(found, anchor{item.from, oldItems[index].from})
			}
		}
	}
	slices.SortFunc(found, func(a, b anchor) int { return cmp.Compare(a.updatedOffset, b.updatedOffset) })
	return append(found, anchor{len(updated.Body), len(old.Body)})
}

// diffEncoder builds a diff.
type diffEncoder struct {
	old, updated []byte
	diff         []byte
	encoded      int // bytes of updated that diff covers so far
}

func (e *diffEncoder) appendUvarint(number int) {
	e.diff = binary.AppendUvarint(e.diff, uint64(number))
}

func (e *diffEncoder) appendLiteral(to int) {
	e.appendUvarint(to - e.encoded)
	e.diff = append(e.diff, e.updated[e.encoded:to]...)
	e.encoded = to
}

// copyAround encodes the longest match around an anchor as a copied part, unless the match is shorter than minCopyBytes.
func (e *diffEncoder) copyAround(a anchor) {
	if a.updatedOffset < e.encoded {
		return
	}
	from, oldFrom := a.updatedOffset, a.oldOffset
	for from > e.encoded && oldFrom > 0 && e.updated[from-1] == e.old[oldFrom-1] {
		from, oldFrom = from-1, oldFrom-1
	}
	to, oldTo := a.updatedOffset, a.oldOffset
	for to < len(e.updated) && oldTo < len(e.old) && e.updated[to] == e.old[oldTo] {
		to, oldTo = to+1, oldTo+1
	}
	if to-from < minCopyBytes {
		return
	}
	e.appendLiteral(from)
	e.appendUvarint(oldFrom)
	e.appendUvarint(to - from)
	e.encoded = to
}
