package link

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/zeebo/blake3"
)

// A frame consists of the length of the rest of the frame (4 bytes, big-endian),
// the kind (1 byte), the body and the MAC.
const (
	lengthBytes      = 4
	kindBytes        = 1
	frameHeaderBytes = lengthBytes + kindBytes
	minFrameLength   = kindBytes + macBytes // minimum value of the length field
)

// Key derivation contexts, one for each direction. They are part of the protocol.
const (
	forwarderToPlanner = "ferrypitch link 1 forwarder to planner"
	plannerToForwarder = "ferrypitch link 1 planner to forwarder"
)

// FrameKind is the type of a frame's body.
type FrameKind byte

// Kinds of frames. A receiver ignores kinds that it does not know.
const (
	KindChange      FrameKind = 1 // view.Change, sent by planners
	KindReport      FrameKind = 2 // Report, sent by forwarders
	KindViewRequest FrameKind = 3 // request of a forwarder for the full view; no body
)

// Frame is a decoded frame, without its number and MAC.
type Frame struct {
	Kind FrameKind
	Body []byte
}

// Session authenticates the frames of a connection. Seal encodes outgoing frames and
// Open decodes incoming ones. The directions are independent, so that one goroutine
// may call Seal while another calls Open.
type Session struct {
	sendKey, receiveKey        [32]byte
	sentFrames, receivedFrames uint64
}

// NewSession derives the keys of a connection from the shared key and the nonces of
// both greetings. isForwarder is true on the forwarder's side.
func NewSession(key *[32]byte, forwarderNonce, plannerNonce [nonceBytes]byte, isForwarder bool) *Session {
	var session Session
	material := append([]byte{}, key[:]...)
	material = append(material, forwarderNonce[:]...)
	material = append(material, plannerNonce[:]...)
	blake3.DeriveKey(forwarderToPlanner, material, session.sendKey[:])
	blake3.DeriveKey(plannerToForwarder, material, session.receiveKey[:])
	if !isForwarder {
		session.sendKey, session.receiveKey = session.receiveKey, session.sendKey
	}
	return &session
}

// Seal appends the next outgoing frame, with its MAC, to the buffer.
func (s *Session) Seal(buffer []byte, kind FrameKind, body []byte) []byte {
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(kindBytes+len(body)+macBytes))
	buffer = append(buffer, byte(kind))
	buffer = append(buffer, body...)
	tag := frameMAC(&s.sendKey, s.sentFrames, buffer[start:])
	s.sentFrames++
	return append(buffer, tag...)
}

// FrameSize returns the size in bytes of the frame at the start of received, or the
// size of the header if the header is incomplete. It validates the length field: a
// frame of more than maxBytes is ErrTooLong, one below the minimum is ErrMalformed.
func FrameSize(received []byte, maxBytes int) (int, error) {
	if len(received) < frameHeaderBytes {
		return frameHeaderBytes, nil
	}
	length := binary.BigEndian.Uint32(received)
	if length < minFrameLength {
		return 0, ErrMalformed
	}
	if uint64(length)+lengthBytes > uint64(maxBytes) {
		return 0, ErrTooLong
	}
	return lengthBytes + int(length), nil
}

// Open verifies and decodes one frame of the size that FrameSize returned. Frames
// must be opened in the order in which the peer sealed them; a frame out of order is
// ErrAuthentication. The body shares the memory of the argument.
func (s *Session) Open(frame []byte) (Frame, error) {
	if len(frame) < lengthBytes+minFrameLength {
		return Frame{}, ErrMalformed
	}
	signed, tag := frame[:len(frame)-macBytes], frame[len(frame)-macBytes:]
	if subtle.ConstantTimeCompare(frameMAC(&s.receiveKey, s.receivedFrames, signed), tag) != 1 {
		return Frame{}, ErrAuthentication
	}
	s.receivedFrames++
	return Frame{Kind: FrameKind(frame[lengthBytes]), Body: signed[frameHeaderBytes:]}, nil
}

// frameMAC returns the MAC of a frame and its number, counted for each direction.
func frameMAC(key *[32]byte, number uint64, frame []byte) []byte {
	return mac(key, binary.BigEndian.AppendUint64(nil, number), frame)
}

// mac returns the BLAKE3 keyed hash of the concatenated parts, truncated to macBytes.
func mac(key *[32]byte, parts ...[]byte) []byte {
	hasher, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(err) // impossible: the only error is a wrong key size
	}
	for _, part := range parts {
		hasher.Write(part)
	}
	return hasher.Sum(nil)[:macBytes]
}
