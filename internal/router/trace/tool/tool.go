// Package tool is what is done with trace files: reading a span of time, selecting
// commands, anonymising, merging the files of several routers and summing up.
//
// A Source passes the events of a file to a function one after the other, and an
// Output writes a file from events. What is between the two (Filter, Anonymizer,
// Summary, Merge) handles one event at a time, so that files may be larger than
// memory.
//
// Times are tenths of a millisecond of Unix time, by the clock of the router that
// wrote the file.
package tool

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"ferrypitch/internal/router/trace/format"
)

const (
	tenthsPerMillisecond = 10
	tenthsPerSecond      = 10000
)

// Names of what a header holds beside the schema.
const (
	deploymentKey = "deployment"
	groupsKey     = "groups"
)

// namedEvent gives access to the values of an event by the names of its columns.
type namedEvent struct {
	format.Event
	kind format.Kind
}

func named(schema format.Schema, event format.Event) namedEvent {
	return namedEvent{event, schema[event.Kind]}
}

// command returns the number of the command that the event is of, if it is of one.
func (e namedEvent) command() (number int64, ok bool) {
	index := e.kind.Find("command", format.Int)
	if index < 0 {
		return 0, false
	}
	return e.Ints[index], true
}

// number returns a number, or 0 if the kind has no such column.
func (e namedEvent) number(column string) int64 {
	if index := e.kind.Find(column, format.Int); index >= 0 {
		return e.Ints[index]
	}
	return 0
}

// text returns a text, or an empty one if the kind has no such column.
func (e namedEvent) text(column string) string {
	if index := e.kind.Find(column, format.Text); index >= 0 {
		return e.Texts[index]
	}
	return ""
}

// GroupNames returns the names of command groups in a header, by number, or nil if it has none.
func GroupNames(header format.Header) []string {
	var names []string
	if cbor.Unmarshal(header.Extra[groupsKey], &names) != nil {
		return nil
	}
	return names
}

// JSONNumber returns a number of an event as JSON prints it: a size is a float64, stored by its bits.
func JSONNumber(column string, value int64) any {
	if column == "size" {
		return math.Float64frombits(uint64(value))
	}
	return value
}

// EventObject returns an event as a JSON object, by the names of its columns.
func EventObject(schema format.Schema, event format.Event) map[string]any {
	kind := schema[event.Kind]
	object := map[string]any{"at": event.At, "kind": kind.Name}
	ints, texts := event.Ints, event.Texts
	for _, column := range kind.Columns {
		if column.Type == format.Int {
			object[column.Name] = JSONNumber(column.Name, ints[0])
			ints = ints[1:]
		} else {
			object[column.Name] = texts[0]
			texts = texts[1:]
		}
	}
	return object
}
