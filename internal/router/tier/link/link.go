// Package link is what planners and forwarders say to each other, on bytes
// alone: a greeting of fixed form that any version can read, then frames of
// CBOR, each with a MAC over a key of the connection's own, its direction and its
// number, so that none can be forged, changed, left out or sent again.
//
// A connection: the forwarder writes Greeting, the planner answers with its own;
// both derive the connection's key from the shared one and both nonces (BLAKE3
// keyed and derive-key modes, by its paper of 2020). Frames follow both ways.
package link

import (
	"bytes"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"

	"ferrypitch/internal/router/tier/view"
)

// ProtocolVersion is the version that is spoken here.
const ProtocolVersion = 1

const (
	magic              = "fpln"
	macBytes           = 16
	nonceBytes         = 16
	frameHeaderBytes   = 5
	greetingFixedBytes = len(magic) + 2 + 8 + nonceBytes + 1
	maxNameBytes       = 64

	// MaxGreetingBytes is the longest greeting in bytes.
	MaxGreetingBytes = greetingFixedBytes + maxNameBytes + macBytes
	// FrameMost is the longest frame in bytes: a whole view of some 50,000 hosts.
	FrameMost = 16 << 20
	// ReportMost is the longest that a planner takes from a forwarder.
	ReportMost = 1 << 20
)

// Kinds of frames.
const (
	KindChange      = byte(1) // of the view, by planners
	KindReport      = byte(2) // what a forwarder heard of hosts
	KindViewRequest = byte(3) // a whole view, by forwarders
)

// Refusals, in a greeting's place for them.
const (
	RefusalNone     = byte(0)
	RefusalVersion  = byte(1)
	RefusalCapacity = byte(2)
)

var (
	ErrMalformed      = errors.New("not the link's form")
	ErrAuthentication = errors.New("the MAC is wrong: another key, or a changed message")
	ErrTooLong        = errors.New("longer than is taken")
	ErrKeySize        = errors.New("a key has 32 bytes, written as 64 hexadecimal digits")
)

// Greeting opens a connection.
type Greeting struct {
	Version     byte
	Refusal     byte
	Incarnation uint64 // of the process, new with each start
	Nonce       [nonceBytes]byte
	Name        string // at most 64 bytes
}

// AppendGreeting appends a greeting with its MAC under the shared key.
func AppendGreeting(b []byte, g Greeting, key *[32]byte) []byte {
	at := len(b)
	b = append(append(b, magic...), g.Version, g.Refusal)
	b = binary.BigEndian.AppendUint64(b, g.Incarnation)
	b = append(b, g.Nonce[:]...)
	name := g.Name[:min(len(g.Name), maxNameBytes)]
	b = append(append(b, byte(len(name))), name...)
	return append(b, mac(key, b[at:])...)
}

// ParseGreeting cuts a greeting off b. n is 0 while it is not whole. Of another
// version only that is known; of the right one, the MAC holds.
func ParseGreeting(b []byte, key *[32]byte) (g Greeting, n int, err error) {
	if k := min(len(b), len(magic)); !bytes.Equal(b[:k], []byte(magic)[:k]) {
		return g, 0, ErrMalformed
	}
	if len(b) < greetingFixedBytes {
		return g, 0, nil
	}
	g.Version, g.Refusal = b[4], b[5]
	if g.Version != ProtocolVersion {
		return g, greetingFixedBytes, fmt.Errorf("the other side speaks version %d of the link, this one version %d", g.Version, ProtocolVersion)
	}
	g.Incarnation = binary.BigEndian.Uint64(b[6:])
	copy(g.Nonce[:], b[14:])
	size := int(b[greetingFixedBytes-1])
	if size > maxNameBytes {
		return g, 0, ErrTooLong
	}
	if n = greetingFixedBytes + size + macBytes; len(b) < n {
		return g, 0, nil
	}
	g.Name = string(b[greetingFixedBytes : greetingFixedBytes+size])
	if subtle.ConstantTimeCompare(mac(key, b[:n-macBytes]), b[n-macBytes:n]) != 1 {
		return g, 0, ErrAuthentication
	}
	return g, n, nil
}

// RefusalError is the reason that a greeting gives for ending the connection, if any.
func (g Greeting) RefusalError() error {
	switch g.Refusal {
	case RefusalNone:
		return nil
	case RefusalVersion:
		return fmt.Errorf("refused: version %d of the link is not spoken there", ProtocolVersion)
	case RefusalCapacity:
		return errors.New("refused: as many forwarders as it takes are there")
	}
	return fmt.Errorf("refused for a reason not known here: %d", g.Refusal)
}

