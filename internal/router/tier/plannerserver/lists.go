package plannerserver

import (
	"context"

	"go.uber.org/zap"

	"ferrypitch/internal/router/catalog"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// applyList parses one line of discovery's watch, sends the list to the owner and
// waits until the owner has handled it.
func (p *Server) applyList(ctx context.Context, text []byte) error {
	object, err := setup.Decode("", text)
	if err != nil {
		return err
	}
	revision, complete, entries, err := catalog.Read(object)
	if err != nil {
		return err
	}
	applied := make(chan struct{})
	p.enqueue(ctx, func() {
		defer close(applied)
		p.handleList(revision, complete, entries)
	})
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleList applies a list. It must be called by the owner's goroutine.
func (p *Server) handleList(revision int64, complete bool, entries []view.Host) {
	accepted := p.core.ApplyList(p.clock.Now(), revision, complete, entries)
	p.trace.List(revision, complete, len(entries), accepted)
	if !accepted {
		p.StaleLists.Add(1)
		p.log.Warn("ignored a list that is older than the one held", zap.Int64("rev", revision))
		return
	}
	p.listRevision.Store(revision)
	p.AppliedLists.Add(1)
	p.log.Info("list", zap.Int64("rev", revision), zap.Bool("whole", complete), zap.Int("entries", len(entries)))
	p.updateHostPool()
}

// updateHostPool adds the active hosts to the connection pool, updates their
// addresses and removes all other hosts.
func (p *Server) updateHostPool() {
	active := map[string]bool{}
	for _, host := range p.core.View().Hosts() {
		if host.ListedState != policy.Active {
			continue
		}
		active[host.Name] = true
		if p.hosts[host.Name] == nil {
			p.hosts[host.Name] = p.pool.Add(host.Address)
		}
		p.hosts[host.Name].SetAddress(host.Address)
	}
	for name, host := range p.hosts {
		if !active[name] {
			host.Remove()
			delete(p.hosts, name)
		}
	}
	p.hostCount.Store(int64(len(active)))
}
