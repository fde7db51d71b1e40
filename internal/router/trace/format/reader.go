package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// CorruptBlockError is a block that can't be read; what is behind it can.
type CorruptBlockError struct {
	Offset int64 // of the block
	Err    error
}

func (f *CorruptBlockError) Error() string { return fmt.Sprintf("at offset %d: %v", f.Offset, f.Err) }
func (f *CorruptBlockError) Unwrap() error { return f.Err }

// Reader reads a file from its beginning, from a pipe too.
type Reader struct {
	Header Header
	input  countingReader
}

type countingReader struct {
	in     io.Reader
	offset int64
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.in.Read(b)
	c.offset += int64(n)
	return n, err
}

// NewReader reads the header.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{input: countingReader{in: in}}
	var head [len(fileMagic) + 16]byte
	if n, err := io.ReadFull(&r.input, head[:]); err != nil {
		if n >= len(fileMagic) && string(head[:len(fileMagic)]) == fileMagic {
			return nil, fmt.Errorf("%w in its head", ErrTruncated)
		}
		return nil, ErrNotTrace
	}
	if string(head[:len(fileMagic)]) != fileMagic {
		return nil, ErrNotTrace
	}
	rest := head[len(fileMagic):]
	if v := binary.LittleEndian.Uint32(rest); v > Version || v == 0 {
		return nil, fmt.Errorf("%w: trace version %d; this program reads up to version %d", ErrNewerVersion, v, Version)
	}
	size := binary.LittleEndian.Uint32(rest[4:])
	if size > MaxHeaderBytes {
		return nil, fmt.Errorf("%w: a header of %d bytes, over %d", ErrCorrupt, size, MaxHeaderBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(&r.input, body); err != nil {
		return nil, fmt.Errorf("%w in its head", ErrTruncated)
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(rest[8:]) {
		return nil, fmt.Errorf("the head: %w", ErrCorrupt)
	}
	if err := decoder.Unmarshal(body, &r.Header); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	if err := r.Header.Schema.Validate(); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	return r, nil
}

// Offset is where the next block begins.
func (r *Reader) Offset() int64 { return r.input.offset }

// Next reads a block. io.EOF is the end, with or without an index; ErrBreak
// that the file breaks off; a Fault names a block that is spoilt, after which
// Next goes on with the one behind it, where its length held.
func (r *Reader) Next() (Span, []Event, error) {
	at := r.input.offset
	mark, payload, err := readFrame(&r.input, MaxBlockBytes)
	switch {
	case err == io.EOF:
		return Span{}, nil, io.EOF
	case errors.Is(err, ErrTruncated):
		return Span{}, nil, fmt.Errorf("at offset %d: %w", at, err)
	case err != nil && payload == nil:
		return Span{}, nil, r.skipCorruptFrame(at, err)
	case err != nil:
		return Span{}, nil, &CorruptBlockError{at, err}
	case mark == indexMark:
		return Span{}, nil, io.EOF
	}
	span, events, err := decodeBlock(r.Header.Schema, payload)
	if err != nil {
		return Span{}, nil, &CorruptBlockError{at, err}
	}
	span.Offset, span.Length = at, uint32(frameHeaderBytes+len(payload))
	return span, events, nil
}

// skipCorruptFrame goes on behind a head that is spoilt, with the next that looks like one; a checksum will tell.
func (r *Reader) skipCorruptFrame(at int64, why error) error {
	var last [4]byte
	b := make([]byte, 1)
	for {
		if _, err := r.input.Read(b); err != nil {
			return &CorruptBlockError{at, why}
		}
		copy(last[:], last[1:])
		if last[3] = b[0]; string(last[:]) == blockMark || string(last[:]) == indexMark {
			r.input.in = io.MultiReader(&again{string(last[:])}, r.input.in)
			r.input.offset -= 4
			return &CorruptBlockError{at, why}
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
	if size < int64(trailerBytes) {
		return nil, ErrTruncated
	}
	var tail [trailerBytes]byte
	if _, err := in.ReadAt(tail[:], size-int64(trailerBytes)); err != nil {
		return nil, err
	}
	offset := int64(binary.LittleEndian.Uint64(tail[:]))
	if string(tail[8:]) != endMagic || offset < 0 || offset > size-int64(trailerBytes) {
		return nil, fmt.Errorf("%w: no index at its end", ErrTruncated)
	}
	mark, payload, err := readFrame(io.NewSectionReader(in, offset, size-int64(trailerBytes)-offset), MaxIndexBytes)
	if err != nil || mark != indexMark {
		return nil, fmt.Errorf("the index at offset %d: %w", offset, errors.Join(ErrCorrupt, err))
	}
	var spans []Span
	if err := decoder.Unmarshal(payload, &spans); err != nil {
		return nil, fmt.Errorf("the index at offset %d: %w", offset, err)
	}
	for _, s := range spans {
		if s.Offset < 0 || s.Offset+int64(s.Length) > offset || s.Length < frameHeaderBytes || s.Length > MaxBlockBytes+frameHeaderBytes {
			return nil, fmt.Errorf("the index at offset %d: %w: a block outside of the file", offset, ErrCorrupt)
		}
	}
	return spans, nil
}

// ReadBlock reads the block that an index names.
func ReadBlock(in io.ReaderAt, s Schema, span Span) ([]Event, error) {
	mark, payload, err := readFrame(io.NewSectionReader(in, span.Offset, int64(span.Length)), MaxBlockBytes)
	if err != nil || mark != blockMark {
		return nil, &CorruptBlockError{span.Offset, errors.Join(ErrCorrupt, err)}
	}
	_, events, err := decodeBlock(s, payload)
	if err != nil {
		return nil, &CorruptBlockError{span.Offset, err}
	}
	return events, nil
}
