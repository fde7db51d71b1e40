package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CorruptBlockError is a block that cannot be read. Those after it can.
type CorruptBlockError struct {
	Offset int64 // of the block's frame, in bytes
	Err    error // wraps ErrCorrupt
}

// Error names the offset of the block.
func (e *CorruptBlockError) Error() string { return fmt.Sprintf("at offset %d: %v", e.Offset, e.Err) }

// Unwrap returns the cause.
func (e *CorruptBlockError) Unwrap() error { return e.Err }

// Reader reads a file from its beginning. The input need not be seekable.
type Reader struct {
	Header Header
	input  countingReader
}

// countingReader knows its offset.
type countingReader struct {
	in     io.Reader
	offset int64
}

// Read implements io.Reader.
func (c *countingReader) Read(buffer []byte) (int, error) {
	n, err := c.in.Read(buffer)
	c.offset += int64(n)
	return n, err
}

// unread puts bytes back that were read last.
func (c *countingReader) unread(text string) {
	c.in = io.MultiReader(strings.NewReader(text), c.in)
	c.offset -= int64(len(text))
}

// NewReader reads the header of a file. The error is or wraps one of those of this
// package, or says what is wrong with the header.
func NewReader(input io.Reader) (*Reader, error) {
	r := &Reader{input: countingReader{in: input}}
	body, err := r.readHeader()
	if err != nil {
		return nil, err
	}
	if err := decoder.Unmarshal(body, &r.Header); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	if err := r.Header.Schema.Validate(); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	return r, nil
}

// readHeader reads the bytes of the header and checks the prefix before it.
func (r *Reader) readHeader() ([]byte, error) {
	var prefix [prefixBytes]byte
	n, err := io.ReadFull(&r.input, prefix[:])
	if n < len(fileMagic) || string(prefix[:len(fileMagic)]) != fileMagic {
		return nil, ErrNotTrace
	}
	if err != nil {
		return nil, fmt.Errorf("%w in its head", ErrTruncated)
	}
	fields := prefix[len(fileMagic):]
	version := binary.LittleEndian.Uint32(fields)
	size := binary.LittleEndian.Uint32(fields[versionBytes:])
	checksum := binary.LittleEndian.Uint64(fields[versionBytes+lengthBytes:])
	if version > Version || version == 0 {
		return nil, fmt.Errorf("%w: trace version %d; this program reads up to version %d", ErrNewerVersion, version, Version)
	}
	if size > MaxHeaderBytes {
		return nil, fmt.Errorf("%w: a header of %d bytes, over %d", ErrCorrupt, size, MaxHeaderBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(&r.input, body); err != nil {
		return nil, fmt.Errorf("%w in its head", ErrTruncated)
	}
	if xxhash.Sum64(body) != checksum {
		return nil, fmt.Errorf("the head: %w", ErrCorrupt)
	}
	return body, nil
}

// Offset returns where the next block begins, in bytes.
func (r *Reader) Offset() int64 { return r.input.offset }

// Next reads the next block. The error is io.EOF at the end of the file, with or
// without an index, and wraps ErrTruncated if the file ends within a block. After a
// CorruptBlockError, Next returns the block that follows.
func (r *Reader) Next() (BlockInfo, []Event, error) {
	offset := r.input.offset
	block, err := readFrame(&r.input, MaxBlockBytes)
	switch {
	case errors.Is(err, io.EOF):
		return BlockInfo{}, nil, io.EOF
	case errors.Is(err, ErrTruncated):
		return BlockInfo{}, nil, fmt.Errorf("at offset %d: %w", offset, err)
	case err != nil && block.payload == nil:
		r.skipCorruptFrame()
		return BlockInfo{}, nil, &CorruptBlockError{offset, err}
	case err != nil:
		return BlockInfo{}, nil, &CorruptBlockError{offset, err}
	case block.mark == indexMark:
		return BlockInfo{}, nil, io.EOF
	}
	info, events, err := decodeBlock(r.Header.Schema, block.payload)
	if err != nil {
		return BlockInfo{}, nil, &CorruptBlockError{offset, err}
	}
	info.Offset, info.Length = offset, uint32(frameHeaderBytes+len(block.payload))
	return info, events, nil
}

// skipCorruptFrame skips a frame whose length cannot be right: up to the next mark.
// What only looks like a mark does not match its checksum.
func (r *Reader) skipCorruptFrame() {
	var last [markBytes]byte
	next := make([]byte, 1)
	for {
		if _, err := r.input.Read(next); err != nil {
			return // the next read returns the error again
		}
		copy(last[:], last[1:])
		last[markBytes-1] = next[0]
		if mark := string(last[:]); mark == blockMark || mark == indexMark {
			r.input.unread(mark)
			return
		}
	}
}

// ReadIndex reads the index at the end of a file of a size in bytes. The error
// wraps ErrTruncated if the file has none, and ErrCorrupt if it is wrong.
func ReadIndex(file io.ReaderAt, size int64) ([]BlockInfo, error) {
	trailerOffset := size - int64(trailerBytes)
	if trailerOffset < 0 {
		return nil, ErrTruncated
	}
	var trailer [trailerBytes]byte
	if _, err := file.ReadAt(trailer[:], trailerOffset); err != nil {
		return nil, err
	}
	offset := int64(binary.LittleEndian.Uint64(trailer[:]))
	if string(trailer[offsetBytes:]) != endMagic || offset < 0 || offset > trailerOffset {
		return nil, fmt.Errorf("%w: no index at its end", ErrTruncated)
	}
	read, err := readFrame(io.NewSectionReader(file, offset, trailerOffset-offset), MaxIndexBytes)
	if err != nil || read.mark != indexMark {
		return nil, fmt.Errorf("the index at offset %d: %w", offset, errors.Join(ErrCorrupt, err))
	}
	var index []BlockInfo
	if err := decoder.Unmarshal(read.payload, &index); err != nil {
		return nil, fmt.Errorf("the index at offset %d: %w", offset, err)
	}
	for _, info := range index {
		if !info.isWithin(offset) {
			return nil, fmt.Errorf("the index at offset %d: %w: a block outside of the file", offset, ErrCorrupt)
		}
	}
	return index, nil
}

// isWithin reports whether a block can be where the index says, in a file of blocks up to an offset.
func (s BlockInfo) isWithin(end int64) bool {
	return s.Offset >= 0 && s.Offset+int64(s.Length) <= end &&
		s.Length >= frameHeaderBytes && s.Length <= MaxBlockBytes+frameHeaderBytes
}

// ReadBlock reads the block that an entry of the index describes. The error is a
// CorruptBlockError if the block is not there or wrong.
func ReadBlock(file io.ReaderAt, schema Schema, info BlockInfo) ([]Event, error) {
	block, err := readFrame(io.NewSectionReader(file, info.Offset, int64(info.Length)), MaxBlockBytes)
	if err != nil || block.mark != blockMark {
		return nil, &CorruptBlockError{info.Offset, errors.Join(ErrCorrupt, err)}
	}
	_, events, err := decodeBlock(schema, block.payload)
	if err != nil {
		return nil, &CorruptBlockError{info.Offset, err}
	}
	return events, nil
}
