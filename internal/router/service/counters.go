package service

import "go.uber.org/zap"

// counters returns the counters of all components as log fields.
func (p *service) counters() []zap.Field {
	fields := append(p.router.LogFields(),
		zap.Int64("clients_accepted", p.clients.Accepted.Load()),
		zap.Int("clients_open", p.clients.OpenConns()),
		zap.Int64("clients_made_way", p.clients.Evicted.Load()),
		zap.Int64("clients_torn", p.clients.Malformed.Load()),
		zap.Int64("clients_slow", p.clients.TimedOut.Load()),
		zap.Int64("clients_wild", p.clients.RejectedOnly.Load()),
		zap.Int64("clients_no_room", p.clients.OutOfBuffers.Load()),
		zap.Int64("clients_left", p.clients.Disconnected.Load()),
		zap.Int64("commands_shed", p.clients.Shed.Load()),
		zap.Int64("messages_foreign", p.clients.Unsupported.Load()),
		zap.Int64("hosts_opened", p.hosts.Opened.Load()),
		zap.Int64("hosts_reused", p.hosts.Reused.Load()),
		zap.Int64("hosts_not_up", p.hosts.StartupFailed.Load()),
		zap.Int64("hosts_no_descriptor", p.hosts.NoDescriptor.Load()),
		zap.Int("host_connections", p.hosts.OpenConns()),
		zap.Int64("answers_spoilt", p.hosts.InvalidAnswers.Load()),
		zap.Int64("answers_stray", p.hosts.UnsolicitedData.Load()),
		zap.Int64("buffers", p.budget.Used()),
		zap.Int("reloads", p.reloads),
		zap.Int("reloads_refused", p.rejectedReloads),
	)
	if p.watch != nil {
		fields = append(fields, zap.Int64("watches", p.watch.Started.Load()), zap.Int64("list_lines", p.watch.Lines.Load()))
	}
	if p.trace != nil {
		fields = append(fields, p.trace.LogFields()...)
	}
	if p.forward != nil {
		fields = append(fields, p.forward.LogFields()...)
	}
	if p.peers != nil {
		fields = append(fields,
			zap.Int64("datagrams_sent", p.peers.Sent.Load()),
			zap.Int64("datagrams_heard", p.peers.Received.Load()),
			zap.Int64("datagrams_dropped", p.peers.Dropped.Load()),
			zap.Int64("datagram_bursts", p.peers.Batches.Load()),
		)
	}
	return fields
}
