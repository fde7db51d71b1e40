// Package format is the format of trace files, on bytes alone: a header with the
// schema of its events, blocks of columns with a checksum each, and an index at
// the end, which seeking needs and reading from the beginning does not.
// docs/design/trace-format.md specifies it.
//
// A writer calls AppendHeader, gathers events in a Block and calls Block.Append for
// each block, and AppendIndex at the end. Reader returns the blocks in order, up
// to the point at which a file is truncated; ReadIndex and ReadBlock find those of
// a time span.
package format

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Version is the version of the format that is written here. Readers reject newer ones.
const Version = 1

// Limits on what is written and read. The sizes are in bytes.
const (
	MaxHeaderBytes   = 1 << 20
	MaxBlockBytes    = 4 << 20  // the payload, compressed
	MaxUnpackedBytes = 16 << 20 // the content of a block
	MaxIndexBytes    = 64 << 20
	MaxBlockEvents   = 1 << 16
)

// Errors of files that cannot be read, or only in part.
var (
	ErrNotTrace     = errors.New("not a trace file")
	ErrNewerVersion = errors.New("of a newer version")
	ErrTruncated    = errors.New("the file breaks off")
	ErrCorrupt      = errors.New("a checksum differs") // or a length, a count or a number that the format does not allow
)

// corruptBecause returns ErrCorrupt with the text of its cause. The cause is not
// wrapped: decoders return io.EOF, which must not be taken for the end of a file.
func corruptBecause(cause error) error { return fmt.Errorf("%w: %s", ErrCorrupt, cause.Error()) }

// compressionWindow bounds the memory of compression, in bytes.
const compressionWindow = 1 << 18

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: 1 << 20, MaxMapPairs: 1024, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
	compressor = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true)))
	decompressor = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxUnpackedBytes), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true)))
)

// must is for options that are fixed at compile time.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
