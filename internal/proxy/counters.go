package proxy

import (
	"sync/atomic"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/gossip"
	"ferrypitch/internal/metrics"
	"ferrypitch/internal/rpc"
	"ferrypitch/policy"
)

// counters count since the proxy's start. Socket readers add to some of them, so they are atomic.
type counters struct {
	sessionsAccepted  atomic.Int64 // client sockets
	malformedInputs   atomic.Int64 // messages and datagrams that broke a protocol
	unknownDatabase   atomic.Int64 // sessions and statements for a database without a route
	clientDisconnects atomic.Int64 // clients that left before their answer

	deniedSessions       atomic.Int64 // clients whose key no tenant has
	revokedSessions      atomic.Int64 // sessions at rest ended since their key was taken away
	revokedStatements    atomic.Int64 // statements not sent since their key was taken away, or may have been
	revokedTransactions  atomic.Int64 // idle transactions rolled back since their key was taken away
	connsClosedForTenant atomic.Int64 // connections to hosts closed to open one for another tenant

	statements             atomic.Int64 // that go to a host
	statementsQueued       atomic.Int64 // for which no host was available at once
	dispatches             atomic.Int64 // attempts; those beyond one a statement are retries
	rejected               atomic.Int64 // statements of which nothing is kept
	throttled              atomic.Int64 // statements for which the policy found no host in time
	failed                 atomic.Int64 // statements that the policy gave up, which may have run
	leaseExpiredBeforeSend atomic.Int64 // statements not sent, since a lease or a primary's epoch had ended
	rejectedAtLeaseLoss    atomic.Int64 // statements that waited for a host when the lease expired
	floorUnknown           atomic.Int64 // reads that had to go to the primary, since no floor (least position to see) was known
	acksAfterRevocation    atomic.Int64 // writes acknowledged by a primary that was revoked meanwhile
	responsesLost          atomic.Int64 // transactions ended since a response counts as lost
	unexpectedResponses    atomic.Int64 // of hosts, to nothing or of the wrong form

	connsDialed     atomic.Int64 // to hosts
	connsFailed     atomic.Int64 // of these, those that did not open
	connsRefused    atomic.Int64 // of these, those that a host refused since it is at its limit
	setupStatements atomic.Int64 // sent to bring a connection to a session's values
	setupErrors     atomic.Int64
	suspectReports  atomic.Int64 // of primaries that can't be reached

	quotaRefused  atomic.Int64 // operations refused, since their tenant was at its limit
	quotaWaits    atomic.Int64 // operations held until the lender of tokens had answered
	quotaUnknown  atomic.Int64 // operations rejected since no lender had answered
	quotaRequests atomic.Int64 // to the lender of tokens

	leaseRequests  atomic.Int64
	leasesGranted  atomic.Int64
	controlLinks   atomic.Int64 // to a leader of the control plane
	leaderSilences atomic.Int64 // of these, those left since the leader sent nothing for too long
	logGaps        atomic.Int64 // log updates that did not follow on the state
	stateDiverged  atomic.Int64 // log updates that did not fit the state
	configUpdates  atomic.Int64

	statementDurations metrics.Histogram // from the arrival of statements to their answers
	hostResponses      metrics.Histogram // from sending statements to hosts to their responses

	outcomes   [policy.Misrouted + 1]atomic.Int64 // of attempts
	errorsSent [errcode.KindCount]atomic.Int64    // of the proxy's own
}

// values are the counters by the names that the status shows. membership may be nil.
func (c *counters) values(membership *gossip.Membership) map[string]int64 {
	values := map[string]int64{
		"sessions_accepted":  c.sessionsAccepted.Load(),
		"malformed_inputs":   c.malformedInputs.Load(),
		"unknown_database":   c.unknownDatabase.Load(),
		"client_disconnects": c.clientDisconnects.Load(),

		"sessions_denied":               c.deniedSessions.Load(),
		"sessions_revoked":              c.revokedSessions.Load(),
		"statements_revoked":            c.revokedStatements.Load(),
		"transactions_revoked":          c.revokedTransactions.Load(),
		"connections_closed_for_tenant": c.connsClosedForTenant.Load(),

		"statements":                c.statements.Load(),
		"statements_queued":         c.statementsQueued.Load(),
		"dispatches":                c.dispatches.Load(),
		"rejected":                  c.rejected.Load(),
		"throttled":                 c.throttled.Load(),
		"failed":                    c.failed.Load(),
		"lease_expired_before_send": c.leaseExpiredBeforeSend.Load(),
		"rejected_at_lease_loss":    c.rejectedAtLeaseLoss.Load(),
		"floor_unknown":             c.floorUnknown.Load(),
		"acks_after_revocation":     c.acksAfterRevocation.Load(),
		"responses_lost":            c.responsesLost.Load(),
		"unexpected_responses":      c.unexpectedResponses.Load(),

		"connections_dialed":  c.connsDialed.Load(),
		"connections_failed":  c.connsFailed.Load(),
		"connections_refused": c.connsRefused.Load(),
		"setup_statements":    c.setupStatements.Load(),
		"setup_errors":        c.setupErrors.Load(),
		"suspect_reports":     c.suspectReports.Load(),

		"quota_refused":  c.quotaRefused.Load(),
		"quota_waits":    c.quotaWaits.Load(),
		"quota_unknown":  c.quotaUnknown.Load(),
		"quota_requests": c.quotaRequests.Load(),

		"lease_requests":     c.leaseRequests.Load(),
		"leases_granted":     c.leasesGranted.Load(),
		"control_links":      c.controlLinks.Load(),
		"leader_silences":    c.leaderSilences.Load(),
		"rpc_bytes_sent":     rpc.BytesSent.Load(),
		"rpc_bytes_received": rpc.BytesReceived.Load(),
		"log_gaps":           c.logGaps.Load(),
		"state_divergences":  c.stateDiverged.Load(),
		"config_updates":     c.configUpdates.Load(),
	}
	if membership != nil {
		values["gossip_probes"], values["gossip_acks_discarded"] = membership.Probes, membership.DiscardedAcks
	}
	for outcome := range c.outcomes {
		values["outcome_"+policy.Outcome(outcome).String()] = c.outcomes[outcome].Load()
	}
	for kind := range c.errorsSent {
		if sent := c.errorsSent[kind].Load(); sent > 0 {
			values["error_"+errcode.Kind(kind).String()] = sent
		}
	}
	return values
}
