package rules

import "slices"

// Shape is a deployment whose settings are watched before they are put in force.
type Shape struct {
	as *Router // that would be, for what it makes of its settings
}

// Course is how a command fares as it comes.
type Course uint8

const (
	Held Course = iota
	Sent
	Asked // held, while a host is asked where it stands
	TurnedAway
)

// NewShape readies settings to be watched.
func NewShape(d Deployment, now Tenth) *Shape {
	return &Shape{New(&course{}, d, now)}
}

// Comeback is the time that a throttled command would be given.
func (s *Shape) Comeback() Tenth { return s.as.Comeback }

// Preview says how a command that comes now fares under the settings in force, and under others, g and other being
// its group there. Both go the module's own path with the same chance; then all of it is taken back: nothing is asked
// of the caller, and nothing that decides has changed.
func (r *Router) Preview(s *Shape, g, other *CmdGroup, set int64, session string, timeout, since Tenth,
	again bool) (is, would Course, to, wouldTo *Node) {
	if r.sets[set] == nil {
		return Held, Held, nil, nil
	}
	seen := *other
	seen.latency, seen.count, seen.given, seen.votes = g.latency, g.count, g.given, g.votes
	is, to = r.dry(r, g, set, session, timeout, since, again)
	would, wouldTo = r.dry(s.as, &seen, set, session, timeout, since, again)
	return is, would, to, wouldTo
}

// dry takes a command under the settings of another router and takes all of it back.
func (r *Router) dry(as *Router, g *CmdGroup, set int64, session string, timeout, since Tenth, again bool) (Course, *Node) {
	s, router, group := r.sets[set], *r, *g
	replicas, members, held := *s, make([]Node, len(s.members)), s.held
	for i, n := range s.members {
		members[i] = *n
	}
	defer func() {
		*r, *s, *g = router, replicas, group
		for i, n := range s.members {
			*n = members[i]
		}
		s.held = held
	}()
	var asked course
	r.Deployment, r.quiet, r.asks, r.spend, r.caller = as.Deployment, as.quiet, as.asks, as.spend, &asked
	r.Routers, r.Zero = router.Routers, router.Zero
	s.held = slices.Clone(held)
	c := r.Take("", g, set, session, timeout, since, again)
	switch {
	case c.Node != nil:
		return Sent, c.Node
	case c.over:
		return TurnedAway, nil
	case asked.probed:
		return Asked, nil
	}
	return Held, nil
}

// course is the caller of a command that is not really there.
type course struct{ probed bool }

func (*course) Dispatch(*Cmd, *Node, Tenth) {}
func (*course) Throttle(*Cmd, Tenth)        {}
func (*course) Fail(*Cmd)                   {}
func (c *course) Probe(*Node)               { c.probed = true }
func (*course) Close(*Node)                 {}
func (*course) Forget(*Node)                {}
func (*course) Watch()                      {}
func (*course) Tell(string)                 {}
func (*course) Wake(Tenth)                  {}
