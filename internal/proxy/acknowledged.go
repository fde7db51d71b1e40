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
// when it was sent; the position in the response may include later commits, which no replica has received.
func (svc *service) recordAcknowledgement(acknowledged *attempt) {
	known := acknowledged.primaryPosition
	if !known.Known() || !svc.isCurrentEpoch(acknowledged.primaryEpoch) {
		return
	}
	commit := wire.Position{Timeline: known.Timeline, Number: known.Number + 1}
	if svc.acknowledged.Before(commit) {
		svc.acknowledged = commit
	}
}

// acknowledgedPositions returns the lower bounds of the acknowledged writes of all services whose primary is revoked. A failover may
// promote only a host that has reached them.
func (s *Server) acknowledgedPositions() (positions []rpc.AcknowledgedPosition) {
	state := s.replica.state
	if state.LatestRevocation() == 0 {
		return nil
	}
	for _, name := range state.ServiceNames() {
		svc := s.services[name]
		if svc == nil || !svc.primary.Revoked || !svc.acknowledged.Known() {
			continue
		}
		positions = append(positions, rpc.AcknowledgedPosition{
			Service:         name,
			RevocationIndex: svc.primary.ChangedIndex,
			Term:            svc.acknowledged.Timeline,
			Number:          svc.acknowledged.Number,
		})
	}
	return positions
}
