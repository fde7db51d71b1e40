package rpc

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// minPayloadBytes is the minimum size of a payload. Smaller contents stay in the frame.
	minPayloadBytes = 2 << 10

	// maxPayloadParts is the maximum number of byte strings in a payload.
	maxPayloadParts = 1 << 16

	// payloadBlockBytes is the number of payload bytes that are written at a time, and by which the read buffer grows.
	payloadBlockBytes = 32 << 10
)

// ErrPayload is returned for a payload that is too long or has too many parts. The connection is unusable afterwards.
var ErrPayload = errors.New("rpc: payload is too long")

// SetPeerVersion sets the protocol version of the peer. Payloads are only sent once it is known that the peer reads them.
func (c *Conn) SetPeerVersion(version uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerReadsPayloads = version >= VersionPayloads
}

// detachPayload returns a copy of a frame without its long byte strings, and the byte strings as payload. The payload is sent
// without copying it, so that all connections share the bytes of an update and none keeps a buffer of its length. A frame with
// little content is returned unchanged, without a payload.
func detachPayload(frame *Frame) (trimmed *Frame, payload [][]byte) {
	copied := *frame
	switch {
	case frame.LogUpdate != nil:
		update := *frame.LogUpdate
		copied.LogUpdate = &update
		if update.Snapshot != nil {
			payload, update.Snapshot = [][]byte{update.Snapshot}, nil
			copied.PayloadKind = payloadSnapshot
		} else {
			payload, update.Entries = update.Entries, nil
			copied.PayloadKind = payloadEntries
		}
	case frame.SnapshotChunk != nil:
		chunk := *frame.SnapshotChunk
		copied.SnapshotChunk = &chunk
		payload, chunk.Data = [][]byte{chunk.Data}, nil
		copied.PayloadKind = payloadChunk
	}
	if payloadBytes(payload) < minPayloadBytes || len(payload) > maxPayloadParts {
		return frame, nil
	}
	for _, part := range payload {
		copied.PayloadSizes = append(copied.PayloadSizes, uint32(len(part)))
	}
	copied.NeedsVersion = VersionPayloads
	return &copied, payload
}

func payloadBytes(payload [][]byte) (total int) {
	for _, part := range payload {
		total += len(part)
	}
	return total
}

// attachPayload puts a received payload back into its frame. It ignores payloads of unknown kinds.
func attachPayload(frame *Frame, payload [][]byte) {
	switch {
	case frame.PayloadKind == payloadEntries && frame.LogUpdate != nil:
		frame.LogUpdate.Entries = payload
	case frame.PayloadKind == payloadSnapshot && frame.LogUpdate != nil && len(payload) == 1:
		frame.LogUpdate.Snapshot = payload[0]
	case frame.PayloadKind == payloadChunk && frame.SnapshotChunk != nil && len(payload) == 1:
		frame.SnapshotChunk.Data = payload[0]
	}
	frame.PayloadKind, frame.PayloadSizes, frame.NeedsVersion = payloadNone, nil, 0
}

// sendPayload writes a payload in blocks. The timeout applies to each block, because a long payload takes long on a slow link.
func (c *Conn) sendPayload(payload [][]byte, timeout time.Duration) error {
	for len(payload) > 0 {
		var block net.Buffers
		block, payload = nextBlock(payload)
		c.conn.SetWriteDeadline(time.Now().Add(timeout))
		written, err := block.WriteTo(c.conn)
		BytesSent.Add(written)
		if err != nil {
			return err
		}
	}
	return nil
}

// nextBlock splits off the first payloadBlockBytes of a payload, without modifying the payload.
func nextBlock(payload [][]byte) (block, rest [][]byte) {
	remaining := payloadBlockBytes
	for i, part := range payload {
		if len(part) > remaining {
			rest = append([][]byte{part[remaining:]}, payload[i+1:]...)
			return append(block, part[:remaining]), rest
		}
		block = append(block, part)
		remaining -= len(part)
	}
	return block, nil
}

// receivePayload reads the payload of a frame. The timeout applies to each block: a peer that is still sending is not
// unresponsive.
func (c *Conn) receivePayload(sizes []uint32, timeout time.Duration) ([][]byte, error) {
	total := 0
	for _, size := range sizes {
		total += int(size)
		if total > MaxFrameBytes || len(sizes) > maxPayloadParts {
			return nil, ErrPayload
		}
	}
	payload := make([][]byte, 0, len(sizes))
	for _, size := range sizes {
		part, err := c.receivePart(int(size), timeout)
		if err != nil {
			return nil, err
		}
		payload = append(payload, part)
	}
	return payload, nil
}

// receivePart reads one byte string of a payload. The buffer grows with the received bytes, not with the announced size.
func (c *Conn) receivePart(size int, timeout time.Duration) ([]byte, error) {
	if size == 0 {
		return nil, nil // as gob decodes an empty byte string
	}
	var part bytes.Buffer
	part.Grow(min(size, payloadBlockBytes))
	for part.Len() < size {
		c.conn.SetReadDeadline(time.Now().Add(timeout))
		if _, err := io.CopyN(&part, &payloadReader{&c.frames}, int64(min(size-part.Len(), payloadBlockBytes))); err != nil {
			return nil, err
		}
	}
	return part.Bytes(), nil
}

// payloadReader reads the raw bytes after a frame, by way of the buffer of the frameReader.
type payloadReader struct{ frames *frameReader }

// Read implements io.Reader.
func (r *payloadReader) Read(b []byte) (int, error) {
	if err := r.frames.fill(); err != nil {
		return 0, err
	}
	n := copy(b, r.frames.buffer[r.frames.start:r.frames.end])
	r.frames.start += n
	return n, nil
}
