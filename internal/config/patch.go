package config

import (
	"encoding/binary"
	"errors"
)

// errDiff reports a diff that is malformed or was made for another old body.
var errDiff = errors.New("diff does not fit the old body")

// Patch makes a body from an old one and a diff. The diff is checked before any memory is allocated for the body.
func Patch(old, diff []byte) ([]byte, error) {
	size, rest, ok := cutNumber(diff, MaxBodyBytes)
	if !ok {
		return nil, errDiff
	}
	parts := patchReader{old: old, diff: rest, missing: size}
	if !parts.each(func([]byte) {}) {
		return nil, errDiff
	}
	body := make([]byte, 0, size)
	parts.each(func(part []byte) { body = append(body, part...) })
	return body, nil
}

// patchReader reads the parts of a diff.
type patchReader struct {
	old, diff []byte
	missing   int // bytes of the body that are still to come
}

// each calls visit with each part in order, and returns whether the diff makes exactly the body. The receiver is a copy, so each
// may be called again.
func (r patchReader) each(visit func(part []byte)) bool {
	for r.missing > 0 {
		literal, ok := r.readLiteral()
		if !ok {
			return false
		}
		visit(literal)
		if r.missing == 0 {
			break
		}
		copied, ok := r.readCopied()
		if !ok {
			return false
		}
		visit(copied)
	}
	return len(r.diff) == 0
}

func (r *patchReader) readLiteral() (literal []byte, ok bool) {
	length, rest, ok := cutNumber(r.diff, min(r.missing, len(r.diff)))
	if !ok || length > len(rest) {
		return nil, false
	}
	r.diff = rest[length:]
	r.missing -= length
	return rest[:length], true
}

func (r *patchReader) readCopied() (copied []byte, ok bool) {
	from, rest, ok := cutNumber(r.diff, len(r.old))
	if !ok {
		return nil, false
	}
	length, rest, ok := cutNumber(rest, min(r.missing, len(r.old)-from))
	if !ok || length == 0 {
		return nil, false
	}
	r.diff = rest
	r.missing -= length
	return r.old[from : from+length], true
}

// cutNumber reads a varint; ok is false if there is none or it is above limit.
func cutNumber(diff []byte, limit int) (number int, rest []byte, ok bool) {
	value, size := binary.Uvarint(diff)
	if size <= 0 || value > uint64(limit) {
		return 0, nil, false
	}
	return int(value), diff[size:], true
}
