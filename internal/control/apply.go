package control

import (
	"errors"
	"maps"
	"slices"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

const (
	// The log is compacted into a snapshot when it exceeds maxLogEntries entries, or when its size exceeds both minLogBytes and
	// twice the size of the last snapshot. This keeps the bytes written for snapshots proportional to the bytes of the entries.
	maxLogEntries = 400
	minLogBytes   = 512 << 10
	// retainedLogEntries is the number of entries before a snapshot that stay in the log for members and proxies that lag slightly.
	retainedLogEntries = 200
	// maxStaleCallSeqs limits the entries of Server.lastCallSeq for hosts that were removed or are still being added.
	maxStaleCallSeqs = 1024
)

// processReady persists the writes, sends the messages and applies the committed entries that the consensus node returned. It
// must be called after every call to the node, in the same order, because the write-ahead log and the state depend on that order.
func (s *Server) processReady(ready consensus.Ready) {
	if len(ready.Writes) > 0 {
		s.environment.Persist(ready.Writes)
	}
	for _, message := range ready.Messages {
		s.sendConsensus(&message)
	}
	s.committed = append(s.committed, ready.Committed...)
	if !s.applying { // applying an entry may propose another and re-enter this function; entries must be applied in log order
		s.applying = true
		for len(s.committed) > 0 {
			batch := s.committed
			s.committed = nil
			s.applyCommitted(batch)
		}
		s.applying = false
	}
	s.updateLeadership()
}

// sendConsensus sends a message to its recipient, or to all known members and seeds if it has none.
func (s *Server) sendConsensus(message *consensus.Message) {
	if message.To != "" {
		s.send(message.To.Address(), &rpc.Frame{Consensus: message})
		return
	}
	for _, ip := range s.peerAddresses() {
		s.send(ip, &rpc.Frame{Consensus: message})
	}
}

// peerAddresses returns the sorted IP addresses of all members and seeds except this member.
func (s *Server) peerAddresses() []string {
	all := append(s.memberAddresses(), s.settings.SeedHosts()...)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(ip string) bool { return ip == s.settings.Ip })
}

// memberAddresses returns the IP addresses of all members.
func (s *Server) memberAddresses() []string {
	var all []string
	for _, id := range s.consensus.Members() {
		all = append(all, id.Address())
	}
	return all
}

// applyCommitted applies committed entries to the state and sends them to the proxies as a single update. One frame per entry
// could fill the proxies' queues when many entries are committed at once.
func (s *Server) applyCommitted(batch []consensus.Committed) {
	update := &rpc.LogUpdate{Members: s.memberAddresses()}
	for _, entry := range batch {
		switch {
		case entry.Snapshot != nil:
			s.installSnapshot(entry, update)
		case !s.diverged:
			s.applyEntry(entry, update)
		}
	}
	if s.diverged {
		return
	}
	if members := s.consensus.Members(); !slices.Equal(members, s.loggedMembers) {
		s.loggedMembers = members
		s.log.Info("membership changed", "members", members, "index", s.state.Index)
	}
	for _, proxy := range s.proxies.ordered {
		proxy.sendUpdate(s, update)
	}
	s.compactLog()
	if s.leading { // run the next failover step immediately instead of at the next tick
		s.handleFailoverEvents()
	}
}

// installSnapshot replaces the state with a snapshot from the leader, which also resolves a divergence from the log. The snapshot
// is sent to the proxies too, because this member never applies the entries that precede it.
func (s *Server) installSnapshot(entry consensus.Committed, update *rpc.LogUpdate) {
	state, err := statemachine.Restore(entry.Snapshot.Data)
	if err != nil {
		s.log.Error("restoring a snapshot failed", "index", entry.Index, "error", err)
		s.fetchState()
		return
	}
	state.Index = entry.Index
	s.state, s.diverged = state, false
	s.digests.own = nil
	update.Snapshot, update.Entries, update.LastIndex = entry.Snapshot.Data, nil, entry.Index
}

// applyEntry applies one entry. If the entry reveals that the state diverged from the log, the state is rebuilt first, so that
// proxies and callers see only the result: the log is authoritative, not the memory of a single member.
func (s *Server) applyEntry(entry consensus.Committed, update *rpc.LogUpdate) {
	change, err := s.applyTo(s.state, entry)
	if errors.Is(err, statemachine.ErrDiverged) {
		s.StateDivergences.Add(1)
		s.log.Error("state diverged from the log, rebuilding it", "index", entry.Index)
		var rebuilt bool
		if rebuilt, err = s.rebuildState(entry.Index); !rebuilt {
			s.fetchState()
			return
		}
	}
	if change != nil {
		s.changeApplied(change)
	}
	s.checkpointDigest()
	update.Entries, update.LastIndex = append(update.Entries, entry.Data), entry.Index
	s.completeProposal(entry, err)
}

