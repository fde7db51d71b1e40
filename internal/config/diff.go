package config

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// minCopyBytes is the shortest part that is worth copying from the old body.
const minCopyBytes = 12

// Diff returns how the body of updated is made from the body of old: the length of the body, and then in turn a literal part (its
// length and bytes) and a copied part (its offset in the old body and its length), until the body is complete. All numbers are
// unsigned varints. Items that the old body has are copied, also if their order changed.
func Diff(old, updated *Config) []byte {
	encoder := diffEncoder{old: old.Body, updated: updated.Body}
	encoder.appendNumber(len(updated.Body))
	for _, a := range anchors(old, updated) {
		encoder.copyAround(a)
	}
	if encoder.encoded < len(updated.Body) {
		encoder.appendLiteral(len(updated.Body))
	}
	return encoder.diff
}

// anchor is a pair of offsets at which the two bodies are probably alike.
type anchor struct{ updatedOffset, oldOffset int }

// anchors returns the beginnings of both bodies, those of each item and the old one that it equals or replaces, and the ends.
func anchors(old, updated *Config) []anchor {
	found := []anchor{{0, 0}}
	finders := old.finders()
	for list, items := range updated.layout {
		finder, oldItems := finders[list], old.layout[list]
		for _, item := range items {
			index := finder.matchPrefix(updated.Body[item.from:])
			if index == newItem {
				index = finder.find(item.of(updated.Body))
			}
			if index == newItem {
				index = finder.next - 1 // the one that it may replace
			}
			if index < len(oldItems) {
				found = append(found, anchor{item.from, oldItems[index].from})
			}
		}
	}
	slices.SortFunc(found, func(a, b anchor) int { return cmp.Compare(a.updatedOffset, b.updatedOffset) })
	return append(found, anchor{len(updated.Body), len(old.Body)})
}

type diffEncoder struct {
	old, updated []byte
	diff         []byte
	encoded      int // bytes of updated that the diff makes so far
}

func (e *diffEncoder) appendNumber(number int) {
	e.diff = binary.AppendUvarint(e.diff, uint64(number))
}

func (e *diffEncoder) appendLiteral(to int) {
	e.appendNumber(to - e.encoded)
	e.diff = append(e.diff, e.updated[e.encoded:to]...)
	e.encoded = to
}

// copyAround copies the longest part around an anchor that both bodies have, if it is long enough.
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
	e.appendNumber(oldFrom)
	e.appendNumber(to - from)
	e.encoded = to
}
