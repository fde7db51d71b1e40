package proxy

import (
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/metrics"
)

// metricsNamespace is the prefix of the names of a proxy's metrics.
const metricsNamespace = "ferrypitch_proxy"

// counterFamilies describes the metrics that are made from the counters of the status.
var counterFamilies = metrics.Counters{
	Unlabeled: metrics.ByStatusName(
		metrics.CounterFamily("sessions_accepted", "Client connections accepted."),
		metrics.CounterFamily("malformed_inputs", "Messages and datagrams that broke a protocol."),
		metrics.CounterFamily("unknown_database", "Sessions and statements for a database without a route."),
		metrics.CounterFamily("client_disconnects", "Clients that left before their answer."),
		metrics.CounterFamily("sessions_denied", "Clients whose key no tenant has."),
		metrics.CounterFamily("sessions_revoked", "Sessions at rest ended since their key was taken away."),
		metrics.CounterFamily("statements_revoked", "Statements not sent since their key was taken away, or may have been."),
		metrics.CounterFamily("transactions_revoked", "Idle transactions rolled back since their key was taken away."),
		metrics.CounterFamily("connections_closed_for_tenant", "Connections to hosts closed to open one for another tenant."),
		metrics.CounterFamily("statements", "Statements of clients that go to a host."),
		metrics.CounterFamily("statements_queued", "Statements for which no host was available at once."),
		metrics.CounterFamily("dispatches", "Attempts to have a host run a statement, retries included."),
		metrics.CounterFamily("rejected", "Statements answered with an error of which nothing is kept."),
		metrics.CounterFamily("throttled", "Statements for which no host was found in time."),
		metrics.CounterFamily("failed", "Statements given up that may have run."),
		metrics.CounterFamily("lease_expired_before_send", "Statements not sent since a lease or the time of a primary had ended."),
		metrics.CounterFamily("rejected_at_lease_loss", "Statements that waited for a host when the lease expired."),
		metrics.CounterFamily("floor_unknown", "Reads sent to the primary since no position was known that they had to see."),
		metrics.CounterFamily("answered_before_send", "Statements not sent to a host since they had been answered meanwhile."),
		metrics.CounterFamily("acks_held", "Writes whose acknowledgement waited until a known replica had received them."),
		metrics.CounterFamily("primary_checks", "Status queries to primaries that had answered nothing while the acknowledgement of a write was overdue."),
		metrics.CounterFamily("acks_unconfirmed", "Writes acknowledged although no known replica was seen to have received them."),
		metrics.CounterFamily("confirmation_queries", "Queries for the log position of a replica that is to confirm writes."),
		metrics.CounterFamily("acks_after_revocation", "Writes acknowledged by a primary that was revoked, or whose lease had expired, meanwhile."),
		metrics.CounterFamily("responses_lost", "Transactions ended since a response counted as lost."),
		metrics.CounterFamily("unexpected_responses", "Responses of hosts to nothing or of the wrong form."),
		metrics.CounterFamily("connections_dialed", "Connections to hosts that were dialed."),
		metrics.CounterFamily("connections_failed", "Connections to hosts that did not open."),
		metrics.CounterFamily("connections_refused", "Connections that a host at its limit refused."),
		metrics.CounterFamily("setup_statements", "Statements sent to bring a connection to the values of a session."),
		metrics.CounterFamily("setup_errors", "Errors of such statements."),
		metrics.CounterFamily("suspect_reports", "Reports to the control plane of a primary that can't be reached."),
		metrics.CounterFamily("quota_refused", "Operations refused since their tenant was at its limit."),
		metrics.CounterFamily("quota_waits", "Operations held until the lender of tokens had answered."),
		metrics.CounterFamily("quota_unknown", "Operations rejected since no lender of tokens had answered."),
		metrics.CounterFamily("quota_requests", "Requests to the lender of tokens."),
		metrics.CounterFamily("lease_requests", "Leases requested."),
		metrics.CounterFamily("leases_granted", "Leases granted."),
		metrics.CounterFamily("control_links", "Connections to a leader of the control plane."),
		metrics.CounterFamily("leader_silences", "Connections to a leader that were left since it sent nothing for too long."),
		metrics.CounterFamilyAs("rpc_bytes_sent", "rpc_sent_bytes_total", "Bytes sent to other processes of the system."),
		metrics.CounterFamilyAs("rpc_bytes_received", "rpc_received_bytes_total", "Bytes received from other processes of the system."),
		metrics.CounterFamily("log_gaps", "Updates of the log that did not follow on the state."),
		metrics.CounterFamily("state_divergences", "Updates of the log that did not fit the state, and digests that differ."),
		metrics.CounterFamily("config_updates", "Configurations applied."),
		metrics.CounterFamily("gossip_probes", "Health checks of other proxies."),
		metrics.CounterFamily("gossip_acks_discarded", "Answers to health checks that nobody waited for."),
	),
	Labeled: map[string]metrics.Family{
		"outcome_": {Name: "attempts_total", Help: "Attempts that ended, by outcome.", Kind: metrics.Counter, Label: "outcome"},
		"error_":   {Name: "errors_total", Help: "Errors of the proxy's own that clients got, by kind.", Kind: metrics.Counter, Label: "kind"},
	},
}

