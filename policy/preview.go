package policy

import "slices"

// ShadowSettings holds settings that are not in force, to preview the decisions that they would lead to.
type ShadowSettings struct {
	router *Router // created from the settings, for the values that New derives
}

// Disposition is the immediate result of submitting a command.
type Disposition uint8

// The values of Disposition.
const (
	Queued        Disposition = iota
	Dispatched                // sent to a host
	AwaitingProbe             // queued until a probe of a replica ends
	Rejected
)

// NewShadowSettings prepares settings for previews.
func NewShadowSettings(deployment Deployment, now TenthMs) *ShadowSettings {
	return &ShadowSettings{New(noopCaller{}, deployment, now)}
}

// MaxRetryAfter returns the retry delay that a throttled command would get; 0: none.
func (s *ShadowSettings) MaxRetryAfter() TenthMs { return s.router.MaxRetryAfter }

// Disposition returns the immediate result of submitting the command, and the host if it was dispatched.
func (c *Command) Disposition() (Disposition, *Host) {
	switch {
	case c.Host != nil:
		return Dispatched, c.Host
	case c.done:
		return Rejected, nil
	case c.probeCount > 0:
		return AwaitingProbe, nil
	}
	return Queued, nil
}

// Preview returns the disposition that the next command would have under other settings. group is the command's group in those
// settings, currentGroup the group in force, whose measurements are used; the other arguments are those of Submit. The preview runs
// Submit with the random numbers that the real command will get, then restores the previous state. No method of the Caller runs.
func (r *Router) Preview(
	shadow *ShadowSettings, group, currentGroup *CommandGroup, set int64, session string, deadline, sinceWrite TenthMs,
) (Disposition, *Host) {
	replicas := r.sets[set]
	if replicas == nil {
		return Queued, nil
	}
	defer r.restore(replicas, *r, *replicas, replicas.copyMembers())
	trial := *group
	trial.latency = currentGroup.latency

	settings, routerCount, positionEpoch := shadow.router, r.RouterCount, r.PositionEpoch
	r.Deployment, r.positionTTL = settings.Deployment, settings.positionTTL
	r.probesForReads = settings.probesForReads
	r.RouterCount, r.PositionEpoch, r.caller = routerCount, positionEpoch, noopCaller{}
	replicas.queue = slices.Clone(replicas.queue)
	return r.Submit("", &trial, set, session, deadline, sinceWrite).Disposition()
}

func (s *replicaSet) copyMembers() []Host {
	copies := make([]Host, len(s.members))
	for i, member := range s.members {
		copies[i] = *member
	}
	return copies
}

// restore reverts the changes of a preview to the router, a replica set and its members.
func (r *Router) restore(replicas *replicaSet, savedRouter Router, savedSet replicaSet, members []Host) {
	*r, *replicas = savedRouter, savedSet
	for i, member := range replicas.members {
		*member = members[i]
	}
}

// noopCaller is a Caller that does nothing, for previews.
type noopCaller struct{}

func (noopCaller) Dispatch(*Command, *Host, TenthMs) {}
func (noopCaller) RejectRetryable(*Command, TenthMs) {}
func (noopCaller) Fail(*Command)                     {}
func (noopCaller) Probe(*Host)                       {}
func (noopCaller) CloseIdleConns(*Host)              {}
func (noopCaller) ReleaseHost(*Host)                 {}
func (noopCaller) RequestHostList()                  {}
func (noopCaller) Broadcast(string)                  {}
func (noopCaller) ScheduleWakeUp(TenthMs)            {}
