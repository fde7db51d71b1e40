package control

import (
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/metrics"
)

// metricsNamespace begins the names of all figures of a member.
const metricsNamespace = "ferrypitch_control"

// counterFamilies say what the counters of the status are.
var counterFamilies = metrics.Counters{
	Unlabeled: metrics.ByStatusName(
		metrics.CounterFamily("calls", "HTTP calls of hosts and operators to this member."),
		metrics.CounterFamily("calls_rejected", "Calls answered with a status of 400 or above."),
		metrics.CounterFamily("calls_forwarded", "Calls forwarded to the leader."),
		metrics.CounterFamily("calls_expired", "Calls whose callers waited no more when their turn came."),
		metrics.CounterFamily("heartbeats", "Valid heartbeats of hosts that were processed here."),
		metrics.CounterFamily("late_heartbeats", "First heartbeats of hosts whose address another has by now."),
		metrics.CounterFamily("proposals", "Changes proposed to the log."),
		metrics.CounterFamily("proxy_snapshots", "Snapshots that began to be sent to proxies."),
		metrics.CounterFamily("updates_deferred", "Updates of the log that a proxy did not take at once and got later with others."),
		metrics.CounterFamily("leases_granted", "Leases granted to proxies."),
		metrics.CounterFamily("leases_rejected", "Leases rejected since this member was not the leader."),
		metrics.CounterFamily("leases_postponed", "Leases postponed since the proxy had not applied the latest revocation of a primary."),
		metrics.CounterFamily("quota_requests", "Requests of proxies for tokens of tenants that were answered."),
		metrics.CounterFamily("quota_requests_ignored", "Requests for tokens without an answer, since this member did not hold the leader's lease."),
		metrics.CounterFamily("quota_tokens_lent", "Tokens of tenants lent to proxies, in this leadership."),
		metrics.CounterFamily("quota_tokens_expired", "Tokens that proxies neither reported as used nor gave back in time, in this leadership."),
		metrics.CounterFamily("host_queries", "Commands sent to hosts."),
		metrics.CounterFamily("promotion_requests", "Calls of the platform for a promotion."),
		metrics.CounterFamily("terms_led", "Times that this member became the leader."),
		metrics.CounterFamily("frames_refused", "Frames of other processes that need a newer version of the protocol."),
		metrics.CounterFamilyAs("rpc_refusals_received", "refusals_received_total", "Frames of this member that others refused."),
		metrics.CounterFamily("disk_errors", "Failed writes to the write-ahead log, each of which is retried."),
		metrics.CounterFamily("disk_damages", "Checks of the write-ahead log that found damage on disk, which was mended."),
		metrics.CounterFamily("disk_handovers", "Transfers of leadership that began since the disk had stalled."),
		metrics.CounterFamily("state_divergences", "Changes that did not fit the state, and digests that differ from those of a majority."),
		metrics.CounterFamily("snapshot_transfers", "Snapshots that began to be sent to members."),
		metrics.CounterFamily("snapshots_installed", "Snapshots of the leader that were installed here."),
		metrics.CounterFamily("snapshot_chunks_sent", "Chunks of snapshots sent to members."),
		metrics.CounterFamily("snapshot_chunks_ignored", "Chunks and acknowledgements that were late, out of order or invalid."),
		metrics.CounterFamily("rpc_frames_dropped", "Frames to other members that could not be sent."),
		metrics.CounterFamilyAs("rpc_bytes_sent", "rpc_sent_bytes_total", "Bytes sent to other processes of the system."),
		metrics.CounterFamilyAs("rpc_bytes_received", "rpc_received_bytes_total", "Bytes received from other processes of the system."),
		metrics.CounterFamily("primaries_suspected", "Primaries that a proxy reported as unreachable, in this leadership."),
		metrics.CounterFamily("suspicions_cleared", "Suspected primaries that answered a probe, in this leadership."),
		metrics.CounterFamily("failovers", "Evaluations that found a primary lost, in this leadership."),
		metrics.CounterFamily("switchovers", "Evaluations that nominated the successor of a draining primary, in this leadership."),
		metrics.CounterFamily("hosts_promoted", "Promotions that the platform accepted, in this leadership."),
		metrics.CounterFamily("failover_waits", "Evaluations of fail-overs in which no host could be chosen yet, in this leadership."),
		metrics.CounterFamily("replicas_resumed", "Evaluations that found all replicas of a service receiving again, in this leadership."),
		metrics.CounterFamily("replicas_missing", "Evaluations that marked a replica as missing, in this leadership."),
		metrics.CounterFamily("failover_evaluations", "Evaluations of a service, in this leadership."),
		metrics.GaugeFamily("pending_writes", "Writes that wait for the disk."),
	),
	Labeled: map[string]metrics.Family{
		"discarded_": {Name: "discarded_messages_total", Help: "Messages of other processes that were ignored or rejected, by reason.", Kind: metrics.Counter, Label: "reason"},
	},
}

