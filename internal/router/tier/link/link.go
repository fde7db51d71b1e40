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

// Spoken is the version that is spoken here.
const Spoken = 1

const (
	magic      = "fpln"
	macSize    = 16
	nonceSize  = 16
	headSize   = 5
	greetFixed = len(magic) + 2 + 8 + nonceSize + 1
	longName   = 64

	// GreetingMost is the longest greeting in bytes.
	GreetingMost = greetFixed + longName + macSize
	// FrameMost is the longest frame in bytes: a whole view of some 50,000 hosts.
	FrameMost = 16 << 20
	// ReportMost is the longest that a planner takes from a forwarder.
	ReportMost = 1 << 20
)

// Kinds of frames.
const (
	KindChange = byte(1) // of the view, by planners
	KindReport = byte(2) // what a forwarder heard of hosts
	KindWant   = byte(3) // a whole view, by forwarders
)

// Refusals, in a greeting's place for them.
const (
	Fine       = byte(0)
	BadVersion = byte(1)
	TooMany    = byte(2)
)

var (
	ErrForm    = errors.New("not the link's form")
	ErrKey     = errors.New("the MAC is wrong: another key, or a changed message")
	ErrLong    = errors.New("longer than is taken")
	ErrKeySize = errors.New("a key has 32 bytes, written as 64 hexadecimal digits")
)

// Greeting opens a connection.
type Greeting struct {
	Version byte
	Refusal byte
	Life    uint64 // of the process, new with each start
	Nonce   [nonceSize]byte
	Name    string // at most 64 bytes
}

// AppendGreeting appends a greeting with its MAC under the shared key.
func AppendGreeting(b []byte, g Greeting, key *[32]byte) []byte {
	at := len(b)
	b = append(append(b, magic...), g.Version, g.Refusal)
	b = binary.BigEndian.AppendUint64(b, g.Life)
	b = append(b, g.Nonce[:]...)
	name := g.Name[:min(len(g.Name), longName)]
	b = append(append(b, byte(len(name))), name...)
	return append(b, mac(key, b[at:])...)
}

// ReadGreeting cuts a greeting off b. n is 0 while it is not whole. Of another
// version only that is known; of the right one, the MAC holds.
func ReadGreeting(b []byte, key *[32]byte) (g Greeting, n int, err error) {
	if k := min(len(b), len(magic)); !bytes.Equal(b[:k], []byte(magic)[:k]) {
		return g, 0, ErrForm
	}
	if len(b) < greetFixed {
		return g, 0, nil
	}
	g.Version, g.Refusal = b[4], b[5]
	if g.Version != Spoken {
		return g, greetFixed, fmt.Errorf("the other side speaks version %d of the link, this one version %d", g.Version, Spoken)
	}
	g.Life = binary.BigEndian.Uint64(b[6:])
	copy(g.Nonce[:], b[14:])
	size := int(b[greetFixed-1])
	if size > longName {
		return g, 0, ErrLong
	}
	if n = greetFixed + size + macSize; len(b) < n {
		return g, 0, nil
	}
	g.Name = string(b[greetFixed : greetFixed+size])
	if subtle.ConstantTimeCompare(mac(key, b[:n-macSize]), b[n-macSize:n]) != 1 {
		return g, 0, ErrKey
	}
	return g, n, nil
}

// Refused is the reason that a greeting gives for ending the connection, if any.
func (g Greeting) Refused() error {
	switch g.Refusal {
	case Fine:
		return nil
	case BadVersion:
		return fmt.Errorf("refused: version %d of the link is not spoken there", Spoken)
	case TooMany:
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
	return h.Sum(nil)[:macSize]
}

// Side seals what one side sends, and opens what the other does.
type Side struct {
	out, in     [32]byte
	sent, taken uint64
}

// NewSide derives a connection's keys; forwarder says which side this is.
func NewSide(key *[32]byte, forwarder, planner [nonceSize]byte, isForwarder bool) *Side {
	var s Side
	up := append(append(append([]byte{}, key[:]...), forwarder[:]...), planner[:]...)
	blake3.DeriveKey("ferrypitch link 1 forwarder to planner", up, s.out[:])
	blake3.DeriveKey("ferrypitch link 1 planner to forwarder", up, s.in[:])
	if !isForwarder {
		s.out, s.in = s.in, s.out
	}
	return &s
}

// Seal appends a frame: its length, kind, body and MAC.
func (s *Side) Seal(b []byte, kind byte, body []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(body)+macSize))
	b = append(append(b, kind), body...)
	number := binary.BigEndian.AppendUint64(nil, s.sent)
	s.sent++
	return append(b, mac(&s.out, number, b[at:])...)
}

// Open cuts a frame off b. n is 0 while it is not whole; want is then how many
// bytes it has, if that much is known.
func (s *Side) Open(b []byte, most int) (kind byte, body []byte, n, want int, err error) {
	if len(b) < headSize {
		return 0, nil, 0, headSize, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size < 1+macSize {
		return 0, nil, 0, 0, ErrForm
	}
	if uint64(size)+4 > uint64(most) {
		return 0, nil, 0, 0, ErrLong
	}
	if n = int(size) + 4; len(b) < n {
		return 0, nil, 0, n, nil
	}
	number := binary.BigEndian.AppendUint64(nil, s.taken)
	if subtle.ConstantTimeCompare(mac(&s.in, number, b[:n-macSize]), b[n-macSize:n]) != 1 {
		return 0, nil, 0, 0, ErrKey
	}
	s.taken++
	return b[4], b[headSize : n-macSize], n, n, nil
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
		if bad := c.Hosts[i].Bad(); bad != "" {
			return c, fmt.Errorf("a change: host %d: %s", i, bad)
		}
	}
	if c.Routers < 0 || c.Routers > 1<<20 || c.Every < 0 || c.Every > 1<<20 {
		return c, fmt.Errorf("a change: counts that can't be")
	}
	return c, nil
}

// ReadReport reads a forwarder's report and checks what it holds.
func ReadReport(body []byte) (r Report, err error) {
	if err := decoder.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("a report: %w", err)
	}
	for i, h := range r.Heard {
		if bad := (&view.Host{Name: h.Name, Role: h.Role}).Bad(); bad != "" {
			return r, fmt.Errorf("a report: host %d: %s", i, bad)
		}
		if h.Cold < 0 || h.Cold > 1<<40 {
			return r, fmt.Errorf("a report: host %d: work that can't be", i)
		}
	}
	return r, nil
}
