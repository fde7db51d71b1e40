package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Fault is a block that can't be read; what is behind it can.
type Fault struct {
	Offset int64 // of the block
	Err    error
}

func (f *Fault) Error() string { return fmt.Sprintf("at offset %d: %v", f.Offset, f.Err) }
func (f *Fault) Unwrap() error { return f.Err }

// Reader reads a file from its beginning, from a pipe too.
type Reader struct {
	Header Header
	in     counter
}

type counter struct {
	in io.Reader
	at int64
}

func (c *counter) Read(b []byte) (int, error) {
	n, err := c.in.Read(b)
	c.at += int64(n)
	return n, err
}

// NewReader reads the header.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{in: counter{in: in}}
	var head [len(opening) + 16]byte
	if n, err := io.ReadFull(&r.in, head[:]); err != nil {
		if n >= len(opening) && string(head[:len(opening)]) == opening {
			return nil, fmt.Errorf("%w in its head", ErrBreak)
		}
		return nil, ErrForm
	}
	if string(head[:len(opening)]) != opening {
		return nil, ErrForm
	}
	rest := head[len(opening):]
	if v := binary.LittleEndian.Uint32(rest); v > Version || v == 0 {
		return nil, fmt.Errorf("%w: trace version %d; this program reads up to version %d", ErrNewer, v, Version)
	}
	size := binary.LittleEndian.Uint32(rest[4:])
	if size > HeaderMost {
		return nil, fmt.Errorf("%w: a header of %d bytes, over %d", ErrSum, size, HeaderMost)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(&r.in, body); err != nil {
		return nil, fmt.Errorf("%w in its head", ErrBreak)
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(rest[8:]) {
		return nil, fmt.Errorf("the head: %w", ErrSum)
	}
	if err := decoding.Unmarshal(body, &r.Header); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	if err := r.Header.Schema.Check(); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	return r, nil
}

// Offset is where the next block begins.
func (r *Reader) Offset() int64 { return r.in.at }

// Next reads a block. io.EOF is the end, with or without an index; ErrBreak
// that the file breaks off; a Fault names a block that is spoilt, after which
// Next goes on with the one behind it, where its length held.
func (r *Reader) Next() (Span, []Event, error) {
	at := r.in.at
	mark, payload, err := readFrame(&r.in, BlockMost)
	switch {
	case err == io.EOF:
		return Span{}, nil, io.EOF
	case errors.Is(err, ErrBreak):
		return Span{}, nil, fmt.Errorf("at offset %d: %w", at, err)
	case err != nil && payload == nil:
		return Span{}, nil, r.skip(at, err)
	case err != nil:
		return Span{}, nil, &Fault{at, err}
	case mark == indexMark:
		return Span{}, nil, io.EOF
	}
	span, events, err := unpack(r.Header.Schema, payload)
	if err != nil {
		return Span{}, nil, &Fault{at, err}
	}
	span.Offset, span.Length = at, uint32(frameHead+len(payload))
	return span, events, nil
}

// skip goes on behind a head that is spoilt, with the next that looks like one; a checksum will tell.
func (r *Reader) skip(at int64, why error) error {
	var last [4]byte
	b := make([]byte, 1)
	for {
		if _, err := r.in.Read(b); err != nil {
			return &Fault{at, why}
		}
		copy(last[:], last[1:])
		if last[3] = b[0]; string(last[:]) == blockMark || string(last[:]) == indexMark {
			r.in.in = io.MultiReader(&again{string(last[:])}, r.in.in)
			r.in.at -= 4
			return &Fault{at, why}
		}
	}
}

type again struct{ rest string }

func (a *again) Read(b []byte) (int, error) {
	if a.rest == "" {
		return 0, io.EOF
	}
	n := copy(b, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// ReadIndex reads the index from a file's end. ErrBreak: it has none, and repair makes one.
func ReadIndex(in io.ReaderAt, size int64) ([]Span, error) {
	if size < int64(tailSize) {
		return nil, ErrBreak
	}
	var tail [tailSize]byte
	if _, err := in.ReadAt(tail[:], size-int64(tailSize)); err != nil {
		return nil, err
	}
	offset := int64(binary.LittleEndian.Uint64(tail[:]))
	if string(tail[8:]) != closing || offset < 0 || offset > size-int64(tailSize) {
		return nil, fmt.Errorf("%w: no index at its end", ErrBreak)
	}
	mark, payload, err := readFrame(io.NewSectionReader(in, offset, size-int64(tailSize)-offset), IndexMost)
	if err != nil || mark != indexMark {
		return nil, fmt.Errorf("the index at offset %d: %w", offset, errors.Join(ErrSum, err))
	}
	var spans []Span
	if err := decoding.Unmarshal(payload, &spans); err != nil {
		return nil, fmt.Errorf("the index at offset %d: %w", offset, err)
	}
	for _, s := range spans {
		if s.Offset < 0 || s.Offset+int64(s.Length) > offset || s.Length < frameHead || s.Length > BlockMost+frameHead {
			return nil, fmt.Errorf("the index at offset %d: %w: a block outside of the file", offset, ErrSum)
		}
	}
	return spans, nil
}

// ReadBlock reads the block that an index names.
func ReadBlock(in io.ReaderAt, s Schema, span Span) ([]Event, error) {
	mark, payload, err := readFrame(io.NewSectionReader(in, span.Offset, int64(span.Length)), BlockMost)
	if err != nil || mark != blockMark {
		return nil, &Fault{span.Offset, errors.Join(ErrSum, err)}
	}
	_, events, err := unpack(s, payload)
	if err != nil {
		return nil, &Fault{span.Offset, err}
	}
	return events, nil
}
