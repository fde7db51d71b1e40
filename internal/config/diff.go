package config

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// MaxBodyBytes is the longest body in bytes.
const MaxBodyBytes = 8 << 20

// least is how many bytes a copy must stand for.
const least = 12

// Diff is how a body is made of an older one's bytes: its length, then in turn new bytes (their number before them) and a
// copy (where it begins, and how many). Items that stood in the older body are copied wherever they stand now.
func Diff(old, p *Config) []byte {
	type anchor struct{ at, old int }
	anchors := []anchor{{0, 0}}
	for _, l := range [][2][]span{{old.at.routes, p.at.routes}, {old.at.services, p.at.services}} {
		f := finder{body: old.Body, items: l[0]}
		for _, s := range l[1] {
			k := f.begins(p.Body[s.from:])
			if k < 0 {
				k = f.find(p.Body[s.from:s.to])
			}
			if k < 0 { // it may have taken the place of one
				k = f.at - 1
			}
			if k < len(l[0]) {
				anchors = append(anchors, anchor{s.from, l[0][k].from})
			}
		}
	}
	slices.SortFunc(anchors, func(a, b anchor) int { return cmp.Compare(a.at, b.at) })
	anchors = append(anchors, anchor{len(p.Body), len(old.Body)})
	d, done := binary.AppendUvarint(nil, uint64(len(p.Body))), 0
	literal := func(to int) {
		d = binary.AppendUvarint(d, uint64(to-done))
		d = append(d, p.Body[done:to]...)
	}
	for _, a := range anchors {
		if a.at < done {
			continue
		}
		from, at := a.at, a.old
		for from > done && at > 0 && p.Body[from-1] == old.Body[at-1] {
			from, at = from-1, at-1
		}
		end := a.at
		for k := a.old; end < len(p.Body) && k < len(old.Body) && p.Body[end] == old.Body[k]; k++ {
			end++
		}
		if end-from < least {
			continue
		}
		literal(from)
		d = binary.AppendUvarint(d, uint64(at))
		d = binary.AppendUvarint(d, uint64(end-from))
		done = end
	}
	if done < len(p.Body) {
		literal(len(p.Body))
	}
	return d
}

var errDiff = errors.New("a difference that does not fit")

// Patch makes a body of an older one by a difference. All lengths are checked before anything is made.
func Patch(old, diff []byte) ([]byte, error) {
	size, rest, ok := number(diff, MaxBodyBytes)
	if !ok {
		return nil, errDiff
	}
	walk := func(take func([]byte)) bool {
		rest, left := rest, size
		for left > 0 {
			n, r, ok := number(rest, min(left, len(rest)))
			if !ok || n > len(r) {
				return false
			}
			take(r[:n])
			if rest, left = r[n:], left-n; left == 0 {
				break
			}
			from, r, ok := number(rest, len(old))
			if !ok {
				return false
			}
			n, r, ok = number(r, min(left, len(old)-from))
			if !ok || n == 0 {
				return false
			}
			take(old[from : from+n])
			rest, left = r, left-n
		}
		return len(rest) == 0
	}
	if !walk(func([]byte) {}) {
		return nil, errDiff
	}
	body := make([]byte, 0, size)
	walk(func(b []byte) { body = append(body, b...) })
	return body, nil
}

// number reads one that is at most so great.
func number(b []byte, most int) (n int, rest []byte, ok bool) {
	u, k := binary.Uvarint(b)
	if k <= 0 || u > uint64(most) {
		return 0, nil, false
	}
	return int(u), b[k:], true
}

func tooLong(n int) error { return fmt.Errorf("the body: %d bytes, %d at most", n, MaxBodyBytes) }
