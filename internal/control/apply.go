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
	// The log is compacted into a snapshot once it has more entries than maxLogEntries, or more bytes than minLogBytes and
	// than twice the last snapshot: so the bytes written for snapshots stay in proportion to those of the entries.
	maxLogEntries = 400
	minLogBytes   = 512 << 10
	// keptLogEntries is how many entries before a snapshot stay in the log for members and proxies that are a little behind.
	keptLogEntries = 200
	// maxStaleCallSeqs is how many hosts that are gone, or are being added, have a number in Server.lastCallSeq.
	maxStaleCallSeqs = 1024
)

// carryOut does what the consensus node asks for. Every call of the node must be followed by it, in the order of the calls: the
// write-ahead log and the state depend on that order.
func (s *Server) carryOut(ready consensus.Ready) {
	if len(ready.Writes) > 0 {
		s.environment.Persist(ready.Writes)
	}
	for _, message := range ready.Messages {
		s.sendConsensus(&message)
	}
	s.committed = append(s.committed, ready.Committed...)
	if !s.applying { // applying an entry may propose another and come back here; all are applied in their order
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

// sendConsensus sends a message to its addressee, or to all known members and seeds if it has none.
func (s *Server) sendConsensus(message *consensus.Message) {
	if message.To != "" {
		s.send(message.To.Address(), &rpc.Frame{Consensus: message})
		return
	}
	for _, ip := range s.peerAddresses() {
		s.send(ip, &rpc.Frame{Consensus: message})
	}
}

// peerAddresses returns the sorted IP addresses of all members and seeds but this one.
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

// applyCommitted applies entries to the state and sends them to the proxies, as one update: a frame for each entry
// could fill the proxies' queues when many are committed at once.
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
	if s.leading { // the next step of a transition need not wait for a tick
		s.handleFailoverEvents()
	}
}

// installSnapshot replaces the state by a snapshot of the leader, which also ends a divergence from the log. Proxies need the
// snapshot too: the entries before it never pass through here.
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

// applyEntry applies one entry. A state that an entry does not fit is rebuilt, and proxies and callers see only the result: the
// log decides, not one member's memory.
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

// applyTo applies an entry to a state and returns its change; nil if the entry holds none.
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

// rebuildState builds the state anew from this member's last snapshot and the log up to an index. err is the result of
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

// fetchState asks the leader for its state where this member's own can't be restored. A diverged member does not lead.
func (s *Server) fetchState() {
	s.diverged = true
	s.carryOut(s.consensus.RequestSnapshot(s.clock.Now()))
}

// refreshSnapshot makes a snapshot of the present state, for a member whose own is wrong: an older one may be before its log.
func (s *Server) refreshSnapshot() {
	s.carryOut(s.consensus.Compact(s.state.Index, s.state.Snapshot(), keptLogEntries, s.clock.Now()))
}

// compactLog replaces the log by a snapshot once it is long (Raft 5).
func (s *Server) compactLog() {
	entries, bytes := s.consensus.LogSizeSinceSnapshot()
	if entries > maxLogEntries || bytes > max(minLogBytes, 2*len(s.consensus.LatestSnapshot().Data)) {
		s.carryOut(s.consensus.Compact(s.state.Index, s.state.Snapshot(), keptLogEntries, s.clock.Now()))
	}
}

// changeApplied updates what depends on the state and is not part of it: fail-over and the sequence numbers of heartbeats.
func (s *Server) changeApplied(change *statemachine.Change) {
	switch {
	case change.RemoveHost != "":
		delete(s.lastCallSeq, change.RemoveHost)
		if s.leading {
			s.coordinator.ForgetHost(change.RemoveHost)
		}
	case change.AddHost != nil: // it may have replaced another host at its address
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

// forgetCallSeqs drops the sequence numbers of hosts that are gone, once many are. Ids are not used again.
func (s *Server) forgetCallSeqs() {
	if len(s.lastCallSeq) <= len(s.state.Hosts)+maxStaleCallSeqs {
		return
	}
	maps.DeleteFunc(s.lastCallSeq, func(host string, _ int64) bool {
		_, listed := s.state.Hosts[host]
		return !listed
	})
}
