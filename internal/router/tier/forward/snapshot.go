package forward

import (
	"context"

	"go.uber.org/zap"

	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/snapshotfile"
	"ferrypitch/policy"
)

// RestoreView loads the view that an earlier process stored. It must be called before
// Run. A file that is missing or damaged is not used; the planners then send what
// it would have held.
func (f *Forwarder) RestoreView() {
	if f.settings.ViewFile == "" {
		return
	}
	body, err := snapshotfile.Read(snapshotfile.Disk{}, f.settings.ViewFile)
	if snapshotfile.IsNotExist(err) {
		return
	}
	if err != nil {
		f.log.Warn("the stored view is not used", zap.Error(err))
		return
	}
	change, err := link.DecodeChange(body)
	if err != nil {
		f.log.Warn("the stored view is not used", zap.Error(err))
		return
	}
	f.core.RestoreView(change)
	f.log.Info("started from the stored view", zap.Int("hosts", len(change.Hosts)))
}

// writeSnapshots stores views until the context ends. Only the newest one waits.
// A disk that fails slows down the next start and nothing else, so only the first
// failure in a row is logged.
func (f *Forwarder) writeSnapshots(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-f.snapshots:
			err := snapshotfile.Write(snapshotfile.Disk{}, f.settings.ViewFile, body)
			if err != nil {
				f.SnapshotFailures.Add(1)
				if !failing {
					f.log.Warn("the view cannot be stored", zap.Error(err))
				}
			}
			failing = err != nil
		}
	}
}

// offerSnapshot passes the view to writeSnapshots, unless a snapshot is not due
// yet or the one before still waits.
func (f *Forwarder) offerSnapshot(now policy.TenthMs) {
	if f.settings.ViewFile == "" || now < f.nextSnapshotAt || !f.core.HasHosts() || len(f.snapshots) > 0 {
		return
	}
	f.nextSnapshotAt = now + tenths(f.settings.ViewFileInterval)
	f.snapshots <- link.EncodeBody(f.core.View().FullChange(f.incarnation, 0))
}
