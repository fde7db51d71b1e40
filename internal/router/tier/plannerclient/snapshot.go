package plannerclient

import (
	"context"

	"go.uber.org/zap"

	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/snapshotfile"
	"ferrypitch/policy"
)

// RestoreView loads the view that an earlier process stored. It must be called
// before Run. A missing or damaged file is ignored; the forwarder then starts
// without a view and receives it from the planners.
func (f *Client) RestoreView() {
	if f.settings.ViewFile == "" {
		return
	}
	body, err := snapshotfile.Read(snapshotfile.Disk{}, f.settings.ViewFile)
	if snapshotfile.IsNotExist(err) {
		return
	}
	if err != nil {
		f.log.Warn("ignored the stored view", zap.Error(err))
		return
	}
	change, err := link.DecodeChange(body)
	if err != nil {
		f.log.Warn("ignored the stored view", zap.Error(err))
		return
	}
	f.core.RestoreView(change)
	f.log.Info("restored the stored view", zap.Int("hosts", len(change.Hosts)))
}

// writeSnapshots stores views until the context is canceled. Only the first of
// consecutive failures is logged, since a failure affects nothing but the duration
// of the next start.
func (f *Client) writeSnapshots(ctx context.Context) {
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
					f.log.Warn("storing the view failed", zap.Error(err))
				}
			}
			failing = err != nil
		}
	}
}

// offerSnapshot sends the view to writeSnapshots, unless a snapshot is not due yet
// or the previous one is still queued.
func (f *Client) offerSnapshot(now policy.TenthMs) {
	if f.settings.ViewFile == "" || now < f.nextSnapshotAt || !f.core.HasHosts() || len(f.snapshots) > 0 {
		return
	}
	f.nextSnapshotAt = now + tenths(f.settings.ViewFileInterval)
	f.snapshots <- link.EncodeBody(f.core.View().FullChange(f.incarnation, 0))
}
