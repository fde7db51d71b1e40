package statemachine

// Apply applies the log entry at the given index. Entries at or below Index are ignored.
//
// An error means that the change was rejected: only Index and the leader time advanced. The error is meant for the proposer
// of the change. After ErrDiverged not even Index and the leader time have advanced, and the state must be restored from a
// snapshot.
func (s *State) Apply(index uint64, change Change) error {
	if index <= s.Index {
		return nil
	}
	if update := change.UpdateConfig; update != nil && s.hasDiverged(update) {
		return &DivergedError{Index: index, Version: s.Generation}
	}
	s.Index, s.LeaderTimeMs = index, max(s.LeaderTimeMs, change.LeaderTimeMs)
	switch {
	case change.UpdateConfig != nil:
		return s.applyUpdateConfig(change.UpdateConfig)
	case change.AddHost != nil:
		return s.applyAddHost(*change.AddHost)
	case change.DrainHost != "":
		return s.applyDrainHost(change.DrainHost)
	case change.HostLeaving != "":
		return s.applyHostLeaving(change.HostLeaving)
	case change.RemoveHost != "":
		s.removeHost(change.RemoveHost)
	case change.RevokePrimary != nil:
		s.applyRevokePrimary(*change.RevokePrimary)
	case change.NominatePrimary != nil:
		s.applyNominatePrimary(*change.NominatePrimary)
	case change.ReplicationResumed != "":
		s.applyReplicationResumed(change.ReplicationResumed)
	case change.MarkMissing != "":
		s.applyMarkMissing(change.MarkMissing)
	case change.UpdateProxy != nil:
		s.applyProxyMembership(*change.UpdateProxy)
	case change.AppointPrimary != nil:
		s.applyAppointPrimary(*change.AppointPrimary)
	}
	return nil
}

func (s *State) applyUpdateConfig(update *ConfigUpdate) error {
	next, err := s.CheckConfig(update)
	if err != nil || next == nil {
		return err
	}
	s.config, s.ConfigBody, s.Generation = next, next.Body, next.Generation
	s.configDigest = update.digestOfResult(next)
	s.recordUpdate(update.RequestID())
	return nil
}

// applyAddHost adds a host, or updates a known host with the data of a new heartbeat. IDs of removed hosts are never reused, so a
// heartbeat with the ID of a removed host is a delayed one and is rejected.
func (s *State) applyAddHost(host Host) error {
	known, found := s.Hosts[host.ID]
	switch {
	case found:
		host.AddedIndex, host.Draining = known.AddedIndex, known.Draining || host.Draining
	case s.wasRemoved(host.ID):
		return &HostError{Host: host.ID, Removed: true}
	default:
		host.AddedIndex = s.Index
		s.removeHostsAtAddress(host.Address)
	}
	s.clearUnaccountedAtAddress(host.Service, host.Address)
	s.putHost(host)
	return nil
}

// removeHostsAtAddress removes the hosts registered at the address of a new host: their process must have ended, even if it did
// not announce that it was leaving.
func (s *State) removeHostsAtAddress(address string) {
	for _, id := range s.ensureLookup().hostsByAddress[address] {
		s.removeHost(id)
	}
}

// clearUnaccountedAtAddress clears the unaccounted hosts of a service at an address: a new host there has the log of its
// predecessor.
func (s *State) clearUnaccountedAtAddress(service, address string) {
	for _, id := range s.UnaccountedHostIDs(service) {
		if s.UnaccountedHosts[id].Address == address {
			s.deleteUnaccountedHost(id)
		}
	}
}

func (s *State) applyDrainHost(id string) error {
	host, found := s.Hosts[id]
	if !found {
		return &HostError{Host: id}
	}
	host.Draining = true
	s.putHost(host)
	return nil
}

// applyHostLeaving marks a leaving host as draining and keeps it listed: until its process ends it receives writes like any
// other replica, so a failover has to query its position.
func (s *State) applyHostLeaving(id string) error {
	if err := s.applyDrainHost(id); err != nil {
		return err
	}
	if !s.wasRemoved(id) {
		s.recordRemoval(id)
	}
	return nil
}

// IsLeaving reports whether a host has left without draining first and is still listed because its process may be running.
func (s *State) IsLeaving(id string) bool {
	_, found := s.Hosts[id]
	return found && s.wasRemoved(id)
}

// removeHost removes a host, if it is known. A replica becomes unaccounted for, because it may be the only host that received
// an acknowledged write. The primary does not: a replica has received every write that the primary acknowledged.
func (s *State) removeHost(id string) {
	host, found := s.Hosts[id]
	if !found {
		return
	}
	if primary, hasPrimary := s.Primaries[host.Service]; hasPrimary && primary.Host != id && !host.Missing {
		s.putUnaccountedHost(host)
	}
	s.deleteHost(host)
	s.recordRemoval(id)
}

func (s *State) applyRevokePrimary(change RevokePrimary) {
	primary := s.Primaries[change.Service]
	if !primary.Revoked {
		primary.Revoked, primary.ChangedIndex = true, s.Index
	}
	primary.setOwner(change.Owner, s.Index)
	primary.ReplicasPaused = true
	s.putPrimary(change.Service, primary)
}

func (s *State) applyNominatePrimary(change NominatePrimary) {
	primary := s.Primaries[change.Service]
	primary.Nominee, primary.ReplicasPaused = change.Host, true
	primary.setOwner(change.Owner, s.Index)
	s.putPrimary(change.Service, primary)
}

// setOwner sets the member that runs the failover or switchover. Each new owner gets a higher fencing token: the index of the
// change.
func (p *Primary) setOwner(owner string, index uint64) {
	if p.Owner != owner || p.FencingToken == 0 {
		p.Owner, p.FencingToken = owner, index
	}
}

func (s *State) applyAppointPrimary(change AppointPrimary) {
	if change.PromotionMs > 0 {
		s.LastPromotionMs = change.PromotionMs
	}
	primary := s.Primaries[change.Service]
	primary.Host, primary.Term = change.Host, max(primary.Term, change.Term)
	primary.Revoked, primary.Nominee, primary.ChangedIndex = false, "", s.Index
	s.putPrimary(change.Service, primary)
}

// applyReplicationResumed has no effect during a failover, which has paused the replicas again.
func (s *State) applyReplicationResumed(service string) {
	primary, found := s.Primaries[service]
	if !found || primary.Revoked || primary.Nominee != "" {
		return
	}
	primary.ReplicasPaused = false
	s.putPrimary(service, primary)
}

func (s *State) applyMarkMissing(id string) {
	s.deleteUnaccountedHost(id)
	if host, found := s.Hosts[id]; found {
		host.Missing = true
		s.putHost(host)
	}
}

func (s *State) applyProxyMembership(change ProxyMembership) {
	if change.Removed {
		delete(s.Proxies, change.Name)
		return
	}
	s.putProxy(change.Name, s.Index)
}
