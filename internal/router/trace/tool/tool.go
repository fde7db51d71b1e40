// Package tool implements operations on trace files: reading a time range, selecting
// commands, anonymization, merging the files of several routers, and summaries.
//
// A Source passes the events of a file to a function one by one, and an Output writes
// events to a file. The operations between them (Filter, Anonymizer, Summary, Merge)
// process one event at a time, so files may be larger than memory.
//
// Times are in tenths of a millisecond of Unix time, on the clock of the router that
// recorded the file.
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

// Keys of format.Header.Extra.
const (
	deploymentKey = "deployment"
	groupsKey     = "groups"
)

// namedEvent gives access to the values of an event by the names of its columns.
type namedEvent struct {
	format.Event
	kind format.Kind
}

func newNamedEvent(schema format.Schema, event format.Event) namedEvent {
	return namedEvent{event, schema[event.Kind]}
}

// command returns the number of the command that the event belongs to, if any.
func (e namedEvent) command() (number int64, ok bool) {
	index := e.kind.Find("command", format.Int)
	if index < 0 {
		return 0, false
	}
	return e.Ints[index], true
}

// number returns the value of an integer column, or 0 if the kind has no such column.
func (e namedEvent) number(column string) int64 {
	if index := e.kind.Find(column, format.Int); index >= 0 {
		return e.Ints[index]
	}
	return 0
}

// text returns the value of a text column, or an empty string if the kind has no such column.
func (e namedEvent) text(column string) string {
	if index := e.kind.Find(column, format.Text); index >= 0 {
		return e.Texts[index]
	}
	return ""
}

// GroupNames returns the names of the command groups in a header, indexed by number, or nil if there are none.
func GroupNames(header format.Header) []string {
	var names []string
	if cbor.Unmarshal(header.Extra[groupsKey], &names) != nil {
		return nil
	}
	return names
}

// JSONNumber returns the value of an integer column for JSON. Sizes are converted to float64, whose bits are stored.
func JSONNumber(column string, value int64) any {
	if column == "size" {
		return math.Float64frombits(uint64(value))
	}
	return value
}

// EventObject returns an event as a JSON object whose keys are the names of the columns, "at" and "kind".
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
