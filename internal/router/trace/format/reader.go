package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CorruptBlockError is the error for a block that cannot be read. Later blocks can still be read.
type CorruptBlockError struct {
	Offset int64 // of the block's frame, in bytes
	Err    error // wraps ErrCorrupt
}

// Error implements error.
func (e *CorruptBlockError) Error() string { return fmt.Sprintf("at offset %d: %v", e.Offset, e.Err) }

// Unwrap supports errors.Is and errors.As.
func (e *CorruptBlockError) Unwrap() error { return e.Err }

// Reader reads a file sequentially. Its input need not be seekable.
type Reader struct {
	Header Header
	input  countingReader
}

// countingReader counts the bytes read from a reader.
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

// unread makes the bytes that were read last available again.
func (c *countingReader) unread(text string) {
	c.in = io.MultiReader(strings.NewReader(text), c.in)
	c.offset -= int64(len(text))
}

// NewReader reads the header of a file. The error wraps one of this package's errors or
// describes what is invalid in the header.
func NewReader(input io.Reader) (*Reader, error) {
	r := &Reader{input: countingReader{in: input}}
	body, err := r.readHeader()
	if err != nil {
		return nil, err
	}
	if err := decoder.Unmarshal(body, &r.Header); err != nil {
		return nil, fmt.Errorf("invalid header: %w", err)
	}
	if err := r.Header.Schema.Validate(); err != nil {
		return nil, fmt.Errorf("invalid header: %w", err)
	}
	return r, nil
}

// readHeader reads the prefix and the encoded header, and checks the prefix and the checksum.
func (r *Reader) readHeader() ([]byte, error) {
	var prefix [prefixBytes]byte
	n, err := io.ReadFull(&r.input, prefix[:])
	if n < len(fileMagic) || string(prefix[:len(fileMagic)]) != fileMagic {
		return nil, ErrNotTrace
	}
	if err != nil {
		return nil, fmt.Errorf("%w within its header", ErrTruncated)
	}
	fields := prefix[len(fileMagic):]
	version := binary.LittleEndian.Uint32(fields)
	size := binary.LittleEndian.Uint32(fields[versionBytes:])
	checksum := binary.LittleEndian.Uint64(fields[versionBytes+lengthBytes:])
	if version > Version || version == 0 {
		return nil, fmt.Errorf("%w: trace version %d; this program reads up to version %d", ErrNewerVersion, version, Version)
	}
	if size > MaxHeaderBytes {
		return nil, fmt.Errorf("%w: header is %d bytes long; the limit is %d", ErrCorrupt, size, MaxHeaderBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(&r.input, body); err != nil {
		return nil, fmt.Errorf("%w within its header", ErrTruncated)
	}
	if xxhash.Sum64(body) != checksum {
		return nil, fmt.Errorf("invalid header: %w", ErrCorrupt)
	}
	return body, nil
}

// Offset returns the file offset of the next frame in bytes.
func (r *Reader) Offset() int64 { return r.input.offset }

// Next reads the next block. The error is io.EOF at the index or, if there is none, at the
// end of the file, and wraps ErrTruncated if the file ends within a frame. After a
// CorruptBlockError, Next continues with the following block.
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
	case block.magic == indexMagic:
		return BlockInfo{}, nil, io.EOF
	}
	info, events, err := decodeBlock(r.Header.Schema, block.payload)
	if err != nil {
		return BlockInfo{}, nil, &CorruptBlockError{offset, err}
	}
	info.Offset, info.Length = offset, uint32(frameHeaderBytes+len(block.payload))
	return info, events, nil
}

// skipCorruptFrame skips a frame whose magic or length is invalid, by searching for the next
// magic. Data that happens to contain a magic fails the checksum of its supposed frame.
func (r *Reader) skipCorruptFrame() {
	var last [frameMagicBytes]byte
	next := make([]byte, 1)
	for {
		if _, err := r.input.Read(next); err != nil {
			return // the next read returns the error again
		}
		copy(last[:], last[1:])
		last[frameMagicBytes-1] = next[0]
		if magic := string(last[:]); magic == blockMagic || magic == indexMagic {
			r.input.unread(magic)
			return
		}
	}
}

// ReadIndex reads the index at the end of a file; size is the file's size in bytes. The error
// wraps ErrTruncated if the file has no index, and ErrCorrupt if the index is invalid.
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
		return nil, fmt.Errorf("%w: it does not end with an index", ErrTruncated)
	}
	indexFrame, err := readFrame(io.NewSectionReader(file, offset, trailerOffset-offset), MaxIndexBytes)
	if err != nil || indexFrame.magic != indexMagic {
		return nil, fmt.Errorf("index at offset %d: %w", offset, errors.Join(ErrCorrupt, err))
	}
	var index []BlockInfo
	if err := decoder.Unmarshal(indexFrame.payload, &index); err != nil {
		return nil, fmt.Errorf("index at offset %d: %w", offset, err)
	}
	for _, info := range index {
		if !info.isWithin(offset) {
			return nil, fmt.Errorf("index at offset %d: %w: an entry is outside the file", offset, ErrCorrupt)
		}
	}
	return index, nil
}

// isWithin reports whether an index entry is plausible: its block ends at or before the file offset end and has a valid length.
func (b BlockInfo) isWithin(end int64) bool {
	return b.Offset >= 0 && b.Offset+int64(b.Length) <= end &&
		b.Length >= frameHeaderBytes && b.Length <= MaxBlockBytes+frameHeaderBytes
}

// ReadBlock reads the block of an index entry. The error is a CorruptBlockError if the block
// is missing or invalid.
func ReadBlock(file io.ReaderAt, schema Schema, info BlockInfo) ([]Event, error) {
	block, err := readFrame(io.NewSectionReader(file, info.Offset, int64(info.Length)), MaxBlockBytes)
	if err != nil || block.magic != blockMagic {
		return nil, &CorruptBlockError{info.Offset, errors.Join(ErrCorrupt, err)}
	}
	_, events, err := decodeBlock(schema, block.payload)
	if err != nil {
		return nil, &CorruptBlockError{info.Offset, err}
	}
	return events, nil
}
