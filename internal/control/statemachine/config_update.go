package statemachine

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/config"
)

// Packed is what the log carries of a configuration beside Base and Amend: the result, whole in Body or as a difference to
// the configuration that it builds on. Whoever applies it never works out an amendment, so all hold the same bytes.
type Packed struct {
	Sent  [16]byte // digest of the order as it was sent: one that is sent again is known by it
	Was   [16]byte // of the configuration that it builds on
	Whole [16]byte // of the result
	Diff  []byte   // see jig.Diff; empty: the result is in Body
}

// marked begins a snapshot that carries its digest; no gob stream begins so.
const marked = "\x00rack1"

// packed begins a Configure in the log; no gob stream begins so.
const packed = 0

func digestOf(b []byte) (sum [16]byte) {
	whole := blake3.Sum256(b)
	copy(sum[:], whole[:])
	return sum
}

func (c *Configure) isPacked() bool { return c.Whole != [16]byte{} }

// Pack is an order, checked here with this plan for a result, as the log is to carry it.
func (s *State) Pack(c *Configure, plan *config.Plan) *Configure {
	p := &Configure{Base: c.Base, Amend: c.Amend, Body: plan.Body, Packed: Packed{Sent: c.Identity().Sum, Was: s.sum, Whole: digestOf(plan.Body)}}
	if s.plan != nil {
		if d := config.Diff(s.plan, plan); len(d) < len(plan.Body) {
			p.Body, p.Diff = nil, d
		}
	}
	return p
}

// diverged says that a change builds on the version that is here, but on other bytes.
func (s *State) diverged(c *Configure) bool {
	return c.isPacked() && c.Base == s.Gen && c.Was != s.sum
}

// unpack makes the result of a packed order. What fails here fails at all that hold the same state.
func (s *State) unpack(c *Configure) (*config.Plan, error) {
	body := c.Body
	if len(c.Diff) > 0 {
		var err error
		if body, err = config.Patch(s.Config, c.Diff); err != nil {
			return nil, err
		}
	}
	if digestOf(body) != c.Whole {
		return nil, errors.New("its digest is another")
	}
	return config.Next(s.plan, body)
}

func (c *Configure) encode(led int64) []byte {
	b := append(make([]byte, 0, 80+len(c.Body)+len(c.Diff)), packed, 1, 0)
	if c.Amend {
		b[2] = 1
	}
	b = binary.AppendVarint(binary.AppendVarint(b, led), c.Base)
	for _, sum := range [][16]byte{c.Sent, c.Was, c.Whole} {
		b = append(b, sum[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(c.Diff)))
	return append(append(b, c.Diff...), c.Body...)
}

// decodeConfigure refuses what no Configure gives.
func decodeConfigure(b []byte) (c *Configure, led int64, err error) {
	bad := fmt.Errorf("a configuration of %d bytes in the log: not whole", len(b))
	if len(b) < 3 || b[1] != 1 || b[2] > 1 {
		return nil, 0, bad
	}
	c = &Configure{Amend: b[2] == 1}
	b = b[3:]
	for _, v := range []*int64{&led, &c.Base} {
		n := 0
		if *v, n = binary.Varint(b); n <= 0 {
			return nil, 0, bad
		}
		b = b[n:]
	}
	for _, sum := range []*[16]byte{&c.Sent, &c.Was, &c.Whole} {
		if len(b) < 16 {
			return nil, 0, bad
		}
		*sum, b = [16]byte(b[:16]), b[16:]
	}
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return nil, 0, bad
	}
	b = b[n:]
	if size > 0 {
		c.Diff = b[:size:size]
	}
	if rest := b[size:]; len(rest) > 0 {
		c.Body = rest
	}
	return c, led, nil
}

// whole is the digest of what a change made, which unpack has checked where the change brings it.
func whole(c *Configure, plan *config.Plan) [16]byte {
	if c.isPacked() {
		return c.Whole
	}
	return digestOf(plan.Body)
}
