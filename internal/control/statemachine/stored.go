package statemachine

import "ferrypitch/internal/control/statemachine/diskformat"

func hostToStored(h Host) diskformat.Host {
	return diskformat.Host{ID: h.ID, Service: h.Service, Address: h.Address, Zone: h.Zone, Generation: h.Generation,
		Capacity: h.Capacity, Draining: h.Draining, Missing: h.Missing, Since: h.AddedAt}
}

func hostFromStored(s diskformat.Host) Host {
	return Host{ID: s.ID, Service: s.Service, Address: s.Address, Zone: s.Zone, Generation: s.Generation,
		Capacity: s.Capacity, Draining: s.Draining, Missing: s.Missing, AddedAt: s.Since}
}

func primaryToStored(l Primary) diskformat.Lead {
	return diskformat.Lead{Host: l.Host, Term: l.Term, Moving: l.Revoked, Fence: l.FencingToken, Holder: l.Owner, At: l.ChangedAt, To: l.Nominee,
		Paused: l.ReplicasPaused}
}

func primaryFromStored(s diskformat.Lead) Primary {
	return Primary{Host: s.Host, Term: s.Term, Revoked: s.Moving, FencingToken: s.Fence, Owner: s.Holder, ChangedAt: s.At, Nominee: s.To,
		ReplicasPaused: s.Paused}
}

func removedHostToStored(d RemovedHost) diskformat.Departure {
	return diskformat.Departure{ID: d.ID, At: d.LedTimeMs}
}

func removedHostFromStored(s diskformat.Departure) RemovedHost {
	return RemovedHost{ID: s.ID, LedTimeMs: s.At}
}

func configUpdateFromStored(s diskformat.Configure) ConfigUpdate {
	return ConfigUpdate{BaseVersion: s.Base, IsAmendment: s.Amend, Body: s.Body,
		ConfigDelta: ConfigDelta{RequestDigest: s.Packed.Sent, BaseDigest: s.Packed.Was, ResultDigest: s.Packed.Whole, Diff: s.Packed.Diff}}
}

// changeToStored gives the stored form of a change. One of the configuration has a form of its own; see encode.
func changeToStored(c Change) diskformat.Change {
	s := diskformat.Change{Led: c.LedTimeMs, Drain: c.DrainHost, Leave: c.RemoveHost, Missing: c.MarkMissing, Resumed: c.ReplicationResumed}
	if c.AddHost != nil {
		h := hostToStored(*c.AddHost)
		s.Enter = &h
	}
	if c.RevokePrimary != nil {
		s.Recall = &diskformat.Recall{Service: c.RevokePrimary.Service, Holder: c.RevokePrimary.Owner}
	}
	if c.NominatePrimary != nil {
		s.Named = &diskformat.Named{Service: c.NominatePrimary.Service, Host: c.NominatePrimary.Host, Holder: c.NominatePrimary.Owner}
	}
	if c.AppointPrimary != nil {
		s.Lead = &diskformat.NewLead{Service: c.AppointPrimary.Service, Host: c.AppointPrimary.Host, Term: c.AppointPrimary.Term, Took: c.AppointPrimary.PromotionMs}
	}
	if c.Proxy != nil {
		s.Router = &diskformat.Router{Node: c.Proxy.Node, Gone: c.Proxy.Removed}
	}
	return s
}

func changeFromStored(s diskformat.Change) Change {
	c := Change{LedTimeMs: s.Led, DrainHost: s.Drain, RemoveHost: s.Leave, MarkMissing: s.Missing, ReplicationResumed: s.Resumed}
	if s.Configure != nil {
		u := configUpdateFromStored(*s.Configure)
		c.UpdateConfig = &u
	}
	if s.Enter != nil {
		h := hostFromStored(*s.Enter)
		c.AddHost = &h
	}
	if s.Recall != nil {
		c.RevokePrimary = &RevokePrimary{Service: s.Recall.Service, Owner: s.Recall.Holder}
	}
	if s.Named != nil {
		c.NominatePrimary = &NominatePrimary{Service: s.Named.Service, Host: s.Named.Host, Owner: s.Named.Holder}
	}
	if s.Lead != nil {
		c.AppointPrimary = &AppointPrimary{Service: s.Lead.Service, Host: s.Lead.Host, Term: s.Lead.Term, PromotionMs: s.Lead.Took}
	}
	if s.Router != nil {
		c.Proxy = &ProxyMembership{Node: s.Router.Node, Removed: s.Router.Gone}
	}
	return c
}
