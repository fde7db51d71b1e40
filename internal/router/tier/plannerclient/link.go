package plannerclient

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/linkconn"
	"ferrypitch/internal/router/tier/view"
)

// followPlanner dials a planner, serves the link until it ends and reports the end to the owner.
func (f *Client) followPlanner(ctx context.Context, planner *follower.Planner) {
	err := f.runLink(ctx, planner)
	f.enqueue(ctx, func() {
		if f.conns[planner] != nil {
			f.OpenLinks.Add(-1)
			delete(f.conns, planner)
		}
		planner.Disconnected(f.clock.Now())
	})
	if ctx.Err() == nil {
		f.log.Warn("link to planner failed", zap.String("planner", planner.Address), zap.Error(err))
	}
}

// runLink connects to a planner and reads its frames until the link fails. It returns the error.
func (f *Client) runLink(ctx context.Context, planner *follower.Planner) error {
	socket, err := (&net.Dialer{Timeout: f.settings.DialTimeout}).DialContext(ctx, "tcp", planner.Address)
	if err != nil {
		return err
	}
	defer socket.Close()
	defer context.AfterFunc(ctx, func() { socket.Close() })()
	socket.SetDeadline(time.Now().Add(f.settings.DialTimeout))
	conn, err := linkconn.ForwarderHandshake(socket, &f.settings.Key, f.name, f.incarnation,
		f.settings.MaxQueuedFrames, f.settings.MaxFrameBytes, f.settings.WriteTimeout)
	if err != nil {
		return err
	}
	conn.StartWriter()
	defer conn.Wait()
	defer conn.CloseWithError(net.ErrClosed)
	f.enqueue(ctx, func() {
		f.conns[planner] = conn
		f.OpenLinks.Add(1)
		planner.Connected(f.clock.Now())
	})
	for {
		frame, err := conn.ReadFrame()
		if err != nil {
			return err
		}
		if frame.Kind != link.KindChange {
			continue // unknown kind, which a later version may have added
		}
		if err := f.receiveChange(ctx, planner, conn, frame.Body); err != nil {
			return err
		}
	}
}

// receiveChange decodes a change and sends it to the owner.
func (f *Client) receiveChange(ctx context.Context, planner *follower.Planner, conn *linkconn.Conn, body []byte) error {
	change, err := link.DecodeChange(body)
	if err != nil {
		f.InvalidChanges.Add(1)
		return err
	}
	f.Changes.Add(1)
	if change.Full {
		f.FullViews.Add(1)
	}
	f.enqueue(ctx, func() { f.applyChange(planner, conn, change) })
	return nil
}

// applyChange applies a change and requests the full view if necessary. It must be called by the owner's
// goroutine. A change from a link that has ended is ignored.
func (f *Client) applyChange(planner *follower.Planner, conn *linkconn.Conn, change view.Change) {
	if f.conns[planner] != conn {
		return
	}
	if needFullView := planner.ApplyChange(f.clock.Now(), change); needFullView {
		conn.Send(link.KindViewRequest, nil)
	}
}
