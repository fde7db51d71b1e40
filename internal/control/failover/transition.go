package failover

import (
	"slices"

	"ferrypitch/internal/statemachine"
)

// Transition is the state of a service's failover or switchover.
type Transition struct {
	From, Nominee      string
	ElapsedMs          int64    // since this member began to carry it out; 0: it has not
	PromotionRequested string   // the host that the platform was asked to promote; empty: none
	WaitingFor         []string // hosts whose positions or logs are needed before one can be chosen
	Planned            bool     // a switchover: the old primary serves meanwhile
}

// Transitions returns the failovers and switchovers that run, by service.
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
		if service.startedAt > 0 {
			transition.ElapsedMs = nowMs - service.startedAt
		}
		all[name] = transition
	}
	return all
}
