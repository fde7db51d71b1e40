package failover

import (
	"ferrypitch/internal/wire"
)

// acknowledgedWrites is a lower bound of the writes that a revoked primary acknowledged, as reported by the proxies. Its failover
// may promote only a host that has reached the position: if none of the known hosts has, a replica that sent no heartbeat yet, or
// only the old primary, has the rest.
type acknowledgedWrites struct {
	revocationIndex uint64 // log index of the revocation, which identifies the failover
	position        wire.Position
}

// Acknowledged records a proxy's report that a service's primary, revoked by the change at revocationIndex, acknowledged a write
// at position or later. Reports about earlier revocations are ignored.
func (c *Coordinator) Acknowledged(serviceName string, revocationIndex uint64, position wire.Position) {
	known := &c.service(serviceName).acknowledged
	switch {
	case revocationIndex > known.revocationIndex:
		*known = acknowledgedWrites{revocationIndex, position}
	case revocationIndex == known.revocationIndex && known.position.Before(position):
		known.position = position
	default:
		return
	}
	c.schedule.wake(serviceName)
}

// hasAcknowledgedWrites reports whether a candidate has reached the position that the proxies reported as acknowledged. If not, it
// records the position for the status.
func (e *evaluation) hasAcknowledgedWrites(chosen candidate) bool {
	service := e.service
	service.awaitedPosition = wire.Position{}
	if service.acknowledged.revocationIndex != e.primary.ChangedIndex {
		return true
	}
	position := service.acknowledged.position
	position.Timeline = min(position.Timeline, e.primary.Term) // as in moreAdvanced
	if !chosen.position.Before(position) {
		return true
	}
	service.awaitedPosition = position
	if !service.positionAwaited {
		service.positionAwaited = true
		e.emit(AcknowledgedWritesAwaited, chosen.host)
	}
	return false
}
