package tool

import "ferrypitch/internal/router/trace/format"

// Filter selects commands by what their take event says, and with them all their
// events. An empty set selects everything. The schema must be set before the first
// event.
type Filter struct {
	Sessions map[string]bool
	Sets     map[int64]bool
	Groups   map[int64]bool // by number

	schema   format.Schema
	commands map[int64]bool // those selected
}

// SetSchema sets the schema of the events.
func (f *Filter) SetSchema(schema format.Schema) { f.schema, f.commands = schema, map[int64]bool{} }

// MatchesAll reports whether the filter selects every event.
func (f *Filter) MatchesAll() bool { return len(f.Sessions)+len(f.Sets)+len(f.Groups) == 0 }

// Matches reports whether an event is selected. Events that are not of a command always
// are, since readers need them.
func (f *Filter) Matches(event format.Event) bool {
	if f.MatchesAll() {
		return true
	}
	e := named(f.schema, event)
	command, ok := e.command()
	if !ok {
		return true
	}
	if e.kind.Name == "take" && f.selects(e) {
		f.commands[command] = true
	}
	return f.commands[command]
}

// selects reports whether the command of a take event is selected.
func (f *Filter) selects(take namedEvent) bool {
	return isSelected(f.Sessions, take.text("session")) &&
		isSelected(f.Sets, take.number("set")) &&
		isSelected(f.Groups, take.number("group"))
}

func isSelected[K comparable](selected map[K]bool, value K) bool {
	return len(selected) == 0 || selected[value]
}
