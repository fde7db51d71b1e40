package policy

import "slices"

// Shape holds settings that are not in force, to preview what they would decide.
type Shape struct {
	router *Router // made from them, for what New derives
}

// Course is how a command fares in the call that takes it in.
type Course uint8

// The courses of a command.
const (
	Held  Course = iota
	Sent         // dispatched
	Asked        // queued while a replica is probed for it
	TurnedAway
)

// NewShape readies settings for previews.
func NewShape(deployment Deployment, now Tenth) *Shape {
	return &Shape{New(noopCaller{}, deployment, now)}
}

// Comeback is the wait that a throttled command would be given; 0: none.
func (s *Shape) Comeback() Tenth { return s.router.Comeback }

// Course says how a command has fared in the call that took it, and the host that it was sent to.
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

// Preview says how a command that is taken next would fare under other settings. group is the command's group there, inForce
// the one in force, whose measurements it shares; the other arguments are those of Take. The command takes the ordinary path,
// with the random numbers that the real one will draw; then all changes are undone, and the caller is asked for nothing.
func (r *Router) Preview(
	shape *Shape, group, inForce *CmdGroup, set int64, session string, timeout, since Tenth, again bool,
) (Course, *Node) {
	replicas := r.sets[set]
	if replicas == nil {
		return Held, nil
	}
	defer r.restore(replicas, *r, *replicas, replicas.copyMembers())
	trial := *group
	trial.meanLatency, trial.samples = inForce.meanLatency, inForce.samples
	trial.firstTryTime, trial.firstTryVotes = inForce.firstTryTime, inForce.firstTryVotes

	next, routers, zero := shape.router, r.Routers, r.Zero
	r.Deployment, r.positionTTL = next.Deployment, next.positionTTL
	r.probesForReads, r.probeSpend = next.probesForReads, next.probeSpend
	r.Routers, r.Zero, r.caller = routers, zero, noopCaller{}
	replicas.queue = slices.Clone(replicas.queue)
	return r.Take("", &trial, set, session, timeout, since, again).Course()
}

func (s *replicaSet) copyMembers() []Node {
	copies := make([]Node, len(s.members))
	for i, member := range s.members {
		copies[i] = *member
	}
	return copies
}

// restore undoes what a preview changed in the router, a replica set and its members.
func (r *Router) restore(replicas *replicaSet, router Router, before replicaSet, members []Node) {
	*r, *replicas = router, before
	for i, member := range replicas.members {
		*member = members[i]
	}
}

// noopCaller is the caller of a command that isn't there.
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
