package statemachine

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/config"
)

// ConfigDelta is what the log carries of a configuration beside Base and Amend: the result, whole in Body or as a difference to
// the configuration that it builds on. Whoever applies it never works out an amendment, so all hold the same bytes.
type ConfigDelta struct {
	RequestDigest [16]byte // digest of the order as it was sent: one that is sent again is known by it
	BaseDigest    [16]byte // of the configuration that it builds on
	ResultDigest  [16]byte // of the result
	Diff          []byte   // see jig.Diff; empty: the result is in Body
}

// snapshotMagic begins a snapshot that carries its digest; no gob stream begins so.
const snapshotMagic = "\x00rack1"

// configUpdateMarker begins a Configure in the log; no gob stream begins so.
const configUpdateMarker = 0

func digestOf(b []byte) (sum [16]byte) {
	full := blake3.Sum256(b)
	copy(sum[:], full[:])
	return sum
}

func (c *ConfigUpdate) hasDelta() bool { return c.ResultDigest != [16]byte{} }

// Delta is an order, checked here with this plan for a result, as the log is to carry it.
func (s *State) Delta(c *ConfigUpdate, plan *config.Config) *ConfigUpdate {
	p := &ConfigUpdate{BaseVersion: c.BaseVersion, IsAmendment: c.IsAmendment, Body: plan.Body, ConfigDelta: ConfigDelta{RequestDigest: c.RequestID().Digest, BaseDigest: s.configDigest, ResultDigest: digestOf(plan.Body)}}
	if s.config != nil {
		if d := config.Diff(s.config, plan); len(d) < len(plan.Body) {
			p.Body, p.Diff = nil, d
		}
	}
	return p
}

// diverged says that a change builds on the version that is here, but on other bytes.
func (s *State) diverged(c *ConfigUpdate) bool {
	return c.hasDelta() && c.BaseVersion == s.Generation && c.BaseDigest != s.configDigest
}

// applyDelta makes the result of a packed order. What fails here fails at all that hold the same state.
func (s *State) applyDelta(c *ConfigUpdate) (*config.Config, error) {
	body := c.Body
	if len(c.Diff) > 0 {
		var err error
		if body, err = config.Patch(s.ConfigBody, c.Diff); err != nil {
			return nil, err
		}
	}
	if digestOf(body) != c.ResultDigest {
		return nil, errors.New("its digest is another")
	}
	return config.ReadNext(s.config, body)
}

func (c *ConfigUpdate) encode(led int64) []byte {
	b := append(make([]byte, 0, 80+len(c.Body)+len(c.Diff)), configUpdateMarker, 1, 0)
	if c.IsAmendment {
		b[2] = 1
	}
	b = binary.AppendVarint(binary.AppendVarint(b, led), c.BaseVersion)
	for _, sum := range [][16]byte{c.RequestDigest, c.BaseDigest, c.ResultDigest} {
		b = append(b, sum[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(c.Diff)))
	return append(append(b, c.Diff...), c.Body...)
}

// decodeConfigUpdate refuses what no Configure gives.
func decodeConfigUpdate(b []byte) (c *ConfigUpdate, led int64, err error) {
	bad := fmt.Errorf("a configuration of %d bytes in the log: not whole", len(b))
	if len(b) < 3 || b[1] != 1 || b[2] > 1 {
		return nil, 0, bad
	}
	c = &ConfigUpdate{IsAmendment: b[2] == 1}
	b = b[3:]
	for _, v := range []*int64{&led, &c.BaseVersion} {
		n := 0
		if *v, n = binary.Varint(b); n <= 0 {
			return nil, 0, bad
		}
		b = b[n:]
	}
	for _, sum := range []*[16]byte{&c.RequestDigest, &c.BaseDigest, &c.ResultDigest} {
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

// resultDigest is the digest of what a change made, which unpack has checked where the change brings it.
func resultDigest(c *ConfigUpdate, plan *config.Config) [16]byte {
	if c.hasDelta() {
		return c.ResultDigest
	}
	return digestOf(plan.Body)
}
