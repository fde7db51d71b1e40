package proxy

import (
	"time"

	"ferrypitch/internal/config"
	"ferrypitch/internal/proxy/position"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// defaultMaxConns is how many connections a host accepts from all proxies if the configuration does not say.
const defaultMaxConns = 32

// primaryEpoch identifies the period during which one host is the primary of its service. It is the log index of the change that
// appointed the host.
type primaryEpoch uint64

// noEpoch means that a host is not treated as the primary.
const noEpoch primaryEpoch = 0

// service is a set of hosts with one primary.
type service struct {
	name          string
	policySet     int64 // number of its replica set in calls to the policy
	primary       statemachine.Primary
	positions     position.Tracker // known log positions of the primary
	acknowledged  wire.Position    // lower bound of the last write that a primary has acknowledged through this proxy
	unconfirmed   wire.Position    // upper bound of the acknowledged writes that no known replica has confirmed
	confirmations confirmations    // acknowledgements that wait for a known replica
	maxConns      int              // connections that each host accepts from all proxies
	usedBySession bool             // a session has submitted a statement for the service

	lastTenant string // tenant of the statement submitted last
}

// isPrimary reports whether a host is the primary according to the log, whether or not the lease is valid.
func (svc *service) isPrimary(hostID string) bool {
	return svc.primary.Host == hostID && !svc.primary.Revoked
}

// isCurrentEpoch reports whether epoch is the current epoch and the primary has not been revoked.
func (svc *service) isCurrentEpoch(epoch primaryEpoch) bool {
	return primaryEpoch(svc.primary.ChangedIndex) == epoch && !svc.primary.Revoked
}

// epochOf returns the current epoch if the host may be treated as the primary at this moment, otherwise noEpoch.
func (s *Server) epochOf(pool *hostPool) primaryEpoch {
	if !pool.service.isPrimary(pool.ID) || !s.leaseValid() {
		return noEpoch
	}
	return primaryEpoch(pool.service.primary.ChangedIndex)
}

// primaryEpochValid reports whether the primary of epoch may be treated as such at this moment.
func (s *Server) primaryEpochValid(svc *service, epoch primaryEpoch) bool {
	return svc.isCurrentEpoch(epoch) && s.leaseValid()
}

// route is a route of the configuration in force, with the policy's command groups for its statements.
type route struct {
	config.Route
	service        *service
	deadline       time.Duration
	stalenessBound policy.TenthMs // 0: a read must include every acknowledged write
	readsOwnWrites bool

	readGroup   *policy.CommandGroup // reads with the route's consistency
	strongGroup *policy.CommandGroup // reads that must include every acknowledged write
	writeGroup  *policy.CommandGroup
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
	r.strongGroup = newGroup(r, policy.Strong, retry.Read)
	r.writeGroup = newGroup(r, policy.Write, retry.Write)
	switch {
	case r.stalenessBound == 0:
		r.readGroup = r.strongGroup
	case r.readsOwnWrites:
		r.readGroup = newGroup(r, policy.ReadYourWrites, retry.Read)
	default:
		r.readGroup = newGroup(r, policy.BoundedStaleness, retry.Read)
	}
	return r
}

// newGroup creates the policy's command group for the statements of a route that need the same consistency.
func newGroup(r *route, consistency policy.Consistency, operation retry.Operation) *policy.CommandGroup {
	idempotency := policy.NotIdempotent
	if retry.Idempotent(operation) {
		idempotency = policy.Idempotent
	}
	group := &policy.CommandGroup{
		IdempotencyClass: idempotency,
		ConsistencyLevel: consistency,
		MaxStaleness:     r.stalenessBound,
		Timeout:          millisecondsToTenths(r.DeadlineMs),
	}
	group.SetPriority(max(0, r.Priority))
	return group
}
