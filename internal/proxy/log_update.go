package proxy

import (
	"errors"
	"fmt"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// errLogGap refuses a log update: entries before it are missing. The link has to be made anew.
var errLogGap = errors.New("entries of the log are missing")

// applyLogUpdate applies a log update to the replicated state, and reconciles the proxy with it. It returns errLogGap,
// statemachine.ErrDiverged or the error of a snapshot that can't be read, if the update does not fit the state; entries before
// the one at fault stay applied, and the caller has to make the link anew.
func (s *Server) applyLogUpdate(update *rpc.LogUpdate) error {
	if update.Snapshot != nil {
		restored, err := s.restoreSnapshot(update)
		if err != nil || !restored {
			return err
		}
	} else if err := s.applyEntries(update); err != nil {
		return err
	}
	s.reconcile()
	return nil
}

// restoreSnapshot replaces the state; false: the state is newer, and stays.
func (s *Server) restoreSnapshot(update *rpc.LogUpdate) (restored bool, err error) {
	state, err := statemachine.Restore(update.Snapshot)
	if err != nil {
		s.log.Error("snapshot can't be read", "error", err)
		s.counters.stateDiverged.Add(1)
		return false, fmt.Errorf("snapshot: %w", err)
	}
	state.Index = max(state.Index, update.LastIndex)
	if state.Index < s.state.Index {
		return false, nil
	}
	s.state, s.diverged = state, false
	return true, nil
}

// applyEntries applies those entries that are new here, in the log's order.
func (s *Server) applyEntries(update *rpc.LogUpdate) error {
	first := update.LastIndex - uint64(len(update.Entries)) + 1
	if first > s.state.Index+1 {
		s.counters.logGaps.Add(1)
		return errLogGap
	}
	for i, entry := range update.Entries {
		index := first + uint64(i)
		if index <= s.state.Index {
			continue
		}
		if err := s.applyEntry(index, entry); errors.Is(err, statemachine.ErrDiverged) {
			s.log.Error("state diverged from the log; requesting a snapshot", "index", index)
			s.counters.stateDiverged.Add(1)
			s.diverged = true
			return err
		}
		s.state.Index = index
	}
	return nil
}

// applyEntry applies one entry. Errors other than ErrDiverged are part of the log: every replica refuses the entry alike.
func (s *Server) applyEntry(index uint64, entry []byte) error {
	if len(entry) == 0 {
		return nil
	}
	change, err := statemachine.DecodeChange(entry)
	if err != nil {
		return err
	}
	return s.state.Apply(index, change)
}

// resumeIndex is up to where the log has been applied; 0: a snapshot is needed.
func (s *Server) resumeIndex() uint64 {
	if s.diverged {
		return 0
	}
	return s.state.Index
}
