package link

import (
	"bytes"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
)

const greetingMagic = "fpln"

// Offsets of a greeting's fields. The name follows its length, and the MAC the name.
const (
	versionOffset      = len(greetingMagic)
	refusalOffset      = versionOffset + 1
	incarnationOffset  = refusalOffset + 1
	nonceOffset        = incarnationOffset + 8
	nameLengthOffset   = nonceOffset + nonceBytes
	greetingFixedBytes = nameLengthOffset + 1
)

// Refusal is why a planner rejects a forwarder.
type Refusal byte

// Values of Refusal. RefusalNone accepts the forwarder.
const (
	RefusalNone     Refusal = 0
	RefusalVersion  Refusal = 1 // the planner speaks another version
	RefusalCapacity Refusal = 2 // the planner has as many forwarders as it accepts
)

// Greeting is the first message in each direction.
type Greeting struct {
	Version     byte
	Refusal     Refusal // set by planners alone
	Incarnation uint64  // of the process; each start has another
	Nonce       [nonceBytes]byte
	Name        string // of the process; at most 64 bytes, AppendGreeting cuts what is over
}

// AppendGreeting appends a greeting with its MAC under the shared key.
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

// ParseGreeting parses the greeting at the beginning of what was received. size is
// its length, or 0 while it is incomplete. Of a greeting of another version, which
// is an error, only Version and Refusal are set.
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
		return greeting, greetingFixedBytes, fmt.Errorf("the other side speaks version %d of the link, this one version %d",
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

// RefusalError returns why the greeting rejects the forwarder, or nil if it does not.
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
