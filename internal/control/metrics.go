package control

import (
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/metrics"
)

const msPerSecond = 1000

// metricsNamespace is the prefix of the names of all metrics of a member.
const metricsNamespace = "ferrypitch_control"

// counterFamilies describes the metrics for the counters in the status.
var counterFamilies = metrics.Counters{
	Unlabeled: metrics.ByStatusName(
		metrics.CounterFamily("calls", "HTTP calls from hosts and operators to this member."),
		metrics.CounterFamily("calls_rejected", "Calls answered with a status of 400 or above."),
		metrics.CounterFamily("calls_forwarded", "Calls forwarded to the leader."),
		metrics.CounterFamily("calls_expired", "Calls dropped from the queue because their deadline had passed."),
		metrics.CounterFamily("heartbeats", "Valid host heartbeats processed by this member."),
		metrics.CounterFamily("late_heartbeats", "First heartbeats discarded because another live host uses the address."),
		metrics.CounterFamily("proposals", "Changes proposed to the log."),
		metrics.CounterFamily("proxy_snapshots", "Snapshot transfers to proxies that were started."),
		metrics.CounterFamily("updates_deferred", "Log updates that a proxy's queue refused and that were sent later with others."),
		metrics.CounterFamily("leases_granted", "Leases granted to proxies."),
		metrics.CounterFamily("leases_rejected", "Lease requests rejected because this member did not hold the leader lease."),
		metrics.CounterFamily("leases_postponed", "Lease requests postponed because the proxy had not applied the latest revocation of a primary."),
		metrics.CounterFamily("quota_requests", "Proxies' requests for tenant tokens that were answered."),
		metrics.CounterFamily("quota_requests_ignored", "Requests for tenant tokens left unanswered because this member did not hold the leader lease."),
		metrics.CounterFamily("quota_tokens_lent", "Tenant tokens lent to proxies, in the current term as leader."),
		metrics.CounterFamily("quota_tokens_expired", "Tokens that proxies neither reported as used nor returned in time, in the current term as leader."),
		metrics.CounterFamily("host_queries", "Commands sent to hosts."),
		metrics.CounterFamily("promotion_requests", "Promotion requests to the platform."),
		metrics.CounterFamily("terms_led", "Times that this member became the leader."),
		metrics.CounterFamily("frames_refused", "Frames from other processes that require a newer protocol version."),
		metrics.CounterFamilyAs("rpc_refusals_received", "refusals_received_total", "Frames from this member that their receivers refused."),
		metrics.CounterFamily("disk_errors", "Failed writes to the write-ahead log, each of which is retried."),
		metrics.CounterFamily("disk_damages", "Checks of the write-ahead log that found and repaired damage on disk."),
		metrics.CounterFamily("disk_handovers", "Leadership transfers started because the disk had stalled."),
		metrics.CounterFamily("state_divergences", "Times that the state was found to differ from the log or from a majority."),
		metrics.CounterFamily("campaigns", "Elections and votes before elections that this member started."),
		metrics.CounterFamily("join_requests", "Requests of this process to a leader to replicate to it."),
		metrics.CounterFamily("joins_forwarded", "Join requests of other processes that this member forwarded to the leader."),
		metrics.CounterFamily("learners_added", "Times that this member, as the leader, began to replicate to a process that is not a member."),
		metrics.CounterFamily("snapshot_transfers", "Snapshot transfers to members that were started."),
		metrics.CounterFamily("snapshots_installed", "Snapshots from the leader that were installed on this member."),
		metrics.CounterFamily("snapshot_chunks_sent", "Chunks of snapshots sent to members."),
		metrics.CounterFamily("snapshot_chunks_ignored", "Chunks and acknowledgements that were late, out of order or invalid."),
		metrics.CounterFamily("rpc_frames_dropped", "Frames to other members that could not be sent."),
		metrics.CounterFamilyAs("rpc_bytes_sent", "rpc_sent_bytes_total", "Bytes sent to other processes of the system."),
		metrics.CounterFamilyAs("rpc_bytes_received", "rpc_received_bytes_total", "Bytes received from other processes of the system."),
		metrics.CounterFamily("primaries_suspected", "Primaries that a proxy reported as unreachable, in the current term as leader."),
		metrics.CounterFamily("suspicions_cleared", "Suspected primaries that answered a probe, in the current term as leader."),
		metrics.CounterFamily("failovers", "Evaluations that found a primary lost, in the current term as leader."),
		metrics.CounterFamily("switchovers", "Evaluations that nominated the successor of a draining primary, in the current term as leader."),
		metrics.CounterFamily("hosts_promoted", "Promotions that the platform accepted, in the current term as leader."),
		metrics.CounterFamily("failover_waits", "Failover evaluations in which no host could be chosen yet, in the current term as leader."),
		metrics.CounterFamily("replicas_resumed", "Evaluations that found all replicas of a service receiving again, in the current term as leader."),
		metrics.CounterFamily("replicas_missing", "Evaluations that marked a replica as missing, in the current term as leader."),
		metrics.CounterFamily("failover_evaluations", "Evaluations of a service, in the current term as leader."),
		metrics.GaugeFamily("pending_writes", "Writes waiting for the disk."),
	),
	Labeled: map[string]metrics.Family{
		"discarded_": {Name: "discarded_messages_total", Help: "Messages from other processes that were ignored or rejected, by reason.", Kind: metrics.Counter, Label: "reason"},
	},
}

