package statemachine

import (
	"encoding/binary"
	"errors"
	"fmt"

	"ferrypitch/internal/config"
)

// ConfigDelta holds the fields that a configuration update has only in the log. The log carries the resulting configuration,
// either complete in ConfigUpdate.Body or as a Diff against the base configuration. Replicas never evaluate an amendment, so
// all of them have the same bytes.
type ConfigDelta struct {
	RequestDigest [digestBytes]byte // of the original request; identifies a retried request
	BaseDigest    [digestBytes]byte // of the base configuration
	ResultDigest  [digestBytes]byte // of the resulting configuration
	Diff          []byte            // output of config.Diff; if empty, Body has the complete result
}

// Errors for rejected deltas and snapshots.
var (
	errDigestMismatch  = errors.New("digest mismatch")
	errNothingToAmend  = errors.New("nothing to amend")
	errTruncatedNumber = errors.New("truncated or invalid number")
	errTruncatedDigest = errors.New("truncated digest")
	errTruncatedDiff   = errors.New("truncated diff")
	errUnknownFormat   = errors.New("unknown format")
)

func (c *ConfigUpdate) hasDelta() bool { return c.ResultDigest != [digestBytes]byte{} }

// MakeDelta converts an update that CheckConfig accepted to the form stored in the log. result is the configuration that
// CheckConfig returned.
func (s *State) MakeDelta(update *ConfigUpdate, result *config.Config) *ConfigUpdate {
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

// CheckConfig validates a configuration update without applying it. It returns the resulting configuration, or nil if the same
// update was already applied. Errors are *VersionConflictError or *InvalidConfigError.
func (s *State) CheckConfig(update *ConfigUpdate) (*config.Config, error) {
	if s.wasApplied(update.RequestID()) {
		return nil, nil
	}
	if update.BaseVersion != s.Generation {
		return nil, &VersionConflictError{Current: s.Generation, Base: update.BaseVersion}
	}
	result, err := s.resolveUpdate(update)
	if err == nil && result.Generation <= s.Generation {
		err = fmt.Errorf("%s: %d: not above %d", fieldGeneration, result.Generation, s.Generation)
	}
	if err != nil {
		return nil, &InvalidConfigError{Base: update.BaseVersion, Cause: err}
	}
	return result, nil
}

func (s *State) resolveUpdate(update *ConfigUpdate) (*config.Config, error) {
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

// fieldGeneration is the name that errors give to the version field of a configuration.
const fieldGeneration = "Generation"

// hasDiverged reports whether an update is based on the current version but on a configuration with different content.
func (s *State) hasDiverged(update *ConfigUpdate) bool {
	return update.hasDelta() && update.BaseVersion == s.Generation && update.BaseDigest != s.configDigest
}

// applyDelta computes the result of an update from the log. It is deterministic: an update that fails here fails on every
// replica.
func (s *State) applyDelta(update *ConfigUpdate) (*config.Config, error) {
	body := update.Body
	if len(update.Diff) > 0 {
		var err error
		if body, err = config.Patch(s.ConfigBody, update.Diff); err != nil {
			return nil, err
		}
	}
	if digestOf(body) != update.ResultDigest {
		return nil, errDigestMismatch
	}
	return config.ReadNext(s.config, body)
}

// digestOfResult returns the digest of an update's result. applyDelta has already verified the digest that a delta carries.
func (c *ConfigUpdate) digestOfResult(result *config.Config) [digestBytes]byte {
	if c.hasDelta() {
		return c.ResultDigest
	}
	return digestOf(result.Body)
}

// Encoding of a configuration update in the log: marker, format version, amendment flag; leader time and base version as
// varints; digests of request, base and result; length of the diff as a uvarint; diff; body up to the end.
const (
	configUpdateMarker       = 0 // no gob stream begins with this byte
	configUpdateVersion      = 1
	configUpdateHeaderBytes  = 3  // bytes of marker, version and flag
	configUpdateTypicalBytes = 80 // usual size without diff and body; only a hint for the allocation
)

func (c *ConfigUpdate) encode(leaderTimeMs int64) []byte {
	content := make([]byte, 0, configUpdateTypicalBytes+len(c.Body)+len(c.Diff))
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

// decodeConfigUpdate decodes the output of encode, and rejects everything else with ErrBadChange.
func decodeConfigUpdate(content []byte) (update *ConfigUpdate, leaderTimeMs int64, err error) {
	if len(content) < configUpdateHeaderBytes || content[1] != configUpdateVersion || content[2] > 1 {
		return nil, 0, badConfigUpdate(content, errUnknownFormat)
	}
	update = &ConfigUpdate{IsAmendment: content[2] == 1}
	rest := content[configUpdateHeaderBytes:]
	for _, number := range []*int64{&leaderTimeMs, &update.BaseVersion} {
		value, size := binary.Varint(rest)
		if size <= 0 || isOverlong(rest[:size]) {
			return nil, 0, badConfigUpdate(content, errTruncatedNumber)
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

// isOverlong reports whether a varint is longer than necessary. No encoder writes such varints.
func isOverlong(varint []byte) bool {
	return len(varint) > 1 && varint[len(varint)-1] == 0
}

func badConfigUpdate(content []byte, cause error) error {
	return fmt.Errorf("%w: configuration update of %d bytes: %w", ErrBadChange, len(content), cause)
}
