package policy

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
func NewShape(d Deployment, now Tenth) *Shape { return &Shape{New(silent{}, d, now)} }

// Comeback is the time that a throttled command would be given.
func (s *Shape) Comeback() Tenth { return s.as.Comeback }

// Course says how a command has fared in the call that took it.
func (c *Cmd) Course() (Course, *Node) {
	switch {
	case c.Node != nil:
		return Sent, c.Node
	case c.over:
		return TurnedAway, nil
	case c.asks > 0:
		return Asked, nil
	}
	return Held, nil
}

// Preview says how a command that is taken next would fare under other settings, g being its group there and like
// the one in force. It goes the module's own path with the chance that the command itself will have; then all of
// it is taken back: nothing is asked of the caller, and nothing that decides has changed.
func (r *Router) Preview(as *Shape, g, like *CmdGroup, set int64, session string, timeout, since Tenth, again bool) (Course, *Node) {
	s := r.sets[set]
	if s == nil {
		return Held, nil
	}
	router, replicas, members, group := *r, *s, make([]Node, len(s.members)), *g
	for i, n := range s.members {
		members[i] = *n
	}
	group.latency, group.count, group.given, group.votes = like.latency, like.count, like.given, like.votes
	defer func() {
		*r, *s = router, replicas
		for i, n := range s.members {
			*n = members[i]
		}
	}()
	r.Deployment, r.quiet, r.asks, r.spend, r.caller = as.as.Deployment, as.as.quiet, as.as.asks, as.as.spend, silent{}
	r.Routers, r.Zero = router.Routers, router.Zero
	s.held = slices.Clone(s.held)
	return r.Take("", &group, set, session, timeout, since, again).Course()
}

// silent is the caller of a command that is not really there.
type silent struct{}

func (silent) Dispatch(*Cmd, *Node, Tenth) {}
func (silent) Throttle(*Cmd, Tenth)        {}
func (silent) Fail(*Cmd)                   {}
func (silent) Probe(*Node)                 {}
func (silent) Close(*Node)                 {}
func (silent) Forget(*Node)                {}
func (silent) Watch()                      {}
func (silent) Tell(string)                 {}
func (silent) Wake(Tenth)                  {}
