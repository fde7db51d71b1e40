package proxy

import (
	"errors"

	"ferrypitch/internal/rpc"
)

// applyLogUpdate applies a log update to the replicated state and reconciles the proxy with it. The error says why the update does
// not fit the state; the caller must then close the link and reconnect.
func (s *Server) applyLogUpdate(update *rpc.LogUpdate) error {
	changed, err := s.replica.apply(update)
	if err != nil {
		s.recordUpdateError(err)
		return err
	}
	if changed {
		s.reconcile()
		s.applyPendingLeases()
	}
	return nil
}

// handleSnapshotChunk adds a chunk to the incoming snapshot, and applies the snapshot once it is complete. It returns the
// acknowledgement. After an error the caller must close the link and reconnect.
func (s *Server) handleSnapshotChunk(chunk *rpc.SnapshotChunk) (*rpc.ChunkAck, error) {
	ack, complete, err := s.replica.addChunk(chunk)
	if err != nil {
		s.recordUpdateError(err)
		return nil, err
	}
	if complete != nil {
		err = s.applyLogUpdate(complete)
	}
	return ack, err
}

// checkDigest compares the state with the digest in a lease response. If they differ, it marks the state as diverged, drops the
// lease and returns an error; the caller must then close the link and reconnect, and the leader sends a snapshot.
func (s *Server) checkDigest(granted *rpc.LeaseResponse) error {
	err := s.replica.compareDigest(granted.Digest)
	if err != nil {
		s.recordUpdateError(err)
		s.lease.drop()
		s.sweep(s.clock.Time())
	}
	return err
}

// recordUpdateError counts why an update does not fit the state, and logs it unless entries are merely missing.
func (s *Server) recordUpdateError(err error) {
	switch {
	case errors.Is(err, errLogGap):
		s.counters.logGaps.Add(1)
		return
	case errors.Is(err, errBadChunk):
		s.counters.malformedInputs.Add(1)
	default:
		s.counters.stateDivergences.Add(1)
	}
	s.log.Error("update of the log does not fit the state; requesting a snapshot", "index", s.replica.state.Index, "error", err)
}
