package format

import (
	"errors"
	"fmt"
)

// Limits of a schema.
const (
	maxKinds     = 256
	maxColumns   = 256
	maxNameBytes = 64
)

// Privacy classifies the personal data that a column may contain. It determines how
// anonymization treats the column.
type Privacy uint8

// Values of Privacy, which are stored in files.
const (
	Plain    Privacy = iota + 1 // no personal data; kept
	Identity                    // identifies a user, session, command or key; replaced by a pseudonym
	Topology                    // identifies a host, router or address; replaced by a pseudonym
	FreeText                    // may contain anything; removed
)

// Type is the data type of a column.
type Type uint8

// Values of Type, which are stored in files.
const (
	Int  Type = iota + 1 // signed 64-bit integer
	Text                 // UTF-8
)

// Column describes one field of a kind of event.
type Column struct {
	Name    string  `cbor:"1,keyasint"`
	Type    Type    `cbor:"2,keyasint"`
	Privacy Privacy `cbor:"3,keyasint"`
}

// Kind describes one kind of event. Events also have a time, which is not a column.
type Kind struct {
	Name    string   `cbor:"1,keyasint"`
	Columns []Column `cbor:"2,keyasint"`
}

// Schema describes the kinds of events in a file. Events refer to a kind by its index.
type Schema []Kind

// Find returns the index of the kind with a name, or -1.
func (s Schema) Find(name string) int {
	for i, kind := range s {
		if kind.Name == name {
			return i
		}
	}
	return -1
}

// Find returns the index of a column among the kind's columns of a type, or -1. The index
// is that of the column's value in Event.Ints or Event.Texts.
func (k Kind) Find(name string, columnType Type) int {
	index := 0
	for _, column := range k.Columns {
		if column.Type != columnType {
			continue
		}
		if column.Name == name {
			return index
		}
		index++
	}
	return -1
}

// Count returns the number of the kind's columns of a type.
func (k Kind) Count(columnType Type) int {
	count := 0
	for _, column := range k.Columns {
		if column.Type == columnType {
			count++
		}
	}
	return count
}

// Validate checks a schema before it is written or after it was read. Every column must
// have a Privacy, for instance.
func (s Schema) Validate() error {
	if len(s) == 0 || len(s) > maxKinds {
		return errors.New("schema has no kinds or too many")
	}
	for _, kind := range s {
		if err := kind.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (k Kind) validate() error {
	if k.Name == "" || len(k.Name) > maxNameBytes || len(k.Columns) > maxColumns {
		return fmt.Errorf("kind %q: invalid length of the name, or too many columns", k.Name)
	}
	for _, column := range k.Columns {
		if err := column.validate(); err != nil {
			return fmt.Errorf("kind %q: column %q: %w", k.Name, column.Name, err)
		}
	}
	return nil
}

func (c Column) validate() error {
	switch {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return errors.New("name is empty or too long")
	case c.Type != Int && c.Type != Text:
		return fmt.Errorf("unknown type %d", c.Type)
	case c.Privacy < Plain || c.Privacy > FreeText:
		return fmt.Errorf("unknown privacy class %d", c.Privacy)
	case c.Type == Int && c.Privacy != Plain:
		return errors.New("integer columns must be of privacy class Plain")
	}
	return nil
}

// Header describes a file. It is stored at the beginning of the file.
type Header struct {
	Router          string            `cbor:"1,keyasint"`           // name of the router; anonymized as Topology
	Incarnation     uint64            `cbor:"2,keyasint"`           // incarnation of the process, which differs for each start
	StartedAt       int64             `cbor:"3,keyasint"`           // start of the trace, in tenths of a millisecond; no event is earlier
	Build           string            `cbor:"4,keyasint,omitempty"` // build of the program that recorded the trace
	SampledPerMille uint32            `cbor:"5,keyasint,omitempty"` // recorded fraction of the sessions, in thousandths; 1000 means all
	Schema          Schema            `cbor:"6,keyasint"`
	Extra           map[string][]byte `cbor:"7,keyasint,omitempty"` // additional encoded values by name, for instance the deployment that a replay requires
	KeyID           []byte            `cbor:"8,keyasint,omitempty"` // first bytes of a hash of the pseudonymization key, to distinguish keys
}

// Event is one event. Ints and Texts are the values of the kind's columns of each type, in
// the order of the schema.
type Event struct {
	At    int64 // Unix time on the router's clock, in tenths of a millisecond
	Kind  int   // index in the schema
	Ints  []int64
	Texts []string
}
