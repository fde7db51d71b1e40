package format

import (
	"errors"
	"fmt"
)

// Limits of a schema. Names are in bytes.
const (
	maxKinds     = 256
	maxColumns   = 256
	maxNameBytes = 64
)

// Privacy says what a column may tell of people, and so what anonymising does to it.
type Privacy uint8

// Values of Privacy, which are stored in files.
const (
	Plain    Privacy = iota + 1 // tells nothing: the value is kept
	Identity                    // of a viewer, session, command or key: replaced by a pseudonym
	Topology                    // of a host, router or address: replaced by a pseudonym
	FreeText                    // dropped
)

// Type is the type of a column's values.
type Type uint8

// Values of Type, which are stored in files.
const (
	Int  Type = iota + 1 // 64 bits, signed
	Text                 // UTF-8
)

// Column describes one field of a kind of event.
type Column struct {
	Name    string  `cbor:"1,keyasint"`
	Type    Type    `cbor:"2,keyasint"`
	Privacy Privacy `cbor:"3,keyasint"`
}

// Kind describes one kind of event. Every event has a time beside its columns.
type Kind struct {
	Name    string   `cbor:"1,keyasint"`
	Columns []Column `cbor:"2,keyasint"`
}

// Schema describes all kinds of events of a file. Events refer to a kind by its index.
type Schema []Kind

// Find returns the index of a kind, or -1.
func (s Schema) Find(name string) int {
	for i, kind := range s {
		if kind.Name == name {
			return i
		}
	}
	return -1
}

// Find returns the index of a column among the columns of its type, or -1. It is
// the index of its value in Event.Ints or Event.Texts.
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

// Count returns how many columns of a type the kind has.
func (k Kind) Count(columnType Type) int {
	count := 0
	for _, column := range k.Columns {
		if column.Type == columnType {
			count++
		}
	}
	return count
}

// Validate returns what is wrong with a schema that was read or is to be written,
// for instance a column without Privacy.
func (s Schema) Validate() error {
	if len(s) == 0 || len(s) > maxKinds {
		return errors.New("a schema of no or too many kinds")
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
		return fmt.Errorf("kind %q: a name or a number of columns that can't be", k.Name)
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
		return errors.New("a name that can't be")
	case c.Type != Int && c.Type != Text:
		return fmt.Errorf("type %d is not known", c.Type)
	case c.Privacy < Plain || c.Privacy > FreeText:
		return fmt.Errorf("mark %d is not known", c.Privacy)
	case c.Type == Int && c.Privacy != Plain:
		return errors.New("numbers can't be identities")
	}
	return nil
}

// Header is the beginning of a file.
type Header struct {
	Router          string            `cbor:"1,keyasint"`           // its name, which is of Topology
	Incarnation     uint64            `cbor:"2,keyasint"`           // of the process; each start has another
	StartedAt       int64             `cbor:"3,keyasint"`           // the earliest time of an event, in tenths of a millisecond
	Build           string            `cbor:"4,keyasint,omitempty"` // of the program that wrote the file
	SampledPerMille uint32            `cbor:"5,keyasint,omitempty"` // of the sessions, in thousandths; 1000: all
	Schema          Schema            `cbor:"6,keyasint"`
	Extra           map[string][]byte `cbor:"7,keyasint,omitempty"` // by name, for instance the deployment that a replay starts with
	KeyID           []byte            `cbor:"8,keyasint,omitempty"` // a few bytes of a hash of the key of pseudonyms, to tell keys apart
}

// Event is one event. Ints and Texts are in the order of the kind's columns of
// that type.
type Event struct {
	At    int64 // Unix time by the router's clock, in tenths of a millisecond
	Kind  int   // index in the schema
	Ints  []int64
	Texts []string
}
