package control

import (
	"sync/atomic"

	"ferrypitch/internal/metrics"
	"ferrypitch/internal/rpc"
)

// Counters count events since the start of the process.
type Counters struct {
	Calls                atomic.Int64 // HTTP calls of hosts and operators to this member
	CallsRejected        atomic.Int64 // of these, answered with a status of 400 or above
	CallsForwarded       atomic.Int64 // calls forwarded to the leader
	CallsExpired         atomic.Int64 // calls whose callers waited no more when their turn came
	Heartbeats           atomic.Int64 // valid heartbeats of hosts, processed here
	LateHeartbeats       atomic.Int64 // first heartbeats of hosts whose address another has by now
	Proposals            atomic.Int64 // changes proposed to the log
	ProxySnapshots       atomic.Int64 // snapshots that began to be sent to proxies
	UpdatesDeferred      atomic.Int64 // updates of the log that a proxy did not take at once, and got later with others
	LeasesGranted        atomic.Int64 // to proxies
	LeasesRejected       atomic.Int64 // this member was not the leader
	LeasesPostponed      atomic.Int64 // the proxy had not applied the latest revocation of a primary
	QuotaRequests        atomic.Int64 // requests of proxies for tokens of tenants that were answered
	QuotaRequestsIgnored atomic.Int64 // of these, without an answer, since this member did not hold the leader's lease
	HostQueries          atomic.Int64 // commands to hosts
	Promotions           atomic.Int64 // calls to the platform
	TermsLed             atomic.Int64 // how often this member became the leader
	DiskErrors           atomic.Int64 // failed writes to the write-ahead log, each of which is retried
	DiskDamages          atomic.Int64 // checks of the write-ahead log that found damage on disk, which was mended
	StateDivergences     atomic.Int64 // changes that did not fit this member's state

	FramesRefused    atomic.Int64      // frames of other processes that need a newer version of the protocol
	CommitDurations  metrics.Histogram // from proposals to their application here
	PersistDurations metrics.Histogram // of writes to the write-ahead log

	Discarded [discardReasonCount]atomic.Int64 // messages that were ignored or rejected, by reason
}

// discardReason is why a message of another process was ignored or rejected.
type discardReason int

const (
	requestUnknownSender     discardReason = iota // the sender is no member, learner or seed, or comes from another address
	requestMisdirected                            // it is for another member, or for the leader of another term
	requestRepeated                               // it was processed before
	requestOverLimit                              // too many calls are being forwarded from here
	responseUnknownCall                           // no call of this process has its serial
	responseLate                                  // the call is no longer pending: too late, or a duplicate
	responseOtherIncarnation                      // it answers a call of an earlier process or of another member
	responseOtherMember                           // it is not from the member that was asked
	responseMalformed                             // its HTTP status is invalid
	messageWrongSender                            // a consensus message that comes from another address than its sender's
	frameUnknown                                  // a frame with nothing in it that this version knows
	resultUnsolicited                             // a result of a host or the platform that no pending query of this term has
	discardReasonCount
)

// discardCounterNames are the names of the counters in the output of the status command.
var discardCounterNames = [discardReasonCount]string{
	requestUnknownSender:     "discarded_requests_unknown_sender",
	requestMisdirected:       "discarded_requests_misdirected",
	requestRepeated:          "discarded_requests_repeated",
	requestOverLimit:         "discarded_requests_over_limit",
	responseUnknownCall:      "discarded_responses_unknown_call",
	responseLate:             "discarded_responses_late",
	responseOtherIncarnation: "discarded_responses_other_incarnation",
	responseOtherMember:      "discarded_responses_other_member",
	responseMalformed:        "discarded_responses_malformed",
	messageWrongSender:       "discarded_consensus_wrong_sender",
	frameUnknown:             "discarded_frames_unknown",
	resultUnsolicited:        "discarded_results_unsolicited",
}

func (s *Server) discard(reason discardReason) { s.Discarded[reason].Add(1) }

// counters returns all counters by their names in the output of the status command. Those of fail-over are present while this
// member leads.
func (s *Server) counters() map[string]int64 {
	all := map[string]int64{
		"calls":              s.Calls.Load(),
		"calls_rejected":     s.CallsRejected.Load(),
		"calls_forwarded":    s.CallsForwarded.Load(),
		"calls_expired":      s.CallsExpired.Load(),
		"heartbeats":         s.Heartbeats.Load(),
		"late_heartbeats":    s.LateHeartbeats.Load(),
		"proposals":          s.Proposals.Load(),
		"proxy_snapshots":    s.ProxySnapshots.Load(),
		"updates_deferred":   s.UpdatesDeferred.Load(),
		"leases_granted":     s.LeasesGranted.Load(),
		"leases_rejected":    s.LeasesRejected.Load(),
		"leases_postponed":   s.LeasesPostponed.Load(),
		"host_queries":       s.HostQueries.Load(),
		"promotion_requests": s.Promotions.Load(),
		"terms_led":          s.TermsLed.Load(),
		"disk_errors":        s.DiskErrors.Load(),
		"frames_refused":     s.FramesRefused.Load(),
		"disk_damages":       s.DiskDamages.Load(),
		"state_divergences":  s.StateDivergences.Load(),

		"snapshot_transfers":           s.consensus.SnapshotTransfers,
		"quota_requests":               s.QuotaRequests.Load(),
		"quota_requests_ignored":       s.QuotaRequestsIgnored.Load(),
		"snapshots_installed":          s.consensus.SnapshotsInstalled,
		"snapshot_chunks_sent":         s.consensus.ChunksSent,
		"snapshot_chunks_ignored":      s.consensus.ChunksIgnored,
		"disk_handovers":               s.consensus.DiskHandovers,
		"pending_writes":               int64(s.consensus.PendingWriteCount()),
		"discarded_consensus_messages": s.consensus.DiscardedMessages,

		"rpc_bytes_sent":     rpc.BytesSent.Load(),
		"rpc_bytes_received": rpc.BytesReceived.Load(),
	}
	for reason, name := range discardCounterNames {
		all[name] = s.Discarded[reason].Load()
	}
	if s.environment.DroppedFrames != nil {
		all["rpc_frames_dropped"] = s.environment.DroppedFrames()
	}
	if s.environment.RefusedFrames != nil {
		all["rpc_refusals_received"] = s.environment.RefusedFrames()
	}
	if s.leading {
		all["quota_tokens_lent"], all["quota_tokens_expired"] = s.quota.lender.LentTokens, s.quota.lender.ExpiredTokens
		s.addFailoverCounters(all)
	}
	return all
}

func (s *Server) addFailoverCounters(all map[string]int64) {
	counters := &s.coordinator.Counters
	all["primaries_suspected"] = counters.Suspected
	all["suspicions_cleared"] = counters.Cleared
	all["failovers"] = counters.Lost
	all["switchovers"] = counters.Switchovers
	all["hosts_promoted"] = counters.Promoted
	all["failover_waits"] = counters.WaitingTicks
	all["replicas_resumed"] = counters.Resumed
	all["replicas_missing"] = counters.MarkedMissing
	all["failover_evaluations"] = counters.Evaluated
}
