package statemachine

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"ferrypitch/internal/statemachine/diskformat"
)

// errListLengths is returned if a list of keys and the list of their values differ in length.
var errListLengths = errors.New("lists of keys and values differ in length")

// stateToStored converts the state to its stored form. Maps become lists sorted by key.
func stateToStored(s *State) diskformat.State {
	stored := diskformat.State{
		Index: s.Index, Config: s.ConfigBody, Gen: s.Generation, Led: s.LeaderTimeMs,
		Orders: encodeAppliedUpdates(s.AppliedUpdates), Took: s.LastPromotionMs,
	}
	for _, removed := range s.RemovedHosts {
		stored.Left = append(stored.Left, removedHostToStored(removed))
	}
	for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
		stored.Hosts = append(stored.Hosts, hostToStored(s.Hosts[id]))
	}
	for _, service := range slices.Sorted(maps.Keys(s.Primaries)) {
		stored.Names = append(stored.Names, service)
		stored.Leads = append(stored.Leads, primaryToStored(s.Primaries[service]))
	}
	for _, id := range slices.Sorted(maps.Keys(s.UnaccountedHosts)) {
		stored.Owed = append(stored.Owed, hostToStored(s.UnaccountedHosts[id]))
	}
	for _, name := range s.ProxyNames() {
		stored.Routers = append(stored.Routers, name)
		stored.Since = append(stored.Since, s.Proxies[name])
	}
	return stored
}

// stateFromStored converts a stored state back. It does not parse the configuration; the caller does.
func stateFromStored(stored diskformat.State) (*State, error) {
	if len(stored.Names) != len(stored.Leads) || len(stored.Routers) != len(stored.Since) {
		return nil, fmt.Errorf("%d services, %d primaries, %d proxies, %d indices: %w",
			len(stored.Names), len(stored.Leads), len(stored.Routers), len(stored.Since), errListLengths)
	}
	updates, err := decodeAppliedUpdates(stored.Orders)
	if err != nil {
		return nil, fmt.Errorf("applied updates: %w", err)
	}
	s := &State{
		Index: stored.Index, ConfigBody: stored.Config, Generation: stored.Gen, LeaderTimeMs: stored.Led,
		AppliedUpdates: updates, LastPromotionMs: stored.Took,
	}
	for _, removed := range stored.Left {
		s.RemovedHosts = append(s.RemovedHosts, removedHostFromStored(removed))
	}
	for _, host := range stored.Hosts {
		s.putHost(hostFromStored(host))
	}
	for _, host := range stored.Owed {
		s.putUnaccountedHost(hostFromStored(host))
	}
	for position, service := range stored.Names {
		s.putPrimary(service, primaryFromStored(stored.Leads[position]))
	}
	for position, name := range stored.Routers {
		s.putProxy(name, stored.Since[position])
	}
	return s, nil
}

func hostToStored(h Host) diskformat.Host {
	return diskformat.Host{
		ID: h.ID, Service: h.Service, Address: h.Address, Zone: h.Zone, Generation: h.Generation,
		Capacity: h.Capacity, Draining: h.Draining, Missing: h.Missing, Since: h.AddedIndex,
	}
}

func hostFromStored(stored diskformat.Host) Host {
	return Host{
		ID: stored.ID, Service: stored.Service, Address: stored.Address, Zone: stored.Zone, Generation: stored.Generation,
		Capacity: stored.Capacity, Draining: stored.Draining, Missing: stored.Missing, AddedIndex: stored.Since,
	}
}

func primaryToStored(p Primary) diskformat.Lead {
	return diskformat.Lead{
		Host: p.Host, Term: p.Term, Moving: p.Revoked, Fence: p.FencingToken, Holder: p.Owner,
		At: p.ChangedIndex, To: p.Nominee, Paused: p.ReplicasPaused,
	}
}

func primaryFromStored(stored diskformat.Lead) Primary {
	return Primary{
		Host: stored.Host, Term: stored.Term, Revoked: stored.Moving, FencingToken: stored.Fence, Owner: stored.Holder,
		ChangedIndex: stored.At, Nominee: stored.To, ReplicasPaused: stored.Paused,
	}
}

