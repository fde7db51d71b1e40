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
func (s *Server) applyList(ctx context.Context, text []byte) error {
	object, err := setup.Decode("", text)
	if err != nil {
		return err
	}
	revision, complete, entries, err := catalog.Read(object)
	if err != nil {
		return err
	}
	applied := make(chan struct{})
	s.enqueue(ctx, func() {
		defer close(applied)
		s.handleList(revision, complete, entries)
	})
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleList applies a list. It must be called by the owner's goroutine.
func (s *Server) handleList(revision int64, complete bool, entries []view.Host) {
	accepted := s.core.ApplyList(s.clock.Now(), revision, complete, entries)
	s.trace.List(revision, complete, len(entries), accepted)
	if !accepted {
		s.StaleLists.Add(1)
		s.log.Warn("ignored a list that is older than the one held", zap.Int64("rev", revision))
		return
	}
	s.listRevision.Store(revision)
	s.AppliedLists.Add(1)
	s.log.Info("list", zap.Int64("rev", revision), zap.Bool("whole", complete), zap.Int("entries", len(entries)))
	s.updateHostPool()
}

// updateHostPool adds the active hosts to the connection pool, updates their
// addresses and removes all other hosts.
func (s *Server) updateHostPool() {
	active := map[string]bool{}
	for _, host := range s.core.View().Hosts() {
		if host.ListedState != policy.Active {
			continue
		}
		active[host.Name] = true
		if s.hosts[host.Name] == nil {
			s.hosts[host.Name] = s.pool.Add(host.Address)
		}
		s.hosts[host.Name].SetAddress(host.Address)
	}
	for name, host := range s.hosts {
		if !active[name] {
			host.Remove()
			delete(s.hosts, name)
		}
	}
	s.hostCount.Store(int64(len(active)))
}
