package postgres

import (
	"fmt"
	"maps"
	"slices"
)

// Stats holds the counts that the hosts of a fleet keep themselves.
type Stats struct {
	Commands     int // commands that reached a host, without health checks
	HealthChecks int
	Writes       int
	// Rejected counts the commands that arrived while the queue was full.
	Rejected int
	// NotPrimary counts the writes that a replica rejected.
	NotPrimary int
	// AnswersByHost counts the commands answered without an error.
	AnswersByHost map[string]int

	// DuplicateWrites counts the repeated runs of commands that must run at most once.
	DuplicateWrites int
	// StaleReads counts the reads at hosts that lacked a commit that the read must see.
	StaleReads int
	// AfterDrain counts the commands that reached a draining host after DrainGrace.
	AfterDrain int
	// Overloads counts the times that a cold host received many more commands than its capacity.
	Overloads int
	// Notes describes the first violations, up to maxNotes.
	Notes []string
}

// maxNotes limits the violations that Stats describes. The counts include all violations.
const maxNotes = 20

// Violations returns the total number of violations by the clients of the fleet.
func (s Stats) Violations() int {
	return s.DuplicateWrites + s.StaleReads + s.AfterDrain + s.Overloads
}

// Stats returns a copy of the current statistics.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := f.stats
	stats.AnswersByHost = maps.Clone(stats.AnswersByHost)
	stats.Notes = slices.Clone(stats.Notes)
	return stats
}

// Executions returns the number of times that a write was run.
func (f *Fleet) Executions(commandID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[commandID]
}

// recordViolation adds the description of a violation. The caller holds the fleet's lock.
func (f *Fleet) recordViolation(format string, args ...any) {
	if len(f.stats.Notes) < maxNotes {
		f.stats.Notes = append(f.stats.Notes, fmt.Sprintf(format, args...))
	}
}
