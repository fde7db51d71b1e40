package policy

import "slices"

// Shape is a deployment whose settings are watched before they are put in force.
type Shape struct {
	router *Router // that would be, for what it makes of its settings
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
func NewShape(d Deployment, now Tenth) *Shape { return &Shape{New(noopCaller{}, d, now)} }

// Comeback is the time that a throttled command would be given.
func (s *Shape) Comeback() Tenth { return s.router.Comeback }

// Course says how a command has fared in the call that took it.
func (c *Cmd) Course() (Course, *Node) {
	switch {
	case c.Node != nil:
		return Sent, c.Node
	case c.done:
		return TurnedAway, nil
	case c.probes > 0:
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
	group.meanLatency, group.samples, group.firstTryTime, group.firstTryVotes = like.meanLatency, like.samples, like.firstTryTime, like.firstTryVotes
	defer func() {
		*r, *s = router, replicas
		for i, n := range s.members {
			*n = members[i]
		}
	}()
	r.Deployment, r.positionTTL, r.probesForReads, r.probeSpend, r.caller = as.router.Deployment, as.router.positionTTL, as.router.probesForReads, as.router.probeSpend, noopCaller{}
	r.Routers, r.Zero = router.Routers, router.Zero
	s.queue = slices.Clone(s.queue)
	return r.Take("", &group, set, session, timeout, since, again).Course()
}

// noopCaller is the caller of a command that is not really there.
type noopCaller struct{}

func (noopCaller) Dispatch(*Cmd, *Node, Tenth) {}
func (noopCaller) Throttle(*Cmd, Tenth)        {}
func (noopCaller) Fail(*Cmd)                   {}
func (noopCaller) Probe(*Node)                 {}
func (noopCaller) Close(*Node)                 {}
func (noopCaller) Forget(*Node)                {}
func (noopCaller) Watch()                      {}
func (noopCaller) Tell(string)                 {}
func (noopCaller) Wake(Tenth)                  {}