// Families for metrics other than the counters in the status.
var (
	holdsLeaseFamily = metrics.Family{
		Name: "holds_lease", Help: "1 if this member holds the leader lease, so that no other member can lead.", Kind: metrics.Gauge,
	}
	termFamily = metrics.Family{
		Name: "term", Help: "Current consensus term.", Kind: metrics.Gauge,
	}
	commitIndexFamily = metrics.Family{
		Name: "commit_index", Help: "Index of the newest log entry known to be committed.", Kind: metrics.Gauge,
	}
	leaderlessFamily = metrics.Family{
		Name: "leaderless_seconds", Help: "Time for which this process has heard from no leader; 0 while it hears from one.", Kind: metrics.Gauge,
	}
	membersFamily = metrics.Family{
		Name: "voting_members", Help: "Voting members of the control plane.", Kind: metrics.Gauge,
	}
	configVersionFamily = metrics.Family{
		Name: "config_version", Help: "Version of the configuration; 0 if there is none.", Kind: metrics.Gauge,
	}
	hostsFamily = metrics.Family{
		Name: "hosts", Help: "Known database hosts.", Kind: metrics.Gauge,
	}
	proxiesFamily = metrics.Family{
		Name: "proxies", Help: "Proxies that hold leases from this member.", Kind: metrics.Gauge,
	}
	primaryRevokedFamily = metrics.Family{
		Name: "primary_revoked", Help: "1 while a service has no primary, by service.", Kind: metrics.Gauge, Label: "service",
	}
	commitDurationFamily = metrics.Family{
		Name: "commit_duration_seconds", Help: "Time from proposing a change to applying it on the leader.", Kind: metrics.DurationHistogram,
	}
	persistDurationFamily = metrics.Family{
		Name: "persist_duration_seconds", Help: "Time until writes to the write-ahead log are synced.", Kind: metrics.DurationHistogram,
	}
)

// metricsSource collects the samples in the event loop. ok is false if the loop has ended.
func (p *process) metricsSource() (samples []metrics.Sample, ok bool) {
	return eventloop.Call(p.queue, eventloop.PriorityOutcomes, p.server.metricSamples)
}

// metricSamples returns the current samples of all metrics.
func (s *Server) metricSamples() []metrics.Sample {
	status := s.status()
	samples := append(counterFamilies.Samples(status.Counters),
		metrics.Sample{Family: holdsLeaseFamily, Value: boolValue(status.Consensus.HoldsLease)},
		metrics.Sample{Family: termFamily, Value: float64(status.Consensus.Term)},
		metrics.Sample{Family: commitIndexFamily, Value: float64(status.Consensus.CommitIndex)},
		metrics.Sample{Family: leaderlessFamily, Value: float64(status.LeaderlessForMs) / msPerSecond},
		metrics.Sample{Family: membersFamily, Value: float64(len(status.Consensus.Members))},
		metrics.Sample{Family: configVersionFamily, Value: float64(status.Version)},
		metrics.Sample{Family: hostsFamily, Value: float64(status.Hosts)},
		metrics.Sample{Family: proxiesFamily, Value: float64(status.Proxies)},
		metrics.Sample{Family: commitDurationFamily, Histogram: &s.CommitDurations},
		metrics.Sample{Family: persistDurationFamily, Histogram: &s.PersistDurations},
	)
	for service, primary := range status.Primaries {
		samples = append(samples, metrics.Sample{Family: primaryRevokedFamily, LabelValue: service, Value: boolValue(primary.Revoked)})
	}
	return samples
}

func boolValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
