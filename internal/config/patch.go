package config

import (
	"encoding/binary"
	"errors"
)

// errDiffMismatch is returned for a diff that is malformed or was made for another old body.
var errDiffMismatch = errors.New("diff does not match the old body")

// Patch applies a diff to an old body and returns the new body. It validates the diff before it allocates memory for the new body.
func Patch(old, diff []byte) ([]byte, error) {
	size, rest, ok := readUvarint(diff, MaxBodyBytes)
	if !ok {
		return nil, errDiffMismatch
	}
	parts := patchReader{old: old, diff: rest, remaining: size}
	if !parts.forEachPart(func([]byte) {}) {
		return nil, errDiffMismatch
	}
	body := make([]byte, 0, size)
	parts.forEachPart(func(part []byte) { body = append(body, part...) })
	return body, nil
}

// patchReader reads the parts of a diff.
type patchReader struct {
	old, diff []byte
	remaining int // bytes of the new body that are not read yet
}

// forEachPart calls visit with each part in order, and returns whether the diff is valid and yields exactly the announced length.
// The receiver is a copy, so forEachPart can be called repeatedly.
func (r patchReader) forEachPart(visit func(part []byte)) bool {
	for r.remaining > 0 {
		literal, ok := r.readLiteral()
		if !ok {
			return false
		}
		visit(literal)
		if r.remaining == 0 {
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
	length, rest, ok := readUvarint(r.diff, min(r.remaining, len(r.diff)))
	if !ok || length > len(rest) {
		return nil, false
	}
	r.diff = rest[length:]
	r.remaining -= length
	return rest[:length], true
}

func (r *patchReader) readCopied() (copied []byte, ok bool) {
	from, rest, ok := readUvarint(r.diff, len(r.old))
	if !ok {
		return nil, false
	}
	length, rest, ok := readUvarint(rest, min(r.remaining, len(r.old)-from))
	if !ok || length == 0 {
		return nil, false
	}
	r.diff = rest
	r.remaining -= length
	return r.old[from : from+length], true
}

// readUvarint reads an unsigned varint from the beginning of diff, and returns the rest. ok is false if there is none, or if it is
// greater than limit.
func readUvarint(diff []byte, limit int) (number int, rest []byte, ok bool) {
	value, size := binary.Uvarint(diff)
	if size <= 0 || value > uint64(limit) {
		return 0, nil, false
	}
	return int(value), diff[size:], true
}
