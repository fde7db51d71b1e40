package failover

// Times are in milliseconds.

// Queries to hosts.
const (
	// queryTimeoutMs is how long a host may take to answer a query. The caller that sends the query must use the same timeout.
	queryTimeoutMs = 350
	// pendingQueryTimeoutMs is the age at which a pending query is given up: its result is assumed lost.
	pendingQueryTimeoutMs = 2 * queryTimeoutMs
	// queryIntervalMs is the interval between equal queries to one host during a failover or switchover.
	queryIntervalMs = 250
	// idleQueryIntervalMs is the interval between queries that are not urgent.
	idleQueryIntervalMs = 4 * queryIntervalMs
	// overdueQueryIntervalMs is the interval between queries to a replica that has not answered for replicaWaitMs and may stay
	// down for long.
	overdueQueryIntervalMs = 8 * queryIntervalMs
	// staleCommandMs is how long a command without a clear result may still be executed, counted from when its host last
	// failed to answer: a stalled host or a network that delays packets causes old commands to run late.
	staleCommandMs = 1000
)

// Failure detection of primaries and replicas.
const (
	// minHeartbeatIntervalMs is the lower bound of the configured heartbeat interval.
	minHeartbeatIntervalMs = 100
	// suspicionTTLMs is how long a proxy's report that it cannot reach the primary remains valid.
	suspicionTTLMs = 3000
	// suspectProbeIntervalMs is the interval between probes of a suspected primary. It is short because failover waits for the
	// probes.
	suspectProbeIntervalMs = 40
	// hedgeDelayMs is how long a probe of a suspected primary may be unanswered before a second one is sent in parallel, over
	// a separate connection, so that one lost packet does not count as a failed probe.
	hedgeDelayMs = 100
	// refusalPeriodMs is how long a replica's machine must refuse connections before its process counts as gone.
	refusalPeriodMs = suspicionTTLMs
	// removedHostShutdownMs is how long after its removal a host's process may still receive from the primary: it announces
	// that it leaves and then terminates.
	removedHostShutdownMs = 500
	// terminatedHostRemovalMs is how long a host that left without draining first must be marked missing before it is removed.
	terminatedHostRemovalMs = 60_000
	// firstHeartbeatMs is how long after its start a host's first heartbeat may still be outstanding: two lost calls with a
	// one-second wait for each, and the third attempt.
	firstHeartbeatMs = 3000
	// RegistrationGraceMs is how long after the start of the whole system a host's first heartbeat may still be outstanding.
	RegistrationGraceMs = firstHeartbeatMs
	// refusalTTLMs is how long a replica's refused connection remains valid without another one.
	refusalTTLMs = 8 * queryIntervalMs
	// primaryReportTTLMs is how long a host's report that it is primary remains valid while the service has no known primary.
	primaryReportTTLMs = 2 * queryTimeoutMs
	// newerPrimaryTTLMs is how long a host's report that it is primary remains valid while the log names another primary.
	newerPrimaryTTLMs = 2 * queryIntervalMs
)

// Failover and switchover.
const (
	// proposalTimeoutMs is the age at which a proposal that was not applied counts as lost and may be repeated.
	proposalTimeoutMs = 1000
	// replicaWaitMs is how long a switchover waits for a replica to pause, resume or catch up before it continues without the
	// replica.
	replicaWaitMs = 1200
	// switchoverTimeoutMs is how long a switchover may run before its promotion is requested.
	switchoverTimeoutMs = 2 * promotionTimeoutMs
	// newPrimaryReportTTLMs is the maximum age, at the start of a failover, of a host's report that it is primary. A host with an
	// older report is not accepted as the new primary.
	newPrimaryReportTTLMs = 2 * promotionTimeoutMs
	// inheritedNomineeWaitMs is how long a failover waits for the nominee of a previous leader to become primary before it
	// nominates another host.
	inheritedNomineeWaitMs = 2 * queryTimeoutMs
	// catchUpPollIntervalMs is the interval between queries to a nominee once all other replicas are paused.
	catchUpPollIntervalMs = 30
)

// Promotion.
const (
	// promotionRetryMs is the interval between promotion requests for one host.
	promotionRetryMs = 700
	// promotionTimeoutMs is how long a host may take to become primary after the platform accepted its promotion; then another
	// host is chosen.
	promotionTimeoutMs = 5000
	// unclearPromotionTimeoutMs replaces promotionTimeoutMs after PromotionUnknown: the request may never have arrived.
	unclearPromotionTimeoutMs = 2 * promotionRetryMs
	// latePromotionMs is how long after its request a promotion without a clear answer may still be carried out.
	latePromotionMs = promotionTimeoutMs + 1000
	// rejectionPeriodMs is how long a host is excluded as nominee after its promotion was rejected or it failed to answer as
	// nominee.
	rejectionPeriodMs = 2 * queryTimeoutMs
	// promotedPollIntervalMs is the interval between status queries to a host being promoted.
	promotedPollIntervalMs = 90
	// fastPollIntervalMs replaces promotedPollIntervalMs once the host is expected to be primary, by its heartbeat or by the
	// duration of the last promotion. It is also the interval between queries to a nominee that is catching up.
	fastPollIntervalMs = 35
)

// failedProbeThreshold is how many consecutive failed probes make a suspected primary lost.
const failedProbeThreshold = 2

// maxTermGap limits how far a host's term may exceed the primary's to be plausible. Each promotion raises the term by one.
const maxTermGap = 1000

// A host being promoted is polled at fastPollIntervalMs once this fraction of the last promotion's duration has passed.
const (
	promotionDueNumerator   = 4
	promotionDueDenominator = 5
)

// heartbeatTimeoutMs returns the age at which a host's last heartbeat is stale: two heartbeats were missed, and the second had
// queryTimeoutMs to arrive.
func (c *Coordinator) heartbeatTimeoutMs() int64 {
	return 2*c.heartbeatIntervalMs + queryTimeoutMs
}
