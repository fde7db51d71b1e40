package control

import (
	"sync/atomic"

	"ferrypitch/internal/metrics"
	"ferrypitch/internal/rpc"
)

// Counters count events since the start of the process.
type Counters struct {
	Calls                atomic.Int64 // HTTP calls from hosts and operators to this member
	CallsRejected        atomic.Int64 // HTTP calls answered with a status of 400 or above
	CallsForwarded       atomic.Int64 // calls forwarded to the leader
	CallsExpired         atomic.Int64 // calls dropped from the queue because their deadline had passed
	Heartbeats           atomic.Int64 // valid host heartbeats processed by this member
	LateHeartbeats       atomic.Int64 // first heartbeats discarded because another live host uses the address
	Proposals            atomic.Int64 // changes proposed to the log
	ProxySnapshots       atomic.Int64 // snapshot transfers to proxies that were started
	UpdatesDeferred      atomic.Int64 // log updates that a proxy's queue refused and that were sent later with others
	LeasesGranted        atomic.Int64 // leases granted to proxies
	LeasesRejected       atomic.Int64 // lease requests rejected because this member did not hold the leader lease
	LeasesPostponed      atomic.Int64 // lease requests postponed because the proxy had not applied the latest revocation of a primary
	QuotaRequests        atomic.Int64 // proxies' requests for tenant tokens that were answered
	QuotaRequestsIgnored atomic.Int64 // requests for tenant tokens left unanswered because this member did not hold the leader lease
	HostQueries          atomic.Int64 // commands sent to hosts
	Promotions           atomic.Int64 // promotion requests to the platform
	TermsLed             atomic.Int64 // times this member became the leader
	DiskErrors           atomic.Int64 // failed writes to the write-ahead log, each of which is retried
	DiskDamages          atomic.Int64 // checks of the write-ahead log that found and repaired damage on disk
	StateDivergences     atomic.Int64 // times this member's state was found to differ from the log or from a majority

	FramesRefused    atomic.Int64      // frames from other processes that require a newer protocol version
	CommitDurations  metrics.Histogram // from proposing a change to applying it on this member
	PersistDurations metrics.Histogram // of writes to the write-ahead log

	Discarded [discardReasonCount]atomic.Int64 // messages ignored or rejected, by reason
}

// discardReason is the reason why a message from another process was ignored or rejected.
type discardReason int

const (
	requestUnknownSender     discardReason = iota // the sender is not a member, learner or seed, or its address does not match
	requestMisdirected                            // the request is addressed to another member or to the leader of another term
	requestRepeated                               // the request was already processed
	requestOverLimit                              // too many forwarded calls are pending or queued
	responseUnknownCall                           // no call of this process has the response's serial
	responseLate                                  // the call is no longer pending: the response is late or a duplicate
	responseOtherIncarnation                      // the call was made by an earlier incarnation or by another member
	responseOtherMember                           // the response is not from the member that the call was forwarded to
	responseMalformed                             // the HTTP status is invalid
	messageWrongSender                            // a message between members whose source address or sender is not the expected one
	frameUnknown                                  // the frame has no payload that this version knows
	resultUnsolicited                             // a result or acknowledgement that matches no pending query or transfer of this term
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

// counters returns all counters by their names in the output of the status command. The failover counters are present only while
// this member leads.
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
		"campaigns":                    s.consensus.Campaigns,
		"join_requests":                s.consensus.JoinRequests,
		"joins_forwarded":              s.consensus.JoinsForwarded,
		"learners_added":               s.consensus.LearnersAdded,
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
