package link

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/zeebo/blake3"
)

// A frame is the length of what follows (4 bytes, big-endian), the kind (1 byte),
// the body and the MAC.
const (
	lengthBytes      = 4
	kindBytes        = 1
	frameHeaderBytes = lengthBytes + kindBytes
	minFrameLength   = kindBytes + macBytes // the least that a length field may say
)

// Contexts of key derivation, one a direction. They are part of the protocol.
const (
	forwarderToPlanner = "ferrypitch link 1 forwarder to planner"
	plannerToForwarder = "ferrypitch link 1 planner to forwarder"
)

// FrameKind says what a frame's body is.
type FrameKind byte

// Kinds of frames. A receiver ignores kinds that it does not know.
const (
	KindChange      FrameKind = 1 // a view.Change, sent by planners
	KindReport      FrameKind = 2 // a Report, sent by forwarders
	KindViewRequest FrameKind = 3 // no body: the forwarder asks for a full view
)

// Frame is a frame that was received.
type Frame struct {
	Kind FrameKind
	Body []byte
}

// Session authenticates the frames of one connection: it seals what its side
// sends and opens what the peer sends. The two directions are independent, so that
// one goroutine may seal while another opens.
type Session struct {
	sendKey, receiveKey        [32]byte
	sentFrames, receivedFrames uint64
}

// NewSession derives the keys of a connection from the shared key and the nonces
// of both greetings. isForwarder says which side the caller is.
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

// Seal appends the next frame to send.
func (s *Session) Seal(buffer []byte, kind FrameKind, body []byte) []byte {
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(kindBytes+len(body)+macBytes))
	buffer = append(buffer, byte(kind))
	buffer = append(buffer, body...)
	tag := frameMAC(&s.sendKey, s.sentFrames, buffer[start:])
	s.sentFrames++
	return append(buffer, tag...)
}

// FrameSize returns the size in bytes of the frame at the beginning of what was
// received, or of its header while that is incomplete. It does not trust the
// length: a frame over maxBytes is ErrTooLong, one too short to be a frame
// ErrMalformed.
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

// Open checks and parses one frame, whose size FrameSize gave. Frames must be
// opened in the order in which the peer sealed them; any other is
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

// frameMAC is the MAC of a frame and its number in its direction.
func frameMAC(key *[32]byte, number uint64, frame []byte) []byte {
	return mac(key, binary.BigEndian.AppendUint64(nil, number), frame)
}

func mac(key *[32]byte, parts ...[]byte) []byte {
	hasher, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(err) // only for a key of another size than its type has
	}
	for _, part := range parts {
		hasher.Write(part)
	}
	return hasher.Sum(nil)[:macBytes]
}
