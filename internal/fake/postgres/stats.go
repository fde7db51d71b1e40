package postgres

import (
	"fmt"
	"maps"
	"slices"
)

// Stats counts what the hosts of a fleet did, by their own record.
type Stats struct {
	Commands     int // that reached a host, health checks aside
	HealthChecks int
	Writes       int
	// Rejected counts the commands that met a full queue.
	Rejected int
	// NotPrimary counts the writes that reached a replica.
	NotPrimary int
	// AnswersByHost counts the commands answered without an error.
	AnswersByHost map[string]int

	// DuplicateWrites counts the further runs of commands that must run at most once.
	DuplicateWrites int
	// StaleReads counts the reads that missed what they must see.
	StaleReads int
	// AfterDrain counts the commands that reached a draining host after the grace period.
	AfterDrain int
	// Overloads counts how often a cold host was sent much more than it can do.
	Overloads int
	// Notes describes the first violations.
	Notes []string
}

// maxNotes is how many violations Stats describes; the counts cover all.
const maxNotes = 20

// Violations returns how often the clients of the fleet broke a rule.
func (s Stats) Violations() int {
	return s.DuplicateWrites + s.StaleReads + s.AfterDrain + s.Overloads
}

// Stats returns a copy of the statistics so far.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := f.stats
	stats.AnswersByHost = maps.Clone(stats.AnswersByHost)
	stats.Notes = slices.Clone(stats.Notes)
	return stats
}

// Executions returns how often a write had its effect.
func (f *Fleet) Executions(commandID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[commandID]
}

// note describes a violation; the fleet is locked.
func (f *Fleet) note(format string, args ...any) {
	if len(f.stats.Notes) < maxNotes {
		f.stats.Notes = append(f.stats.Notes, fmt.Sprintf(format, args...))
	}
}
