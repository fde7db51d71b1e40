package failover

import (
	"slices"

	"ferrypitch/internal/statemachine"
)

// Transition is the progress of a service's failover or switchover.
type Transition struct {
	From, Nominee      string   // the old primary, and the host nominated to replace it; Nominee is empty if there is none yet
	ElapsedMs          int64    // since this member started it; 0: not started by this member
	PromotionRequested string   // the host whose promotion was requested from the platform; empty: none
	WaitingFor         []string // hosts whose positions or logs are needed before a host can be chosen
	AwaitedPosition    string   // acknowledged position that no known host has reached; empty if there is none
	Planned            bool     // true for a switchover, during which the old primary still serves
}

// Transitions returns the failovers and switchovers in progress, by service.
func (c *Coordinator) Transitions(state *statemachine.State, nowMs int64) map[string]Transition {
	all := map[string]Transition{}
	for name, primary := range state.Primaries {
		service := c.services[name]
		if service == nil || !primary.Revoked && primary.Nominee == "" {
			continue
		}
		transition := Transition{
			From:               primary.Host,
			Nominee:            primary.Nominee,
			PromotionRequested: service.promotedHost,
			WaitingFor:         slices.Clone(service.awaitedHosts),
			Planned:            !primary.Revoked,
		}
		if service.awaitedPosition.Known() {
			transition.AwaitedPosition = service.awaitedPosition.String()
		}
		if service.startedAt > 0 {
			transition.ElapsedMs = nowMs - service.startedAt
		}
		all[name] = transition
	}
	return all
}
