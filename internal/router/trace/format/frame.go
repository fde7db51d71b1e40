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
// the length of the header and its checksum) and the header, and ends with a trailer
// (the offset of the index's frame and endMagic). Between them are frames, each of
// which consists of a magic, the length of the payload, its checksum and the payload.
const (
	fileMagic  = "FPTRACE\n"
	endMagic   = "FPTEND\r\n"
	blockMagic = "FPBK"
	indexMagic = "FPIX"

	frameMagicBytes = 4
	lengthBytes     = 4
	checksumBytes   = 8
	versionBytes    = 4
	offsetBytes     = 8

	prefixBytes      = len(fileMagic) + versionBytes + lengthBytes + checksumBytes
	frameHeaderBytes = frameMagicBytes + lengthBytes + checksumBytes
	trailerBytes     = offsetBytes + len(endMagic)
)

// AppendHeader appends the prefix and the header of a file to buffer.
func AppendHeader(buffer []byte, header Header) ([]byte, error) {
	if err := header.Schema.Validate(); err != nil {
		return buffer, err
	}
	body, err := encoder.Marshal(header)
	if err != nil {
		return buffer, err
	}
	if len(body) > MaxHeaderBytes {
		return buffer, fmt.Errorf("header is %d bytes long; the limit is %d", len(body), MaxHeaderBytes)
	}
	buffer = append(buffer, fileMagic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, Version)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(body))
	return append(buffer, body...), nil
}

// AppendIndex appends the index and the trailer of a file to buffer. offset is the file offset
// at which the index will be written.
func AppendIndex(buffer []byte, index []BlockInfo, offset int64) ([]byte, error) {
	payload, err := encoder.Marshal(index)
	if err != nil {
		return buffer, err
	}
	if len(payload) > MaxIndexBytes {
		return buffer, fmt.Errorf("index is %d bytes long; the limit is %d", len(payload), MaxIndexBytes)
	}
	buffer = appendFrame(buffer, indexMagic, payload)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(offset))
	return append(buffer, endMagic...), nil
}

func appendFrame(buffer []byte, magic string, payload []byte) []byte {
	buffer = append(buffer, magic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(payload))
	return append(buffer, payload...)
}

// frame is a decoded frame.
type frame struct {
	magic   string
	payload []byte
}

// readFrame reads a frame whose payload has at most maxBytes. The error is io.EOF at the
// end of the input, and wraps ErrTruncated if the frame is incomplete and ErrCorrupt if it
// is invalid. A payload beside ErrCorrupt means that the length was valid and only the
// checksum did not match, so that input is at the next frame.
func readFrame(input io.Reader, maxBytes int) (frame, error) {
	var header [frameHeaderBytes]byte
	n, err := io.ReadFull(input, header[:])
	if errors.Is(err, io.EOF) {
		return frame{}, io.EOF
	}
	if err != nil {
		return frame{}, fmt.Errorf("%w: read %d of %d bytes of a frame header", ErrTruncated, n, frameHeaderBytes)
	}
	magic := string(header[:frameMagicBytes])
	size := binary.LittleEndian.Uint32(header[frameMagicBytes:])
	checksum := binary.LittleEndian.Uint64(header[frameMagicBytes+lengthBytes:])
	switch magic {
	case blockMagic:
	case indexMagic:
		maxBytes = MaxIndexBytes
	default:
		return frame{}, fmt.Errorf("%w: frame is neither a block nor an index", ErrCorrupt)
	}
	if int64(size) > int64(maxBytes) {
		return frame{}, fmt.Errorf("%w: frame payload is %d bytes long; the limit is %d", ErrCorrupt, size, maxBytes)
	}
	var payload bytes.Buffer // grows as data is read, since the length is not trusted
	read, err := io.CopyN(&payload, input, int64(size))
	if err != nil {
		return frame{}, fmt.Errorf("%w: read %d of %d bytes of a frame payload", ErrTruncated, read, size)
	}
	if xxhash.Sum64(payload.Bytes()) != checksum {
		err = ErrCorrupt
	}
	return frame{magic, payload.Bytes()}, err
}
