// Package format encodes and decodes trace files; it opens no files itself. A file
// consists of a header with the schema of its events, columnar blocks with a checksum
// each, and an index at the end, which is required for seeking but not for sequential
// reads. docs/design/trace-format.md specifies the format.
//
// A writer calls AppendHeader, adds events to a Block, calls Block.Append for each
// block, and calls AppendIndex at the end. Reader returns the blocks in order, up to
// the point at which a file is truncated. ReadIndex and ReadBlock read the blocks of a
// time range.
package format

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Version is the version of the format that this package writes. Readers reject newer versions.
const Version = 1

// Limits that writers and readers enforce. Sizes are in bytes.
const (
	MaxHeaderBytes  = 1 << 20
	MaxBlockBytes   = 4 << 20  // payload of a block's frame, with its content compressed
	MaxContentBytes = 16 << 20 // content of a block, uncompressed
	MaxIndexBytes   = 64 << 20
	MaxBlockEvents  = 1 << 16
)

// Errors for files that cannot be read, or only in part.
var (
	ErrNotTrace     = errors.New("not a trace file")
	ErrNewerVersion = errors.New("unsupported newer format version")
	ErrTruncated    = errors.New("trace file is truncated")
	ErrCorrupt      = errors.New("checksum mismatch or corrupt data") // corrupt data: an invalid length, count or index
)

// newCorruptError returns an ErrCorrupt with the text of its cause. The cause is not wrapped,
// since decoders return io.EOF, which callers would mistake for the end of the file.
func newCorruptError(cause error) error { return fmt.Errorf("%w: %s", ErrCorrupt, cause.Error()) }

// compressionWindow is the window size of the compressor in bytes. It bounds the compressor's memory.
const compressionWindow = 1 << 18

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: 1 << 20, MaxMapPairs: 1024, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
	compressor = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true)))
	decompressor = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxContentBytes), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true)))
)

// must panics on an error. It is used only with options that are fixed at compile time.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
