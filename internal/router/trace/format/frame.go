package format

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Numbers are little-endian. A file begins with a prefix (fileMagic, the version,
// the length of the header and its checksum) and ends with a trailer (the offset of
// the index's frame and endMagic). Between them are frames: a mark, the length of
// the payload, its checksum and the payload.
const (
	fileMagic = "FPTRACE\n"
	endMagic  = "FPTEND\r\n"
	blockMark = "FPBK"
	indexMark = "FPIX"

	markBytes     = 4
	lengthBytes   = 4
	checksumBytes = 8
	versionBytes  = 4
	offsetBytes   = 8

	prefixBytes      = len(fileMagic) + versionBytes + lengthBytes + checksumBytes
	frameHeaderBytes = markBytes + lengthBytes + checksumBytes
	trailerBytes     = offsetBytes + len(endMagic)
)

// AppendHeader appends the beginning of a file.
func AppendHeader(buffer []byte, header Header) ([]byte, error) {
	if err := header.Schema.Validate(); err != nil {
		return buffer, err
	}
	body, err := encoder.Marshal(header)
	if err != nil {
		return buffer, err
	}
	if len(body) > MaxHeaderBytes {
		return buffer, fmt.Errorf("a header of %d bytes, over %d", len(body), MaxHeaderBytes)
	}
	buffer = append(buffer, fileMagic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, Version)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(body))
	return append(buffer, body...), nil
}

// AppendIndex appends the end of a file, which will be at an offset.
func AppendIndex(buffer []byte, index []BlockInfo, offset int64) ([]byte, error) {
	payload, err := encoder.Marshal(index)
	if err != nil {
		return buffer, err
	}
	if len(payload) > MaxIndexBytes {
		return buffer, fmt.Errorf("an index of %d bytes, over %d", len(payload), MaxIndexBytes)
	}
	buffer = appendFrame(buffer, indexMark, payload)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(offset))
	return append(buffer, endMagic...), nil
}

func appendFrame(buffer []byte, mark string, payload []byte) []byte {
	buffer = append(buffer, mark...)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(payload))
	return append(buffer, payload...)
}

// frame is a frame that was read.
type frame struct {
	mark    string
	payload []byte
}

// readFrame reads a frame. The error is io.EOF if there is none, ErrTruncated if
// it is incomplete and ErrCorrupt if it is wrong; in that case the payload is set
// if its length is right, and the reader is at the next frame.
func readFrame(input io.Reader, maxBytes int) (frame, error) {
	var header [frameHeaderBytes]byte
	n, err := io.ReadFull(input, header[:])
	if errors.Is(err, io.EOF) {
		return frame{}, io.EOF
	}
	if err != nil {
		return frame{}, fmt.Errorf("%w: %d of %d bytes of a frame's head", ErrTruncated, n, frameHeaderBytes)
	}
	mark := string(header[:markBytes])
	size := binary.LittleEndian.Uint32(header[markBytes:])
	checksum := binary.LittleEndian.Uint64(header[markBytes+lengthBytes:])
	switch mark {
	case blockMark:
	case indexMark:
		maxBytes = MaxIndexBytes
	default:
		return frame{}, fmt.Errorf("%w: neither a block nor an index", ErrCorrupt)
	}
	if int64(size) > int64(maxBytes) {
		return frame{}, fmt.Errorf("%w: a length of %d, over %d", ErrCorrupt, size, maxBytes)
	}
	var payload bytes.Buffer // grows with what is read, not with what the length claims
	read, err := io.CopyN(&payload, input, int64(size))
	if err != nil {
		return frame{}, fmt.Errorf("%w: %d of %d bytes of a frame", ErrTruncated, read, size)
	}
	if xxhash.Sum64(payload.Bytes()) != checksum {
		err = ErrCorrupt
	}
	return frame{mark, payload.Bytes()}, err
}
