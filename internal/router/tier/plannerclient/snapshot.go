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
func (c *Client) RestoreView() {
	if c.settings.ViewFile == "" {
		return
	}
	body, err := snapshotfile.Read(snapshotfile.Disk{}, c.settings.ViewFile)
	if snapshotfile.IsNotExist(err) {
		return
	}
	if err != nil {
		c.log.Warn("ignored the stored view", zap.Error(err))
		return
	}
	change, err := link.DecodeChange(body)
	if err != nil {
		c.log.Warn("ignored the stored view", zap.Error(err))
		return
	}
	c.core.RestoreView(change)
	c.log.Info("restored the stored view", zap.Int("hosts", len(change.Hosts)))
}

// writeSnapshots stores views until the context is canceled. Only the first of
// consecutive failures is logged, since a failure affects nothing but the duration
// of the next start.
func (c *Client) writeSnapshots(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-c.snapshots:
			err := snapshotfile.Write(snapshotfile.Disk{}, c.settings.ViewFile, body)
			if err != nil {
				c.SnapshotFailures.Add(1)
				if !failing {
					c.log.Warn("storing the view failed", zap.Error(err))
				}
			}
			failing = err != nil
		}
	}
}

// offerSnapshot sends the view to writeSnapshots, unless a snapshot is not due yet
// or the previous one is still queued.
func (c *Client) offerSnapshot(now policy.TenthMs) {
	if c.settings.ViewFile == "" || now < c.nextSnapshotAt || !c.core.HasHosts() || len(c.snapshots) > 0 {
		return
	}
	c.nextSnapshotAt = now + tenths(c.settings.ViewFileInterval)
	c.snapshots <- link.EncodeBody(c.core.View().FullChange(c.incarnation, 0))
}
