package proxy

import (
	"time"

	"ferrypitch/internal/config"
	"ferrypitch/internal/proxy/position"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/statemachine"
	"ferrypitch/policy"
)

const (
	// defaultMaxConns is how many connections a host takes of all proxies, where the configuration does not say.
	defaultMaxConns = 32

	// lateShare is what an answer past its latency target is worth, as a part of one in time.
	lateShare = 0.5

	// defaultTargetShare of a route's deadline is its latency target, where the configuration gives none.
	defaultTargetShare = 1.0 / 4
)

// primaryEpoch is the period in which one host is the primary of its service, named by the log index of the change that
// appointed it.
type primaryEpoch uint64

// noEpoch stands for a host that is not treated as the primary.
const noEpoch primaryEpoch = 0

// service is a set of hosts with one primary.
type service struct {
	name      string
	policySet int64 // number of its replica set in calls of the policy
	primary   statemachine.Primary
	positions position.Tracker // of the primary
	maxConns  int              // at each host, of all proxies
	used      bool             // a session has asked for it

	lastTenant string // whose session has asked for it last
}

// isPrimary says that a host is the primary by the log, whether or not the lease is valid.
func (svc *service) isPrimary(hostID string) bool {
	return svc.primary.Host == hostID && !svc.primary.Revoked
}

// inEpoch says that an epoch has not ended.
func (svc *service) inEpoch(epoch primaryEpoch) bool {
	return primaryEpoch(svc.primary.ChangedIndex) == epoch && !svc.primary.Revoked
}

// epochOf returns the epoch in which a host may be treated as the primary at this moment; noEpoch: it may not.
func (s *Server) epochOf(pool *hostPool) primaryEpoch {
	if !pool.service.isPrimary(pool.ID) || !s.leaseValid() {
		return noEpoch
	}
	return primaryEpoch(pool.service.primary.ChangedIndex)
}

// mayActOn says that the primary of an epoch may be treated as such at this moment.
func (s *Server) mayActOn(svc *service, epoch primaryEpoch) bool {
	return svc.inEpoch(epoch) && s.leaseValid()
}

// route is a route of the configuration in force, with what the policy needs for its statements.
type route struct {
	config.Route
	service        *service
	deadline       time.Duration
	stalenessBound policy.TenthMs // 0: a read must see every write
	readsOwnWrites bool

	readGroup  *policy.CommandGroup // reads as the route allows
	freshGroup *policy.CommandGroup // reads that must see every write
	writeGroup *policy.CommandGroup
}

func (s *Server) newRoute(configured config.Route) *route {
	r := &route{
		Route:          configured,
		service:        s.serviceNamed(configured.Service),
		deadline:       time.Duration(configured.DeadlineMs * float64(time.Millisecond)),
		readsOwnWrites: configured.Kind == config.KindReadYourWrites,
	}
	if configured.Kind != config.KindLeader {
		r.stalenessBound = millisecondsToTenths(configured.StalenessMs)
	}
	r.freshGroup = s.newGroup(r, policy.Strong, retry.Read)
	r.writeGroup = s.newGroup(r, policy.Write, retry.Write)
	switch {
	case r.stalenessBound == 0:
		r.readGroup = r.freshGroup
	case r.readsOwnWrites:
		r.readGroup = s.newGroup(r, policy.ReadYourWrites, retry.Read)
	default:
		r.readGroup = s.newGroup(r, policy.BoundedStaleness, retry.Read)
	}
	return r
}

// newGroup readies the policy for statements of a route that have the same needs.
func (s *Server) newGroup(r *route, need policy.Consistency, operation retry.Operation) *policy.CommandGroup {
	effect := policy.NotIdempotent
	if retry.Idempotent(operation) {
		effect = policy.Idempotent
	}
	target := millisecondsToTenths(r.TargetMs)
	if target <= 0 {
		target = millisecondsToTenths(r.DeadlineMs * defaultTargetShare)
	}
	return s.policy.InitGroup(&policy.CommandGroup{
		Effect:    effect,
		Need:      need,
		Bound:     r.stalenessBound,
		Target:    target,
		Timeout:   millisecondsToTenths(r.DeadlineMs),
		Benefit:   1 / (1 + max(0, r.Priority)),
		LateShare: lateShare,
	})
}
