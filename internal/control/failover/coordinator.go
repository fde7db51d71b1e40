package failover

import (
	"ferrypitch/internal/statemachine"
)

// Actions lists the work that the caller of Tick or HandleEvents must do. The caller reports the result of each query to
// QueryFinished and of each promotion to PromotionFinished.
type Actions struct {
	Proposals  []statemachine.Change
	Queries    []HostQuery
	Promotions []Promotion
}

// Counters are totals since the coordinator was created.
type Counters struct {
	Suspected     int64 // primaries that a proxy reported as unreachable
	Cleared       int64 // suspected primaries that answered a probe
	Lost          int64 // evaluations that found a primary lost
	Switchovers   int64 // evaluations that nominated the successor of a draining primary
	Promoted      int64 // promotions that the platform accepted
	Resumed       int64 // evaluations that found all replicas of a service receiving again
	MarkedMissing int64 // evaluations that marked a replica as missing
	WaitingTicks  int64 // evaluations, at ticks and events, of failovers in which no host could be chosen yet
	Evaluated     int64 // evaluations of a service
}

// Coordinator makes the failover decisions of the control plane's leader. A member creates one when it becomes leader and
// discards it when it loses leadership. It is not safe for concurrent use.
type Coordinator struct {
	memberID            string
	leaderTerm          uint64 // the control plane's term in which this member is leader
	leaderSince         int64  // when this member became leader
	heartbeatIntervalMs int64
	lastSerial          uint64 // serial number of the last query or promotion
	services            map[string]*serviceState
	heartbeats          map[string]heartbeat // by host
	schedule            schedule

	// RegistrationGraceUntil ends the grace period after a start of the whole system, during which hosts may be running that
	// have not sent their first heartbeat; 0 means no grace period. Until then no switchover starts, and a lost primary is
	// replaced only by a host that has received everything the old primary had.
	RegistrationGraceUntil int64
	// WritesAreConfirmed says that during a switchover each proxy acknowledges a write only once the nominee has confirmed it. If it is
	// false, writes are stopped before the nominee's promotion is requested. New sets it.
	WritesAreConfirmed bool
	// Counters may be read between calls.
	Counters Counters
	// OnEvent is called synchronously for each event. New sets it to a no-op.
	OnEvent func(Event)
}

// New returns the coordinator of a member that became leader of the control plane at nowMs, in leaderTerm. Hosts send a
// heartbeat every heartbeatIntervalMs.
func New(memberID string, leaderTerm uint64, heartbeatIntervalMs, nowMs int64) *Coordinator {
	return &Coordinator{
		memberID:            memberID,
		leaderTerm:          leaderTerm,
		leaderSince:         nowMs,
		heartbeatIntervalMs: max(heartbeatIntervalMs, minHeartbeatIntervalMs),
		services:            map[string]*serviceState{},
		heartbeats:          map[string]heartbeat{},
		schedule:            newSchedule(),
		OnEvent:             func(Event) {},
		WritesAreConfirmed:  true,
	}
}

// ChangeApplied records that a change to a service was applied, so its proposal is no longer pending.
func (c *Coordinator) ChangeApplied(service string) {
	c.service(service).proposedAt = 0
	c.schedule.wake(service)
}

// ClearPendingProposals marks every service as having no pending proposal. The caller uses it after a change that names no
// service was applied.
func (c *Coordinator) ClearPendingProposals() {
	for _, service := range c.services {
		service.proposedAt = 0
	}
}

// Active reports whether any service is in a failover or switchover, has a suspected primary or awaits the result of a query.
// The caller should then tick more often.
func (c *Coordinator) Active(state *statemachine.State) bool {
	for name := range c.schedule.active {
		service, primary := c.service(name), state.Primaries[name]
		if primary.Revoked || primary.Nominee != "" || service.isProbing() {
			return true
		}
	}
	return false
}

// NewProbe returns a status query whose result the caller handles itself instead of passing it to QueryFinished.
func (c *Coordinator) NewProbe(service, host string) HostQuery {
	return HostQuery{Service: service, Host: host, Command: Stat, LeaderTerm: c.leaderTerm, Serial: c.nextSerial()}
}

func (c *Coordinator) nextSerial() uint64 {
	c.lastSerial++
	return c.lastSerial
}