func mac(key *[32]byte, parts ...[]byte) []byte {
	h, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(err) // the size is in its type
	}
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)[:macBytes]
}

// Session seals what one side sends, and opens what the other does.
type Session struct {
	sendKey, receiveKey        [32]byte
	sentFrames, receivedFrames uint64
}

// NewSession derives a connection's keys; forwarder says which side this is.
func NewSession(key *[32]byte, forwarder, planner [nonceBytes]byte, isForwarder bool) *Session {
	var s Session
	up := append(append(append([]byte{}, key[:]...), forwarder[:]...), planner[:]...)
	blake3.DeriveKey("ferrypitch link 1 forwarder to planner", up, s.sendKey[:])
	blake3.DeriveKey("ferrypitch link 1 planner to forwarder", up, s.receiveKey[:])
	if !isForwarder {
		s.sendKey, s.receiveKey = s.receiveKey, s.sendKey
	}
	return &s
}

// Seal appends a frame: its length, kind, body and MAC.
func (s *Session) Seal(b []byte, kind byte, body []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(body)+macBytes))
	b = append(append(b, kind), body...)
	number := binary.BigEndian.AppendUint64(nil, s.sentFrames)
	s.sentFrames++
	return append(b, mac(&s.sendKey, number, b[at:])...)
}

// Open cuts a frame off b. n is 0 while it is not whole; want is then how many
// bytes it has, if that much is known.
func (s *Session) Open(b []byte, most int) (kind byte, body []byte, n, want int, err error) {
	if len(b) < frameHeaderBytes {
		return 0, nil, 0, frameHeaderBytes, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size < 1+macBytes {
		return 0, nil, 0, 0, ErrMalformed
	}
	if uint64(size)+4 > uint64(most) {
		return 0, nil, 0, 0, ErrTooLong
	}
	if n = int(size) + 4; len(b) < n {
		return 0, nil, 0, n, nil
	}
	number := binary.BigEndian.AppendUint64(nil, s.receivedFrames)
	if subtle.ConstantTimeCompare(mac(&s.receiveKey, number, b[:n-macBytes]), b[n-macBytes:n]) != 1 {
		return 0, nil, 0, 0, ErrAuthentication
	}
	s.receivedFrames++
	return b[4], b[frameHeaderBytes : n-macBytes], n, n, nil
}

// Report is what a forwarder tells of the time since its last.
type Report struct {
	Every int64   `cbor:"1,keyasint,omitempty"` // the span that it covers, in tenths
	Heard []Heard `cbor:"2,keyasint,omitempty"`
}

// Heard is what answers said of a host, their count, and the sum of what parts
// of the response target they took, in thousandths. Cold is the work sent to it since its
// start at Boot, in thousandths of a command of the usual mix.
type Heard struct {
	view.Evidence
	Count uint32 `cbor:"6,keyasint,omitempty"`
	Sum   uint32 `cbor:"7,keyasint,omitempty"`
	Boot  int64  `cbor:"8,keyasint,omitempty"`
	Cold  int64  `cbor:"9,keyasint,omitempty"`
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 64, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Body is a frame's body of a message.
func Body(message any) []byte { return must(encoder.Marshal(message)) }

// ReadChange reads a planner's change and checks what it holds.
func ReadChange(body []byte) (c view.Change, err error) {
	if err := decoder.Unmarshal(body, &c); err != nil {
		return c, fmt.Errorf("a change: %w", err)
	}
	for i := range c.Hosts {
		if bad := c.Hosts[i].Validate(); bad != "" {
			return c, fmt.Errorf("a change: host %d: %s", i, bad)
		}
	}
	if c.Routers < 0 || c.Routers > 1<<20 || c.Every < 0 || c.Every > 1<<20 {
		return c, fmt.Errorf("a change: counts that can't be")
	}
	return c, nil
}

// DecodeReport reads a forwarder's report and checks what it holds.
func DecodeReport(body []byte) (r Report, err error) {
	if err := decoder.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("a report: %w", err)
	}
	for i, h := range r.Heard {
		if bad := (&view.Host{Name: h.Name, Role: h.Role}).Validate(); bad != "" {
			return r, fmt.Errorf("a report: host %d: %s", i, bad)
		}
		if h.Cold < 0 || h.Cold > 1<<40 {
			return r, fmt.Errorf("a report: host %d: work that can't be", i)
		}
	}
	return r, nil
}
