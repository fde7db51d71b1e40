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
	// snapshotMagic begins a snapshot that carries a digest. Older snapshots have neither; no gob stream begins so.
	snapshotMagic = "\x00rack1"
	digestBytes   = 16
)

// digestOf is the first half of a BLAKE3 digest.
func digestOf(body []byte) (digest [digestBytes]byte) {
	full := blake3.Sum256(body)
	copy(digest[:], full[:])
	return digest
}

// Snapshot returns the state as bytes: the magic, a digest, and the stored form in gob. Maps are stored sorted, so equal
// states give equal bytes.
func (s *State) Snapshot() []byte {
	const headerBytes = len(snapshotMagic) + digestBytes
	var content bytes.Buffer
	content.Write(make([]byte, headerBytes))
	if err := gob.NewEncoder(&content).Encode(stateToStored(s)); err != nil {
		panic(err) // gob refuses types, and this one is fixed
	}
	digest := digestOf(content.Bytes()[headerBytes:])
	copy(content.Bytes(), snapshotMagic)
	copy(content.Bytes()[len(snapshotMagic):], digest[:])
	return content.Bytes()
}

// Restore reads what Snapshot wrote, also in older releases; no bytes are the zero State. Errors are ErrBadSnapshot.
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

// verifySnapshot checks the digest of a snapshot that has one, and returns what is behind it.
func verifySnapshot(snapshot []byte) ([]byte, error) {
	rest, hasDigest := bytes.CutPrefix(snapshot, []byte(snapshotMagic))
	if !hasDigest {
		return snapshot, nil
	}
	if len(rest) < digestBytes || digestOf(rest[digestBytes:]) != [digestBytes]byte(rest[:digestBytes]) {
		return nil, errDigest
	}
	return rest[digestBytes:], nil
}

// Checksum is the same for equal states. It encodes the whole state, and is meant for tests.
func (s *State) Checksum() uint32 { return crc32.ChecksumIEEE(s.Snapshot()) }
