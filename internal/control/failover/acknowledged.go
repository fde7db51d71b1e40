package failover

import (
	"ferrypitch/internal/wire"
)

// AcknowledgedWrites bounds the position of the last write that a revoked primary acknowledged, as reported by the proxies. Its
// failover may promote only a host that has reached it: if none of the known hosts has, a replica that sent no heartbeat yet, or
// only the old primary, has the rest.
type AcknowledgedWrites struct {
	// AtLeast is a lower bound. A host that has not reached it lacks acknowledged writes.
	AtLeast wire.Position
	// AtMost is an upper bound of the writes that no known replica has confirmed to a proxy; zero if there are none. A host that has
	// not reached it may lack acknowledged writes.
	AtMost wire.Position
}

// acknowledgedWrites are the bounds of the writes that the primary acknowledged which was revoked at a log index.
type acknowledgedWrites struct {
	AcknowledgedWrites
	revocationIndex uint64 // identifies the failover
}

// Acknowledged records a proxy's report about the writes that a service's primary, revoked by the change at revocationIndex,
// acknowledged. Reports about earlier revocations are ignored.
func (c *Coordinator) Acknowledged(serviceName string, revocationIndex uint64, reported AcknowledgedWrites) {
	known := &c.service(serviceName).acknowledged
	if revocationIndex < known.revocationIndex {
		return
	}
	if revocationIndex > known.revocationIndex {
		*known = acknowledgedWrites{revocationIndex: revocationIndex}
	}
	known.AtLeast = later(known.AtLeast, reported.AtLeast)
	known.AtMost = later(known.AtMost, reported.AtMost)
	c.schedule.wake(serviceName)
}

func later(a, b wire.Position) wire.Position {
	if a.Before(b) {
		return b
	}
	return a
}

// hasAcknowledgedWrites reports whether a candidate has every write that the proxies reported as acknowledged. If not, it records
// the position that is awaited for the status. For what only an unheard replica can have, it waits no longer than the first
// heartbeat of that replica may take.
func (e *evaluation) hasAcknowledgedWrites(chosen candidate) bool {
	service := e.service
	service.awaitedPosition = wire.Position{}
	if service.acknowledged.revocationIndex != e.primary.ChangedIndex {
		return true
	}
	awaited := e.inPrimaryTerm(service.acknowledged.AtLeast)
	if e.nowMs < service.proxiesCaughtUpAt+firstHeartbeatMs {
		awaited = later(awaited, e.inPrimaryTerm(service.acknowledged.AtMost))
	}
	if !chosen.position.Before(awaited) {
		return true
	}
	service.awaitedPosition = awaited
	if !service.positionAwaited {
		service.positionAwaited = true
		e.emit(AcknowledgedWritesAwaited, chosen.host)
	}
	return false
}

// inPrimaryTerm returns a position with a term that is at most the revoked primary's: no proxy held a lease in a later term, so
// nothing was acknowledged there.
func (e *evaluation) inPrimaryTerm(position wire.Position) wire.Position {
	position.Timeline = min(position.Timeline, e.primary.Term)
	return position
}