// applyTo applies an entry to a state and returns the decoded change, or nil if the entry is empty or cannot be decoded.
func (s *Server) applyTo(state *statemachine.State, entry consensus.Committed) (*statemachine.Change, error) {
	if len(entry.Data) == 0 {
		state.Index = max(state.Index, entry.Index)
		return nil, nil
	}
	change, err := statemachine.DecodeChange(entry.Data)
	if err != nil {
		s.log.Error("decoding a log entry failed", "index", entry.Index, "error", err)
		state.Index = max(state.Index, entry.Index)
		return nil, err
	}
	return &change, state.Apply(entry.Index, change)
}

// rebuildState reconstructs the state from this member's latest snapshot and the log up to an index. err is the result of
// applying the entry at that index.
func (s *Server) rebuildState(index uint64) (rebuilt bool, err error) {
	snapshot := s.consensus.LatestSnapshot()
	entries, ok := s.consensus.CommittedAfter(snapshot.Index)
	state, err := statemachine.Restore(snapshot.Data)
	if err != nil || !ok {
		return false, err
	}
	state.Index = snapshot.Index
	for i, data := range entries[:index-snapshot.Index] {
		_, err = s.applyTo(state, consensus.Committed{Index: snapshot.Index + uint64(i) + 1, Data: data})
		if errors.Is(err, statemachine.ErrDiverged) {
			return false, err
		}
	}
	s.state = state
	return true, err
}

// fetchState marks this member as diverged and requests a snapshot from the leader, for when the state cannot be rebuilt locally.
// A diverged member does not act as leader.
func (s *Server) fetchState() {
	s.diverged = true
	s.processReady(s.consensus.RequestSnapshot(s.clock.Now()))
}

// refreshSnapshot takes a snapshot of the current state for a member that requested one because its own state is wrong. An older
// snapshot may precede the start of that member's log.
func (s *Server) refreshSnapshot() {
	s.processReady(s.consensus.Compact(s.state.Index, s.state.Snapshot(), retainedLogEntries, s.clock.Now()))
}

// compactLog replaces the log with a snapshot once it exceeds the limits (Raft dissertation, chapter 5).
func (s *Server) compactLog() {
	entries, bytes := s.consensus.LogSizeSinceSnapshot()
	if entries > maxLogEntries || bytes > max(minLogBytes, 2*len(s.consensus.LatestSnapshot().Data)) {
		s.processReady(s.consensus.Compact(s.state.Index, s.state.Snapshot(), retainedLogEntries, s.clock.Now()))
	}
}

// changeApplied updates the data derived from the state: the failover coordinator and the sequence numbers of heartbeats.
func (s *Server) changeApplied(change *statemachine.Change) {
	s.nominations.applied(change, s.clock.Now())
	switch {
	case change.RemoveHost != "":
		delete(s.lastCallSeq, change.RemoveHost)
		if s.leading {
			s.coordinator.ForgetHost(change.RemoveHost)
		}
	case change.AddHost != nil: // may have replaced another host at the same address
		s.forgetCallSeqs()
	case !s.leading:
	case change.RevokePrimary != nil:
		s.coordinator.ChangeApplied(change.RevokePrimary.Service)
	case change.MarkMissing != "":
		s.coordinator.ClearPendingProposals()
	case change.ReplicationResumed != "":
		s.coordinator.ChangeApplied(change.ReplicationResumed)
	case change.NominatePrimary != nil:
		s.coordinator.ChangeApplied(change.NominatePrimary.Service)
	case change.AppointPrimary != nil:
		primary := change.AppointPrimary
		s.log.Info("primary changed", "service", primary.Service, "host", primary.Host, "term", primary.Term)
		s.coordinator.ChangeApplied(primary.Service)
	}
}

// forgetCallSeqs drops the sequence numbers of hosts that no longer exist once there are more than maxStaleCallSeqs. This is safe
// because host IDs are not reused.
func (s *Server) forgetCallSeqs() {
	if len(s.lastCallSeq) <= len(s.state.Hosts)+maxStaleCallSeqs {
		return
	}
	maps.DeleteFunc(s.lastCallSeq, func(host string, _ int64) bool {
		_, listed := s.state.Hosts[host]
		return !listed
	})
}