// Metric families that are not counters of the status.
var (
	readyFamily = metrics.Family{
		Name: "ready", Help: "1 if the platform may send clients here.", Kind: metrics.Gauge,
	}
	configVersionFamily = metrics.Family{
		Name: "config_version", Help: "Version of the configuration in force; 0 if there is none.", Kind: metrics.Gauge,
	}
	appliedIndexFamily = metrics.Family{
		Name: "applied_index", Help: "Index up to which the log of the control plane is applied.", Kind: metrics.Gauge,
	}
	leaseRemainingFamily = metrics.Family{
		Name: "lease_remaining_seconds", Help: "Time until the lease ends unless it is renewed; 0 without a lease.", Kind: metrics.Gauge,
	}
	openSessionsFamily = metrics.Family{
		Name: "open_sessions", Help: "Client sessions that are open.", Kind: metrics.Gauge,
	}
	openStatementsFamily = metrics.Family{
		Name: "open_statements", Help: "Statements that have no answer yet.", Kind: metrics.Gauge,
	}
	hostConnectionsFamily = metrics.Family{
		Name: "host_connections", Help: "Open connections, by host.", Kind: metrics.Gauge, Label: "host",
	}
	queuedStatementsFamily = metrics.Family{
		Name: "queued_statements", Help: "Statements that wait for a connection, by host.", Kind: metrics.Gauge, Label: "host",
	}
	statementDurationFamily = metrics.Family{
		Name: "statement_duration_seconds", Help: "Time from the arrival of a statement to its answer.", Kind: metrics.DurationHistogram,
	}
	hostResponseFamily = metrics.Family{
		Name: "host_response_duration_seconds", Help: "Time from sending a statement to a host to its response.", Kind: metrics.DurationHistogram,
	}
)

// metricsSource collects the metrics in the event loop. ok is false if the event loop has ended.
func (s *Server) metricsSource() (samples []metrics.Sample, ok bool) {
	return eventloop.Call(s.queue, eventloop.PriorityOutcomes, s.metricSamples)
}

// metricSamples returns the current values of all metrics.
func (s *Server) metricSamples() []metrics.Sample {
	status := s.status()
	ready := 0.0
	if status.Ready {
		ready = 1
	}
	samples := counterFamilies.Samples(status.Counters)
	samples = append(samples,
		metrics.Sample{Family: readyFamily, Value: ready},
		metrics.Sample{Family: configVersionFamily, Value: float64(status.ConfigVersion)},
		metrics.Sample{Family: appliedIndexFamily, Value: float64(status.AppliedIndex)},
		metrics.Sample{Family: leaseRemainingFamily, Value: float64(status.LeaseRemainingMs) / 1000},
		metrics.Sample{Family: openSessionsFamily, Value: float64(status.Sessions)},
		metrics.Sample{Family: openStatementsFamily, Value: float64(status.Statements)},
		metrics.Sample{Family: statementDurationFamily, Histogram: &s.counters.statementDurations},
		metrics.Sample{Family: hostResponseFamily, Histogram: &s.counters.hostResponses},
	)
	for id, host := range status.Hosts {
		samples = append(samples,
			metrics.Sample{Family: hostConnectionsFamily, LabelValue: id, Value: float64(host.Conns)},
			metrics.Sample{Family: queuedStatementsFamily, LabelValue: id, Value: float64(host.QueuedStatements)},
		)
	}
	return samples
}
