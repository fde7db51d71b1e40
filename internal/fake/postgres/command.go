package postgres

import (
	"math"
	"time"

	"ferrypitch/internal/router/protocol"
)

// boundTolerance is added to a staleness bound to allow for the network delay of a command.
const boundTolerance = 50 * time.Millisecond

// Statements that the router sends as health checks.
const (
	healthCheckQuery = "SELECT 1"
	loadQuery        = "SHOW server_load"
)

// arrival is a command with the time of its arrival at a host.
type arrival struct {
	protocol.Command
	at time.Time
}

// answer runs one statement and returns the encoded answer. If it returns false, the connection is closed without an answer. The
// caller must not hold the fleet's lock.
func (h *Host) answer(statement string) (response []byte, ok bool) {
	fleet := h.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	now := time.Now()
	if statement == healthCheckQuery || statement == loadQuery {
		fleet.stats.HealthChecks++
		return h.row("1", h.appliedUntil(now)), true
	}
	command, err := protocol.ParseCommand([]byte(statement))
	if err != nil {
		return h.reject(protocolViolation, now), true
	}
	cmd := &arrival{command, now}
	fleet.stats.Commands++
	h.checkDrain(cmd)
	if !h.admit(now) {
		fleet.stats.Rejected++
		return h.reject(protocol.TooManyConnections, now), true
	}
	if !h.occupySlot(cmd.IsWrite) {
		return nil, false
	}
	if cmd.IsWrite {
		return h.write(cmd), true
	}
	return h.read(cmd), true
}

func (h *Host) checkDrain(cmd *arrival) {
	fleet := h.fleet
	if !h.drainedAt.IsZero() && cmd.at.After(h.drainedAt.Add(fleet.config.DrainGrace)) {
		fleet.stats.AfterDrain++
		fleet.recordViolation("%s: %s arrived %v after the notice of the drain", h.Name, cmd.ID, cmd.at.Sub(h.drainedAt))
	}
}

// write commits a write if the host is the primary, and rejects it otherwise.
func (h *Host) write(cmd *arrival) []byte {
	fleet, set, now := h.fleet, h.replicaSet(), time.Now()
	if !h.isPrimary() {
		fleet.stats.NotPrimary++
		return h.reject(protocol.ReadOnlyTransaction, now)
	}
	fleet.stats.Writes++
	fleet.executions[cmd.ID]++
	if runs := fleet.executions[cmd.ID]; runs > 1 && fleet.config.AtMostOnce[cmd.Group] {
		fleet.stats.DuplicateWrites++
		fleet.recordViolation("%s: %s ran %d times", h.Name, cmd.ID, runs)
	}
	commit := now
	if !commit.After(set.lastCommit) {
		commit = set.lastCommit.Add(time.Microsecond)
	}
	set.lastCommit = commit
	fleet.stats.AnswersByHost[h.Name]++
	return h.row(h.Name+" "+cmd.ID+" "+formatPosition(commit), commit)
}

// read runs a read, and checks that the host has the position that the read must see.
func (h *Host) read(cmd *arrival) []byte {
	fleet := h.fleet
	applied := h.appliedUntil(time.Now())
	required := time.UnixMicro(int64(math.Ceil(cmd.WrittenAtMs * 1000)))
	if bound, bounded := fleet.config.StalenessBounds[cmd.Group]; bounded {
		required = cmd.at.Add(-bound - boundTolerance)
	}
	if !h.isPrimary() && applied.Before(required) {
		fleet.stats.StaleReads++
		fleet.recordViolation("%s: %s read a state that is %v too old", h.Name, cmd.ID, required.Sub(applied))
	}
	fleet.stats.AnswersByHost[h.Name]++
	return h.row(h.Name+" "+cmd.ID, applied)
}
