package tool

import "ferrypitch/internal/router/trace/format"

// Filter selects commands by the columns of their take event, and all events of the selected
// commands. An empty set does not restrict the selection. The schema must be set before the
// first event.
type Filter struct {
	Sessions map[string]bool
	Sets     map[int64]bool
	Groups   map[int64]bool // by number of the command group

	schema   format.Schema
	commands map[int64]bool // selected commands, by number
}

// SetSchema sets the schema of the events.
func (f *Filter) SetSchema(schema format.Schema) { f.schema, f.commands = schema, map[int64]bool{} }

// MatchesAll reports whether the filter selects every event.
func (f *Filter) MatchesAll() bool { return len(f.Sessions)+len(f.Sets)+len(f.Groups) == 0 }

// Matches reports whether an event is selected. Events that do not belong to a command always
// are, since readers require them.
func (f *Filter) Matches(event format.Event) bool {
	if f.MatchesAll() {
		return true
	}
	e := newNamedEvent(f.schema, event)
	command, ok := e.command()
	if !ok {
		return true
	}
	if e.kind.Name == "take" && f.selects(e) {
		f.commands[command] = true
	}
	return f.commands[command]
}

// selects reports whether a take event's command is selected.
func (f *Filter) selects(take namedEvent) bool {
	return isSelected(f.Sessions, take.text("session")) &&
		isSelected(f.Sets, take.number("set")) &&
		isSelected(f.Groups, take.number("group"))
}

func isSelected[K comparable](selected map[K]bool, value K) bool {
	return len(selected) == 0 || selected[value]
}