func removedHostToStored(removed RemovedHost) diskformat.Departure {
	return diskformat.Departure{ID: removed.ID, At: removed.LeaderTimeMs}
}

func removedHostFromStored(stored diskformat.Departure) RemovedHost {
	return RemovedHost{ID: stored.ID, LeaderTimeMs: stored.At}
}

// configUpdateFromStored converts a configuration update from the form that logs had before ConfigUpdate.encode existed.
func configUpdateFromStored(stored diskformat.Configure) ConfigUpdate {
	return ConfigUpdate{BaseVersion: stored.Base, IsAmendment: stored.Amend, Body: stored.Body, ConfigDelta: ConfigDelta{
		RequestDigest: stored.Packed.Sent,
		BaseDigest:    stored.Packed.Was,
		ResultDigest:  stored.Packed.Whole,
		Diff:          stored.Packed.Diff,
	}}
}

// HostLeaving is stored in both Drain and Leave. Logs of older releases never have both set, and an older release treats such a
// change as a drain, which it also is.

// changeToStored converts a change to its stored form. Configuration updates are encoded by ConfigUpdate.encode instead.
func changeToStored(change Change) diskformat.Change {
	stored := diskformat.Change{
		Led: change.LeaderTimeMs, Drain: change.DrainHost, Leave: change.RemoveHost,
		Missing: change.MarkMissing, Resumed: change.ReplicationResumed,
	}
	if leaving := change.HostLeaving; leaving != "" {
		stored.Drain, stored.Leave = leaving, leaving
	}
	if host := change.AddHost; host != nil {
		storedHost := hostToStored(*host)
		stored.Enter = &storedHost
	}
	if revoke := change.RevokePrimary; revoke != nil {
		stored.Recall = &diskformat.Recall{Service: revoke.Service, Holder: revoke.Owner}
	}
	if nominate := change.NominatePrimary; nominate != nil {
		stored.Named = &diskformat.Named{Service: nominate.Service, Host: nominate.Host, Holder: nominate.Owner}
	}
	if appoint := change.AppointPrimary; appoint != nil {
		stored.Lead = &diskformat.NewLead{Service: appoint.Service, Host: appoint.Host, Term: appoint.Term, Took: appoint.PromotionMs}
	}
	if proxy := change.UpdateProxy; proxy != nil {
		stored.Router = &diskformat.Router{Node: proxy.Name, Gone: proxy.Removed}
	}
	return stored
}

func changeFromStored(stored diskformat.Change) Change {
	change := Change{
		LeaderTimeMs: stored.Led, DrainHost: stored.Drain, RemoveHost: stored.Leave,
		MarkMissing: stored.Missing, ReplicationResumed: stored.Resumed,
	}
	if stored.Drain != "" && stored.Drain == stored.Leave {
		change.HostLeaving, change.DrainHost, change.RemoveHost = stored.Drain, "", ""
	}
	if stored.Configure != nil {
		update := configUpdateFromStored(*stored.Configure)
		change.UpdateConfig = &update
	}
	if stored.Enter != nil {
		host := hostFromStored(*stored.Enter)
		change.AddHost = &host
	}
	if revoke := stored.Recall; revoke != nil {
		change.RevokePrimary = &RevokePrimary{Service: revoke.Service, Owner: revoke.Holder}
	}
	if nominate := stored.Named; nominate != nil {
		change.NominatePrimary = &NominatePrimary{Service: nominate.Service, Host: nominate.Host, Owner: nominate.Holder}
	}
	if appoint := stored.Lead; appoint != nil {
		change.AppointPrimary = &AppointPrimary{Service: appoint.Service, Host: appoint.Host, Term: appoint.Term, PromotionMs: appoint.Took}
	}
	if proxy := stored.Router; proxy != nil {
		change.UpdateProxy = &ProxyMembership{Name: proxy.Node, Removed: proxy.Gone}
	}
	return change
}
