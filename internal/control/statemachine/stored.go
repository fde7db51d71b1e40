package statemachine

import "ferrypitch/internal/control/statemachine/diskformat"

func hostToStored(h Host) diskformat.Host {
	return diskformat.Host{ID: h.ID, Service: h.Service, Address: h.Address, Zone: h.Zone, Generation: h.Generation,
		Capacity: h.Capacity, Draining: h.Draining, Missing: h.Missing, Since: h.Since}
}

func hostFromStored(s diskformat.Host) Host {
	return Host{ID: s.ID, Service: s.Service, Address: s.Address, Zone: s.Zone, Generation: s.Generation,
		Capacity: s.Capacity, Draining: s.Draining, Missing: s.Missing, Since: s.Since}
}

func leadToStored(l Lead) diskformat.Lead {
	return diskformat.Lead{Host: l.Host, Term: l.Term, Moving: l.Moving, Fence: l.Fence, Holder: l.Holder, At: l.At, To: l.To,
		Paused: l.Paused}
}

func leadFromStored(s diskformat.Lead) Lead {
	return Lead{Host: s.Host, Term: s.Term, Moving: s.Moving, Fence: s.Fence, Holder: s.Holder, At: s.At, To: s.To,
		Paused: s.Paused}
}

func departureToStored(d Departure) diskformat.Departure {
	return diskformat.Departure{ID: d.ID, At: d.At}
}

func departureFromStored(s diskformat.Departure) Departure {
	return Departure{ID: s.ID, At: s.At}
}

func configureFromStored(s diskformat.Configure) Configure {
	return Configure{Base: s.Base, Amend: s.Amend, Body: s.Body,
		Packed: Packed{Sent: s.Packed.Sent, Was: s.Packed.Was, Whole: s.Packed.Whole, Diff: s.Packed.Diff}}
}

// changeToStored gives the stored form of a change. One of the configuration has a form of its own; see encode.
func changeToStored(c Change) diskformat.Change {
	s := diskformat.Change{Led: c.Led, Drain: c.Drain, Leave: c.Leave, Missing: c.Missing, Resumed: c.Resumed}
	if c.Enter != nil {
		h := hostToStored(*c.Enter)
		s.Enter = &h
	}
	if c.Recall != nil {
		s.Recall = &diskformat.Recall{Service: c.Recall.Service, Holder: c.Recall.Holder}
	}
	if c.Named != nil {
		s.Named = &diskformat.Named{Service: c.Named.Service, Host: c.Named.Host, Holder: c.Named.Holder}
	}
	if c.Lead != nil {
		s.Lead = &diskformat.NewLead{Service: c.Lead.Service, Host: c.Lead.Host, Term: c.Lead.Term, Took: c.Lead.Took}
	}
	if c.Router != nil {
		s.Router = &diskformat.Router{Node: c.Router.Node, Gone: c.Router.Gone}
	}
	return s
}

func changeFromStored(s diskformat.Change) Change {
	c := Change{Led: s.Led, Drain: s.Drain, Leave: s.Leave, Missing: s.Missing, Resumed: s.Resumed}
	if s.Configure != nil {
		u := configureFromStored(*s.Configure)
		c.Configure = &u
	}
	if s.Enter != nil {
		h := hostFromStored(*s.Enter)
		c.Enter = &h
	}
	if s.Recall != nil {
		c.Recall = &Recall{Service: s.Recall.Service, Holder: s.Recall.Holder}
	}
	if s.Named != nil {
		c.Named = &Named{Service: s.Named.Service, Host: s.Named.Host, Holder: s.Named.Holder}
	}
	if s.Lead != nil {
		c.Lead = &NewLead{Service: s.Lead.Service, Host: s.Lead.Host, Term: s.Lead.Term, Took: s.Lead.Took}
	}
	if s.Router != nil {
		c.Router = &Router{Node: s.Router.Node, Gone: s.Router.Gone}
	}
	return c
}
