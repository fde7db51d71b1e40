package plan

import (
	"context"

	"go.uber.org/zap"

	"ferrypitch/internal/router/catalog"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// applyList parses one line of discovery's watch, passes it to the owner and
// returns once the owner has applied it.
func (p *Server) applyList(ctx context.Context, text []byte) error {
	object, err := setup.Decode("", text)
	if err != nil {
		return err
	}
	revision, whole, entries, err := catalog.Read(object)
	if err != nil {
		return err
	}
	applied := make(chan struct{})
	p.enqueue(ctx, func() {
		defer close(applied)
		p.handleList(revision, whole, entries)
	})
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleList runs on the owner's goroutine.
func (p *Server) handleList(revision int64, complete bool, entries []view.Host) {
	accepted := p.core.ApplyList(p.clock.Now(), revision, complete, entries)
	p.trace.List(revision, complete, len(entries), accepted)
	if !accepted {
		p.StaleLists.Add(1)
		p.log.Warn("a list that is older than the one held", zap.Int64("rev", revision))
		return
	}
	p.listRevision.Store(revision)
	p.AppliedLists.Add(1)
	p.log.Info("list", zap.Int64("rev", revision), zap.Bool("whole", complete), zap.Int("entries", len(entries)))
	p.updateHostPool()
}

// updateHostPool gives each host in service an entry in the pool of connections,
// and removes the entries of all others.
func (p *Server) updateHostPool() {
	inService := map[string]bool{}
	for _, host := range p.core.View().Hosts() {
		if host.Standing != policy.Active {
			continue
		}
		inService[host.Name] = true
		if p.hosts[host.Name] == nil {
			p.hosts[host.Name] = p.pool.Add(host.Address)
		}
		p.hosts[host.Name].SetAddress(host.Address)
	}
	for name, host := range p.hosts {
		if !inService[name] {
			host.Remove()
			delete(p.hosts, name)
		}
	}
	p.hostCount.Store(int64(len(inService)))
}
