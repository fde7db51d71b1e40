package proxy

import (
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/wire"
)

// provesCommit reports whether a response shows that the primary has committed a write and that a replica has received it. A
// COMMIT in a failed transaction, or in one without writes, commits nothing.
func (stmt *statement) provesCommit(response *wire.Response) bool {
	committed := response.HasStamp && response.State == stateIdle && stmt.acknowledgesWrite(response)
	return committed && (!stmt.isPinned() || stmt.session.CurrentState() == stateInTransaction)
}

// recordAcknowledgement records that the write of an attempt was acknowledged. Its commit comes after every position that was known
// when it was sent, and not after end, the end of the primary's log in the response, which may include later commits that no replica
// has received. It reports whether the two differ and no known replica has confirmed end: an unknown replica may have the write alone.
func (svc *service) recordAcknowledgement(acknowledged *attempt, end wire.Position) (isUnconfirmed bool) {
	if !svc.isCurrentEpoch(acknowledged.primaryEpoch) {
		return false
	}
	known := acknowledged.primaryPosition
	commit := wire.Position{Timeline: max(known.Timeline, end.Timeline), Number: known.Number + 1}
	if known.Known() && svc.acknowledged.Before(commit) {
		svc.acknowledged = commit
	}
	isConfirmed := acknowledged.commitsExactlyAt(end) || svc.confirmations.position.Contains(end)
	if !isConfirmed && svc.unconfirmed.Before(end) {
		svc.unconfirmed = end
		return true
	}
	return false
}

// acknowledgedPositions returns the bounds of the acknowledged writes of all services whose primary is revoked. A failover may
// promote only a host that has reached them.
func (s *Server) acknowledgedPositions() (positions []rpc.AcknowledgedPosition) {
	state := s.replica.state
	if state.LatestRevocation() == 0 {
		return nil
	}
	for _, name := range state.ServiceNames() {
		svc := s.services[name]
		if svc == nil || !svc.primary.Revoked || !svc.acknowledged.Known() && !svc.unconfirmed.Known() {
			continue
		}
		positions = append(positions, rpc.AcknowledgedPosition{
			Service:           name,
			RevocationIndex:   svc.primary.ChangedIndex,
			Term:              svc.acknowledged.Timeline,
			Number:            svc.acknowledged.Number,
			UnconfirmedTerm:   svc.unconfirmed.Timeline,
			UnconfirmedNumber: svc.unconfirmed.Number,
		})
	}
	return positions
}
