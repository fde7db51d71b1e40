package statemachine

import (
	"maps"
	"slices"
)

// lookup is a set of secondary indexes over the maps of a state. It is built on first use, and each later change keeps it up to
// date. Its slices are never modified in place, so callers may keep them.
type lookup struct {
	hostsByService  map[string][]string // sorted host IDs
	hostsByAddress  map[string][]string // sorted host IDs
	revocationIndex map[string]uint64   // index of the revocation, by service with a revoked primary
	changedIndex    map[string]uint64   // index of the newest change to hosts or primary since the lookup was built, by service
	serviceNames    []string            // sorted names of the services with hosts or a primary; nil if not computed
	formerHosts     []Host              // hosts removed since the lookup was built, except at addresses used again; newest last
}

// maxFormerHosts limits how many removed hosts are remembered with their addresses.
const maxFormerHosts = 1 << 10

// ensureLookup returns the lookup of the state, and builds it if necessary.
func (s *State) ensureLookup() *lookup {
	if s.lookup != nil {
		return s.lookup
	}
	s.lookup = &lookup{
		hostsByService:  map[string][]string{},
		hostsByAddress:  map[string][]string{},
		revocationIndex: map[string]uint64{},
		changedIndex:    map[string]uint64{},
	}
	for _, host := range s.Hosts {
		s.lookup.addHost(host)
	}
	for service, primary := range s.Primaries {
		s.lookup.setPrimary(service, primary)
	}
	return s.lookup
}

func (l *lookup) addHost(host Host) {
	if len(l.hostsByService[host.Service]) == 0 {
		l.serviceNames = nil
	}
	insertID(l.hostsByService, host.Service, host.ID)
	insertID(l.hostsByAddress, host.Address, host.ID)
}

func (l *lookup) removeHost(host Host) {
	removeID(l.hostsByService, host.Service, host.ID)
	removeID(l.hostsByAddress, host.Address, host.ID)
	if len(l.hostsByService[host.Service]) == 0 {
		l.serviceNames = nil
	}
}

func (l *lookup) setPrimary(service string, primary Primary) {
	delete(l.revocationIndex, service)
	if primary.Revoked {
		l.revocationIndex[service] = primary.ChangedIndex
	}
}

// insertID adds an ID to a sorted list. The list is copied, not modified.
func insertID(lists map[string][]string, key, id string) {
	position, found := slices.BinarySearch(lists[key], id)
	if !found {
		lists[key] = slices.Insert(slices.Clone(lists[key]), position, id)
	}
}

// removeID removes an ID from a sorted list. The list is copied, not modified.
func removeID(lists map[string][]string, key, id string) {
	position, found := slices.BinarySearch(lists[key], id)
	switch {
	case !found:
	case len(lists[key]) == 1:
		delete(lists, key)
	default:
		lists[key] = slices.Delete(slices.Clone(lists[key]), position, position+1)
	}
}

// HostIDs returns the sorted IDs of a service's hosts. The slice must not be modified.
func (s *State) HostIDs(service string) []string { return s.ensureLookup().hostsByService[service] }

// HostIDAt returns the ID of the host at an address, or an empty string if there is none. Of several hosts it returns the one with
// the lowest ID.
func (s *State) HostIDAt(address string) string {
	if ids := s.ensureLookup().hostsByAddress[address]; len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// ServiceNames returns the sorted names of the services that have hosts or a primary. The slice must not be modified.
func (s *State) ServiceNames() []string {
	l := s.ensureLookup()
	if l.serviceNames != nil {
		return l.serviceNames
	}
	names := map[string]struct{}{}
	for service := range l.hostsByService {
		names[service] = struct{}{}
	}
	for service := range s.Primaries {
		names[service] = struct{}{}
	}
	l.serviceNames = slices.Sorted(maps.Keys(names))
	return l.serviceNames
}

// ServiceChangedIndex returns the index of the newest change to a service's primary or hosts, including unaccounted ones. It is 0
// if there was no such change since the state was restored.
func (s *State) ServiceChangedIndex(service string) uint64 {
	return s.ensureLookup().changedIndex[service]
}

// LatestRevocation returns the index of the newest revocation that is still in force, or 0 if no primary is revoked.
func (s *State) LatestRevocation() (index uint64) {
	for _, revocationIndex := range s.ensureLookup().revocationIndex {
		index = max(index, revocationIndex)
	}
	return index
}

// FormerHosts returns the hosts of a service that were removed since the state was restored and whose addresses no other host has
// used since. A new host at such an address starts with the log of the former one, and may receive writes before its first
// heartbeat.
func (s *State) FormerHosts(service string) (former []Host) {
	for _, host := range s.ensureLookup().formerHosts {
		if host.Service == service {
			former = append(former, host)
		}
	}
	return former
}

// KnownHost returns a host that is listed or was removed recently, see FormerHosts.
func (s *State) KnownHost(id string) (host Host, known bool) {
	if host, known = s.Hosts[id]; known {
		return host, true
	}
	for _, former := range s.ensureLookup().formerHosts {
		if former.ID == id {
			return former, true
		}
	}
	return Host{}, false
}

// addFormerHost remembers a removed host, and forgets an earlier one at its address.
func (l *lookup) addFormerHost(host Host) {
	l.forgetFormerHost(host.Address)
	if len(l.formerHosts) == maxFormerHosts {
		l.formerHosts = slices.Delete(l.formerHosts, 0, 1)
	}
	l.formerHosts = append(l.formerHosts, host)
}

// forgetFormerHost forgets the host that was removed from an address.
func (l *lookup) forgetFormerHost(address string) {
	l.formerHosts = slices.DeleteFunc(l.formerHosts, func(host Host) bool { return host.Address == address })
}

func (s *State) putHost(host Host) {
	l := s.ensureLookup()
	l.forgetFormerHost(host.Address)
	if previous, found := s.Hosts[host.ID]; found && (previous.Service != host.Service || previous.Address != host.Address) {
		l.removeHost(previous)
		l.changedIndex[previous.Service] = s.Index
	}
	putInMap(&s.Hosts, host.ID, host)
	l.addHost(host)
	l.changedIndex[host.Service] = s.Index
}

func (s *State) deleteHost(host Host) {
	l := s.ensureLookup()
	delete(s.Hosts, host.ID)
	l.removeHost(host)
	l.addFormerHost(host)
	l.changedIndex[host.Service] = s.Index
}

func (s *State) putUnaccountedHost(host Host) {
	putInMap(&s.UnaccountedHosts, host.ID, host)
	s.ensureLookup().changedIndex[host.Service] = s.Index
}

func (s *State) deleteUnaccountedHost(id string) {
	if host, found := s.UnaccountedHosts[id]; found {
		delete(s.UnaccountedHosts, id)
		s.ensureLookup().changedIndex[host.Service] = s.Index
	}
}

func (s *State) putPrimary(service string, primary Primary) {
	l := s.ensureLookup()
	if _, found := s.Primaries[service]; !found {
		l.serviceNames = nil
	}
	putInMap(&s.Primaries, service, primary)
	l.setPrimary(service, primary)
	l.changedIndex[service] = s.Index
}
