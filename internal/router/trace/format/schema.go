// Package format is the form of trace files, on bytes alone: a header that
// describes itself, blocks of columns with a checksum each, and an index at the
// end that seeking needs and reading does not. docs/design/trace-format.md says
// it for others.
//
// A Block gathers events column by column, Append writes it, Reader gives blocks
// back one after the other up to a break, and an Index finds them by time.
package format

import (
	"errors"
	"fmt"
)

// Version is of the form that is written here; a reader refuses a newer one.
const Version = 1

// Privacy says what a column may tell of people, and so what anonymising does.
type Privacy uint8

const (
	Plain    Privacy = iota + 1 // nothing: kept
	Identity                    // of a viewer, session, command or key: a pseudonym
	Topology                    // of a host, router or address: a pseudonym
	FreeText                    // free text: dropped
)

// Type is of a column's values.
type Type uint8

const (
	Int Type = iota + 1
	Text
)

// Column describes one field of a kind of event.
type Column struct {
	Name string  `cbor:"1,keyasint"`
	Type Type    `cbor:"2,keyasint"`
	Mark Privacy `cbor:"3,keyasint"`
}

// Kind describes one kind of event. Each has a moment beside its columns.
type Kind struct {
	Name    string   `cbor:"1,keyasint"`
	Columns []Column `cbor:"2,keyasint"`
}

// Schema is all kinds of a file, by number.
type Schema []Kind

// Find is a kind's number, or -1.
func (s Schema) Find(name string) int {
	for i, k := range s {
		if k.Name == name {
			return i
		}
	}
	return -1
}

// Find is a column's place among those of its type, or -1.
func (k Kind) Find(name string, t Type) int {
	at := 0
	for _, c := range k.Columns {
		if c.Type != t {
			continue
		}
		if c.Name == name {
			return at
		}
		at++
	}
	return -1
}

// Count is how many columns of a type a kind has.
func (k Kind) Count(t Type) (n int) {
	for _, c := range k.Columns {
		if c.Type == t {
			n++
		}
	}
	return n
}

// Validate says what is wrong with a schema that was read or is to be written: a column without a mark, say.
func (s Schema) Validate() error {
	if len(s) == 0 || len(s) > 256 {
		return errors.New("a schema of no or too many kinds")
	}
	for _, k := range s {
		if k.Name == "" || len(k.Name) > 64 || len(k.Columns) > 256 {
			return fmt.Errorf("kind %q: a name or a number of columns that can't be", k.Name)
		}
		for _, c := range k.Columns {
			switch {
			case c.Name == "" || len(c.Name) > 64:
				return fmt.Errorf("kind %q: column %q: a name that can't be", k.Name, c.Name)
			case c.Type != Int && c.Type != Text:
				return fmt.Errorf("kind %q: column %q: type %d is not known", k.Name, c.Name, c.Type)
			case c.Mark < Plain || c.Mark > FreeText:
				return fmt.Errorf("kind %q: column %q: mark %d is not known", k.Name, c.Name, c.Mark)
			case c.Type == Int && c.Mark != Plain:
				return fmt.Errorf("kind %q: column %q: numbers can't be identities", k.Name, c.Name)
			}
		}
	}
	return nil
}

// Header opens a file.
type Header struct {
	Router string            `cbor:"1,keyasint"`           // Place
	Life   uint64            `cbor:"2,keyasint"`           // of the process
	Began  int64             `cbor:"3,keyasint"`           // the moment of the first event it can hold, in tenths
	Build  string            `cbor:"4,keyasint,omitempty"` // of the program that wrote it
	Part   uint32            `cbor:"5,keyasint,omitempty"` // sampled sessions, in thousandths; 1000: all
	Schema Schema            `cbor:"6,keyasint"`
	More   map[string][]byte `cbor:"7,keyasint,omitempty"` // by name, such as the deployment that a replay starts with
	Key    []byte            `cbor:"8,keyasint,omitempty"` // tells pseudonyms' keys apart; nothing follows from it
}

// Event is one event, as readers give it. Ints and Texts are in the order of the
// kind's columns of each type.
type Event struct {
	At    int64 // in tenths of a millisecond, by the router's clock
	Kind  int
	Ints  []int64
	Texts []string
}
