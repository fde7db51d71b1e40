package wire

import (
	"bytes"
	"fmt"
	"strconv"
)

// noPosition is the protocol's encoding of the zero Position.
const noPosition = "-"

// Position is a position in a host's replication log. The timeline increases with each promotion, the number with each commit that
// writes. The zero value means unknown and precedes all other positions.
type Position struct{ Timeline, Number uint64 }

// Before reports whether p precedes other: by timeline first, then by number.
func (p Position) Before(other Position) bool {
	return p.Timeline < other.Timeline || p.Timeline == other.Timeline && p.Number < other.Number
}

// Contains reports whether a log that ends at p has the commit at other. Logs that end on the same timeline are prefixes of one
// another; of a log that ends on another timeline nothing is known, however far it reaches.
func (p Position) Contains(other Position) bool {
	return p.Timeline == other.Timeline && !p.Before(other)
}

// Known reports whether p is not the zero value.
func (p Position) Known() bool { return p != Position{} }

// String returns TIMELINE.NUMBER.
func (p Position) String() string { return string(appendPosition(nil, p)) }

// ParsePosition reads TIMELINE.NUMBER, or "-" for the zero value. The error is ErrMalformed.
func ParsePosition(field []byte) (Position, error) {
	if string(field) == noPosition {
		return Position{}, nil
	}
	timelineDigits, numberDigits, found := bytes.Cut(field, []byte{'.'})
	if !found {
		return Position{}, malformedPosition(field)
	}
	timeline, err := strconv.ParseUint(string(timelineDigits), 10, 64)
	if err != nil {
		return Position{}, malformedPosition(field)
	}
	number, err := strconv.ParseUint(string(numberDigits), 10, 64)
	if err != nil {
		return Position{}, malformedPosition(field)
	}
	return Position{timeline, number}, nil
}

func malformedPosition(field []byte) error {
	return fmt.Errorf("%w: position %.40q", ErrMalformed, field)
}

func appendPosition(buffer []byte, position Position) []byte {
	buffer = strconv.AppendUint(buffer, position.Timeline, 10)
	buffer = append(buffer, '.')
	return strconv.AppendUint(buffer, position.Number, 10)
}
