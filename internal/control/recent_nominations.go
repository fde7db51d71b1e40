package control

import (
	"maps"

	"ferrypitch/internal/statemachine"
)

// recentNominations records which hosts the log named as nominees and when that ended, so that a member that becomes leader knows
// for which hosts earlier leaders may have requested a promotion. It is this member's own memory of the changes it applied.
type recentNominations struct {
	nominee map[string]string           // by service: the present nominee
	endedAt map[string]map[string]int64 // by service and host: when the host's last nomination ended
}

func newRecentNominations() recentNominations {
	return recentNominations{nominee: map[string]string{}, endedAt: map[string]map[string]int64{}}
}

// nominationRetentionMs is how long an ended nomination is remembered, in milliseconds. It exceeds the time within which a promotion
// may still be carried out.
const nominationRetentionMs = 60_000

// applied records an applied change that nominates a host or appoints a primary.
func (r *recentNominations) applied(change *statemachine.Change, nowMs int64) {
	switch {
	case change.NominatePrimary != nil:
		r.nominate(change.NominatePrimary.Service, change.NominatePrimary.Host, nowMs)
	case change.AppointPrimary != nil:
		r.nominate(change.AppointPrimary.Service, "", nowMs)
	}
}

// nominate records the nominee of a service; an empty host ends a nomination.
func (r *recentNominations) nominate(service, host string, nowMs int64) {
	previous := r.nominee[service]
	if previous != "" && previous != host {
		if r.endedAt[service] == nil {
			r.endedAt[service] = map[string]int64{}
		}
		maps.DeleteFunc(r.endedAt[service], func(_ string, endedAt int64) bool { return nowMs > endedAt+nominationRetentionMs })
		r.endedAt[service][previous] = nowMs
	}
	r.nominee[service] = host
}

// recordUncertainPromotions tells a new coordinator of the promotions that earlier leaders may have requested until now: of the
// present nominees and of recent ones.
func (s *Server) recordUncertainPromotions(nowMs int64) {
	for service, primary := range s.state.Primaries {
		if primary.Nominee != "" {
			s.coordinator.RecordUncertainPromotion(service, primary.Nominee, nowMs)
		}
	}
	for service, endedAt := range s.nominations.endedAt {
		for host, endedAtMs := range endedAt {
			s.coordinator.RecordUncertainPromotion(service, host, endedAtMs)
		}
	}
}
