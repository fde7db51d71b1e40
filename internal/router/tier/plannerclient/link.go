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
func (c *Client) followPlanner(ctx context.Context, planner *follower.Planner) {
	err := c.runLink(ctx, planner)
	c.enqueue(ctx, func() {
		if c.conns[planner] != nil {
			c.OpenLinks.Add(-1)
			delete(c.conns, planner)
		}
		planner.Disconnected(c.clock.Now())
	})
	if ctx.Err() == nil {
		c.log.Warn("a planner is not followed", zap.String("planner", planner.Address), zap.Error(err))
	}
}

// runLink connects to a planner and reads its frames until the link fails. It returns the error.
func (c *Client) runLink(ctx context.Context, planner *follower.Planner) error {
	socket, err := (&net.Dialer{Timeout: c.settings.DialTimeout}).DialContext(ctx, "tcp", planner.Address)
	if err != nil {
		return err
	}
	defer socket.Close()
	defer context.AfterFunc(ctx, func() { socket.Close() })()
	socket.SetDeadline(time.Now().Add(c.settings.DialTimeout))
	conn, err := linkconn.ForwarderHandshake(socket, &c.settings.Key, c.name, c.incarnation,
		c.settings.MaxQueuedFrames, c.settings.MaxFrameBytes, c.settings.WriteTimeout)
	if err != nil {
		return err
	}
	conn.StartWriter()
	defer conn.Wait()
	defer conn.CloseWithError(net.ErrClosed)
	c.enqueue(ctx, func() {
		c.conns[planner] = conn
		c.OpenLinks.Add(1)
		planner.Connected(c.clock.Now())
	})
	for {
		frame, err := conn.ReadFrame()
		if err != nil {
			return err
		}
		if frame.Kind != link.KindChange {
			continue // unknown kind, which a later version may have added
		}
		if err := c.receiveChange(ctx, planner, conn, frame.Body); err != nil {
			return err
		}
	}
}

// receiveChange decodes a change and sends it to the owner.
func (c *Client) receiveChange(ctx context.Context, planner *follower.Planner, conn *linkconn.Conn, body []byte) error {
	change, err := link.DecodeChange(body)
	if err != nil {
		c.InvalidChanges.Add(1)
		return err
	}
	c.Changes.Add(1)
	if change.Full {
		c.FullViews.Add(1)
	}
	c.enqueue(ctx, func() { c.applyChange(planner, conn, change) })
	return nil
}

// applyChange applies a change and requests the full view if necessary. It must be called by the owner's
// goroutine. A change from a link that has ended is ignored.
func (c *Client) applyChange(planner *follower.Planner, conn *linkconn.Conn, change view.Change) {
	if c.conns[planner] != conn {
		return
	}
	if needFullView := planner.ApplyChange(c.clock.Now(), change); needFullView {
		conn.Send(link.KindViewRequest, nil)
	}
}
