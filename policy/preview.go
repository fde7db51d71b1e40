package policy

import "slices"

// ShadowSettings holds settings that are not in force, to preview what they would decide.
type ShadowSettings struct {
	router *Router // made from them, for what New derives
}

// Disposition is how a command fares in the call that takes it in.
type Disposition uint8

// The courses of a command.
const (
	Queued        Disposition = iota
	Dispatched                // dispatched
	AwaitingProbe             // queued while a replica is probed for it
	Rejected
)

// NewShadowSettings readies settings for previews.
func NewShadowSettings(deployment Deployment, now TenthMs) *ShadowSettings {
	return &ShadowSettings{New(noopCaller{}, deployment, now)}
}

// Comeback is the wait that a throttled command would be given; 0: none.
func (s *ShadowSettings) Comeback() TenthMs { return s.router.Comeback }

// Disposition says how a command has fared in the call that took it, and the host that it was sent to.
func (c *Command) Disposition() (Disposition, *Host) {
	switch {
	case c.Host != nil:
		return Dispatched, c.Host
	case c.done:
		return Rejected, nil
	case c.probes > 0:
		return AwaitingProbe, nil
	}
	return Queued, nil
}

// Preview says how a command that is taken next would fare under other settings. group is the command's group there, inForce
// the one in force, whose measurements it shares; the other arguments are those of Submit. The command takes the ordinary path,
// with the random numbers that the real one will draw; then all changes are undone, and the caller is asked for nothing.
func (r *Router) Preview(
	shape *ShadowSettings, group, inForce *CommandGroup, set int64, session string, timeout, since TenthMs, again bool,
) (Disposition, *Host) {
	replicas := r.sets[set]
	if replicas == nil {
		return Queued, nil
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
	return r.Submit("", &trial, set, session, timeout, since, again).Disposition()
}

func (s *replicaSet) copyMembers() []Host {
	copies := make([]Host, len(s.members))
	for i, member := range s.members {
		copies[i] = *member
	}
	return copies
}

// restore undoes what a preview changed in the router, a replica set and its members.
func (r *Router) restore(replicas *replicaSet, router Router, before replicaSet, members []Host) {
	*r, *replicas = router, before
	for i, member := range replicas.members {
		*member = members[i]
	}
}

// noopCaller is the caller of a command that isn't there.
type noopCaller struct{}

func (noopCaller) Dispatch(*Command, *Host, TenthMs) {}
func (noopCaller) Throttle(*Command, TenthMs)        {}
func (noopCaller) Fail(*Command)                     {}
func (noopCaller) Probe(*Host)                       {}
func (noopCaller) Close(*Host)                       {}
func (noopCaller) Forget(*Host)                      {}
func (noopCaller) Watch()                            {}
func (noopCaller) Tell(string)                       {}
func (noopCaller) Wake(TenthMs)                      {}
