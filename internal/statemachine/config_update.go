package statemachine

import (
	"encoding/binary"
	"errors"
	"fmt"

	"ferrypitch/internal/config"
)

// ConfigDelta is what the log carries of an update of the configuration beside BaseVersion and IsAmendment: the result,
// complete in Body or as a difference to the configuration that it builds on. Whoever applies it never works out an
// amendment, so all replicas have the same bytes.
type ConfigDelta struct {
	RequestDigest [digestBytes]byte // of the update as it was sent, by which one that is sent again is known
	BaseDigest    [digestBytes]byte // of the configuration that it builds on
	ResultDigest  [digestBytes]byte // of the result
	Diff          []byte            // see config.Diff; empty: the result is in Body
}

// Errors with which a delta or a snapshot is refused.
var (
	errDigest          = errors.New("digest mismatch")
	errNothingToAmend  = errors.New("nothing to amend")
	errVarint          = errors.New("truncated number")
	errTruncatedDigest = errors.New("truncated digest")
	errTruncatedDiff   = errors.New("truncated difference")
	errUnknownForm     = errors.New("unknown form")
)

func (c *ConfigUpdate) hasDelta() bool { return c.ResultDigest != [digestBytes]byte{} }

// Delta returns the form in which the log carries an update that CheckConfig accepted, with the configuration that it
// returned.
func (s *State) Delta(update *ConfigUpdate, result *config.Config) *ConfigUpdate {
	delta := &ConfigUpdate{BaseVersion: update.BaseVersion, IsAmendment: update.IsAmendment, Body: result.Body, ConfigDelta: ConfigDelta{
		RequestDigest: update.RequestID().Digest,
		BaseDigest:    s.configDigest,
		ResultDigest:  digestOf(result.Body),
	}}
	if s.config == nil {
		return delta
	}
	if diff := config.Diff(s.config, result); len(diff) < len(result.Body) {
		delta.Body, delta.Diff = nil, diff
	}
	return delta
}

// CheckConfig tries an update of the configuration without applying it. It returns the resulting configuration; nil where
// the same update was applied before; or a *VersionConflictError or an *InvalidConfigError.
func (s *State) CheckConfig(update *ConfigUpdate) (*config.Config, error) {
	if s.wasApplied(update.RequestID()) {
		return nil, nil
	}
	if update.BaseVersion != s.Generation {
		return nil, &VersionConflictError{InForce: s.Generation, Base: update.BaseVersion}
	}
	result, err := s.resultOf(update)
	if err == nil && result.Generation <= s.Generation {
		err = fmt.Errorf("%s: %d: not above %d", fieldGeneration, result.Generation, s.Generation)
	}
	if err != nil {
		return nil, &InvalidConfigError{Base: update.BaseVersion, Cause: err}
	}
	return result, nil
}

func (s *State) resultOf(update *ConfigUpdate) (*config.Config, error) {
	switch {
	case update.hasDelta():
		return s.applyDelta(update)
	case update.IsAmendment && len(s.ConfigBody) == 0:
		return nil, errNothingToAmend
	case update.IsAmendment:
		return s.config.Amend(update.Body)
	}
	return config.ReadNext(s.config, update.Body)
}

// fieldGeneration is the field of a configuration that has its version, as errors name it.
const fieldGeneration = "Generation"

// hasDiverged reports whether an update builds on the version in force, but on other bytes.
func (s *State) hasDiverged(update *ConfigUpdate) bool {
	return update.hasDelta() && update.BaseVersion == s.Generation && update.BaseDigest != s.configDigest
}

// applyDelta makes the result of an update in the log's form. What fails here fails in every replica.
func (s *State) applyDelta(update *ConfigUpdate) (*config.Config, error) {
	body := update.Body
	if len(update.Diff) > 0 {
		var err error
		if body, err = config.Patch(s.ConfigBody, update.Diff); err != nil {
			return nil, err
		}
	}
	if digestOf(body) != update.ResultDigest {
		return nil, errDigest
	}
	return config.ReadNext(s.config, body)
}

// digestOfResult is the digest of what the update made; applyDelta has checked the one that the update brings.
func (c *ConfigUpdate) digestOfResult(result *config.Config) [digestBytes]byte {
	if c.hasDelta() {
		return c.ResultDigest
	}
	return digestOf(result.Body)
}

// The log's form of an update: the marker, the version of the form, the flag of an amendment, the leader time and the base
// version as varints, the digests of request, base and result, the length of the difference as an uvarint, the difference,
// and the body up to the end.
const (
	configUpdateMarker  = 0 // no gob stream begins so
	configUpdateVersion = 1
	configUpdateHeader  = 3  // bytes of marker, version and flag
	configUpdateExtra   = 80 // bytes that everything but difference and body usually needs; only sizes the allocation
)

func (c *ConfigUpdate) encode(leaderTimeMs int64) []byte {
	content := make([]byte, 0, configUpdateExtra+len(c.Body)+len(c.Diff))
	content = append(content, configUpdateMarker, configUpdateVersion, 0)
	if c.IsAmendment {
		content[2] = 1
	}
	content = binary.AppendVarint(content, leaderTimeMs)
	content = binary.AppendVarint(content, c.BaseVersion)
	content = append(content, c.RequestDigest[:]...)
	content = append(content, c.BaseDigest[:]...)
	content = append(content, c.ResultDigest[:]...)
	content = binary.AppendUvarint(content, uint64(len(c.Diff)))
	content = append(content, c.Diff...)
	return append(content, c.Body...)
}

// decodeConfigUpdate reads what encode writes, and refuses everything else with ErrBadChange.
func decodeConfigUpdate(content []byte) (update *ConfigUpdate, leaderTimeMs int64, err error) {
	if len(content) < configUpdateHeader || content[1] != configUpdateVersion || content[2] > 1 {
		return nil, 0, badConfigUpdate(content, errUnknownForm)
	}
	update = &ConfigUpdate{IsAmendment: content[2] == 1}
	rest := content[configUpdateHeader:]
	for _, number := range []*int64{&leaderTimeMs, &update.BaseVersion} {
		value, size := binary.Varint(rest)
		if size <= 0 || isOverlong(rest[:size]) {
			return nil, 0, badConfigUpdate(content, errVarint)
		}
		*number, rest = value, rest[size:]
	}
	for _, digest := range []*[digestBytes]byte{&update.RequestDigest, &update.BaseDigest, &update.ResultDigest} {
		if len(rest) < digestBytes {
			return nil, 0, badConfigUpdate(content, errTruncatedDigest)
		}
		*digest, rest = [digestBytes]byte(rest[:digestBytes]), rest[digestBytes:]
	}
	diffBytes, size := binary.Uvarint(rest)
	if size <= 0 || isOverlong(rest[:size]) || diffBytes > uint64(len(rest)-size) {
		return nil, 0, badConfigUpdate(content, errTruncatedDiff)
	}
	rest = rest[size:]
	if diffBytes > 0 {
		update.Diff = rest[:diffBytes:diffBytes]
	}
	if body := rest[diffBytes:]; len(body) > 0 {
		update.Body = body
	}
	return update, leaderTimeMs, nil
}

// isOverlong reports whether a varint has more bytes than its value needs, which no encoder writes.
func isOverlong(varint []byte) bool {
	return len(varint) > 1 && varint[len(varint)-1] == 0
}

func badConfigUpdate(content []byte, cause error) error {
	return fmt.Errorf("%w: update of the configuration, %d bytes: %w", ErrBadChange, len(content), cause)
}
