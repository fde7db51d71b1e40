package link

import (
	"bytes"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
)

// greetingMagic is the prefix of every greeting.
const greetingMagic = "fpln"

// Offsets of the fields of a greeting. The name follows its length, and the MAC follows the name.
const (
	versionOffset      = len(greetingMagic)
	refusalOffset      = versionOffset + 1
	incarnationOffset  = refusalOffset + 1
	nonceOffset        = incarnationOffset + 8
	nameLengthOffset   = nonceOffset + nonceBytes
	greetingFixedBytes = nameLengthOffset + 1
)

// Refusal is the reason why a planner rejects a forwarder.
type Refusal byte

// Values of Refusal. RefusalNone accepts the forwarder.
const (
	RefusalNone     Refusal = 0
	RefusalVersion  Refusal = 1 // the planner uses another version of the protocol
	RefusalCapacity Refusal = 2 // the planner has reached its limit of forwarders
)

// Greeting is the first message in each direction. It identifies and authenticates the sender.
type Greeting struct {
	Version     byte
	Refusal     Refusal // set only by planners
	Incarnation uint64  // identifies the process; differs after each restart
	Nonce       [nonceBytes]byte
	Name        string // name of the process; AppendGreeting truncates it to 64 bytes
}

// AppendGreeting appends the encoded greeting and its MAC under the shared key.
func AppendGreeting(buffer []byte, greeting Greeting, key *[32]byte) []byte {
	start := len(buffer)
	buffer = append(buffer, greetingMagic...)
	buffer = append(buffer, greeting.Version, byte(greeting.Refusal))
	buffer = binary.BigEndian.AppendUint64(buffer, greeting.Incarnation)
	buffer = append(buffer, greeting.Nonce[:]...)
	name := greeting.Name[:min(len(greeting.Name), maxNameBytes)]
	buffer = append(buffer, byte(len(name)))
	buffer = append(buffer, name...)
	return append(buffer, mac(key, buffer[start:])...)
}

// ParseGreeting parses the greeting at the start of received. size is its length in
// bytes, or 0 if it is incomplete. A greeting of another protocol version is an
// error; only its Version and Refusal are set.
func ParseGreeting(received []byte, key *[32]byte) (greeting Greeting, size int, err error) {
	prefix := min(len(received), len(greetingMagic))
	if !bytes.Equal(received[:prefix], []byte(greetingMagic)[:prefix]) {
		return greeting, 0, ErrMalformed
	}
	if len(received) < greetingFixedBytes {
		return greeting, 0, nil
	}
	greeting.Version, greeting.Refusal = received[versionOffset], Refusal(received[refusalOffset])
	if greeting.Version != ProtocolVersion {
		return greeting, greetingFixedBytes, fmt.Errorf("peer uses protocol version %d, this process uses version %d",
			greeting.Version, ProtocolVersion)
	}
	greeting.Incarnation = binary.BigEndian.Uint64(received[incarnationOffset:])
	copy(greeting.Nonce[:], received[nonceOffset:])
	nameBytes := int(received[nameLengthOffset])
	if nameBytes > maxNameBytes {
		return greeting, 0, ErrTooLong
	}
	nameEnd := greetingFixedBytes + nameBytes
	size = nameEnd + macBytes
	if len(received) < size {
		return greeting, 0, nil
	}
	greeting.Name = string(received[greetingFixedBytes:nameEnd])
	if subtle.ConstantTimeCompare(mac(key, received[:nameEnd]), received[nameEnd:size]) != 1 {
		return greeting, 0, ErrAuthentication
	}
	return greeting, size, nil
}

// RefusalError returns an error if the greeting rejects the forwarder.
func (g Greeting) RefusalError() error {
	switch g.Refusal {
	case RefusalNone:
		return nil
	case RefusalVersion:
		return fmt.Errorf("rejected by the planner: protocol version %d is not supported", ProtocolVersion)
	case RefusalCapacity:
		return errors.New("rejected by the planner: forwarder limit reached")
	}
	return fmt.Errorf("rejected by the planner: unknown reason %d", g.Refusal)
}
