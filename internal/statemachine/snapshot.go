package statemachine

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"hash/crc32"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/config"
	"ferrypitch/internal/statemachine/diskformat"
)

const (
	// snapshotMagic begins a snapshot that carries a digest. Older snapshots have neither the magic nor a digest; no gob stream
	// begins with these bytes.
	snapshotMagic = "\x00rack1"
	digestBytes   = 16
)

// digestOf returns the first half of the BLAKE3 digest of a body.
func digestOf(body []byte) (digest [digestBytes]byte) {
	full := blake3.Sum256(body)
	copy(digest[:], full[:])
	return digest
}

// Snapshot encodes the state: the magic, a digest, and the stored form in gob. Maps are stored as sorted lists, so equal states
// have equal snapshots.
func (s *State) Snapshot() []byte {
	const headerBytes = len(snapshotMagic) + digestBytes
	var content bytes.Buffer
	content.Write(make([]byte, headerBytes))
	if err := gob.NewEncoder(&content).Encode(stateToStored(s)); err != nil {
		panic(err) // gob fails only on unsupported types, and this type is fixed
	}
	digest := digestOf(content.Bytes()[headerBytes:])
	copy(content.Bytes(), snapshotMagic)
	copy(content.Bytes()[len(snapshotMagic):], digest[:])
	return content.Bytes()
}

// Restore decodes the output of Snapshot, including that of older releases. An empty snapshot is the zero State. All errors wrap
// ErrBadSnapshot.
func Restore(snapshot []byte) (*State, error) {
	if len(snapshot) == 0 {
		return &State{}, nil
	}
	state, err := restore(snapshot)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	return state, nil
}

func restore(snapshot []byte) (*State, error) {
	body, err := verifySnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	var stored diskformat.State
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&stored); err != nil {
		return nil, err
	}
	state, err := stateFromStored(stored)
	if err != nil || len(state.ConfigBody) == 0 {
		return state, err
	}
	if state.config, err = config.Read(state.ConfigBody); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	state.configDigest = digestOf(state.ConfigBody)
	return state, nil
}

// verifySnapshot verifies the digest of a snapshot, if it has one, and returns the content that follows.
func verifySnapshot(snapshot []byte) ([]byte, error) {
	rest, hasDigest := bytes.CutPrefix(snapshot, []byte(snapshotMagic))
	if !hasDigest {
		return snapshot, nil
	}
	if len(rest) < digestBytes || digestOf(rest[digestBytes:]) != [digestBytes]byte(rest[:digestBytes]) {
		return nil, errDigestMismatch
	}
	return rest[digestBytes:], nil
}

// Checksum returns a checksum of the state, which is the same for equal states. It encodes the whole state, and is meant for
// tests.
func (s *State) Checksum() uint32 { return crc32.ChecksumIEEE(s.Snapshot()) }