// Families that are not counters of the status.
var (
	holdsLeaseFamily = metrics.Family{
		Name: "holds_lease", Help: "1 if this member leads and no other can.", Kind: metrics.Gauge,
	}
	termFamily = metrics.Family{
		Name: "term", Help: "Term of the consensus.", Kind: metrics.Gauge,
	}
	commitIndexFamily = metrics.Family{
		Name: "commit_index", Help: "Index of the newest entry of the log that is known to be committed.", Kind: metrics.Gauge,
	}
	membersFamily = metrics.Family{
		Name: "voting_members", Help: "Voting members of the control plane.", Kind: metrics.Gauge,
	}
	configVersionFamily = metrics.Family{
		Name: "config_version", Help: "Version of the configuration; 0 if there is none.", Kind: metrics.Gauge,
	}
	hostsFamily = metrics.Family{
		Name: "hosts", Help: "Database hosts that are known.", Kind: metrics.Gauge,
	}
	proxiesFamily = metrics.Family{
		Name: "proxies", Help: "Proxies that hold leases of this member.", Kind: metrics.Gauge,
	}
	revokedFamily = metrics.Family{
		Name: "primary_revoked", Help: "1 while a service has no primary, by service.", Kind: metrics.Gauge, Label: "service",
	}
	commitDurationFamily = metrics.Family{
		Name: "commit_duration_seconds", Help: "Time from proposing a change to applying it at the leader.", Kind: metrics.DurationHistogram,
	}
	persistDurationFamily = metrics.Family{
		Name: "persist_duration_seconds", Help: "Time that writes to the write-ahead log take until they are synced.", Kind: metrics.DurationHistogram,
	}
)

// metricsSource reads the figures in the event loop.
func (p *process) metricsSource() (samples []metrics.Sample, ok bool) {
	return eventloop.Call(p.queue, eventloop.PriorityOutcomes, p.server.metricSamples)
}

// metricSamples are the figures at this moment.
func (s *Server) metricSamples() []metrics.Sample {
	status := s.status()
	samples := append(counterFamilies.Samples(status.Counters),
		metrics.Sample{Family: holdsLeaseFamily, Value: oneIf(status.Consensus.HoldsLease)},
		metrics.Sample{Family: termFamily, Value: float64(status.Consensus.Term)},
		metrics.Sample{Family: commitIndexFamily, Value: float64(status.Consensus.CommitIndex)},
		metrics.Sample{Family: membersFamily, Value: float64(len(status.Consensus.Members))},
		metrics.Sample{Family: configVersionFamily, Value: float64(status.Version)},
		metrics.Sample{Family: hostsFamily, Value: float64(status.Hosts)},
		metrics.Sample{Family: proxiesFamily, Value: float64(status.Proxies)},
		metrics.Sample{Family: commitDurationFamily, Histogram: &s.CommitDurations},
		metrics.Sample{Family: persistDurationFamily, Histogram: &s.PersistDurations},
	)
	for service, primary := range status.Primaries {
		samples = append(samples, metrics.Sample{Family: revokedFamily, LabelValue: service, Value: oneIf(primary.Revoked)})
	}
	return samples
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
