package control

import (
	"sync/atomic"
	"time"

	"ferrypitch/internal/rpc"
)

const (
	proxyQueueFrames = 64 // capacity of each of the two queues of a proxy

	// updateInterval is the minimum time between two log updates for one proxy. Entries committed in between are sent in one
	// update: when hundreds of hosts register at once, one frame per host and proxy exceeds the leader's CPU capacity.
	updateInterval = 40 * time.Millisecond
)

// proxyQueue holds the outgoing frames for one proxy. Leases are sent before log updates and snapshot chunks, which keep their
// order among themselves, so that a proxy that receives much data still gets its leases in time and does not consider the leader
// silent. At most one log update is queued. Further updates are refused, and the proxy gets everything that it misses once the
// queued update was sent. A proxy with an earlier protocol version gets all frames in a single order and without delay, because it
// does not support a lease that overtakes an update.
type proxyQueue struct {
	urgent, updates chan *rpc.Frame
	prioritized     bool        // urgent and updates are separate queues; otherwise both are the same channel
	updateRefused   atomic.Bool // an update was refused since drainedAfterRefusal last returned true
	nextUpdateAt    time.Time   // used only by the goroutine that calls take
}

func newProxyQueue(version uint32) *proxyQueue {
	q := &proxyQueue{updates: make(chan *rpc.Frame, proxyQueueFrames), prioritized: rpc.PeerVersion(version) >= rpc.VersionPayloads}
	q.urgent = q.updates
	if q.prioritized {
		q.urgent = make(chan *rpc.Frame, proxyQueueFrames)
	}
	return q
}

// put queues a frame. It returns false if the queue does not accept the frame now.
func (q *proxyQueue) put(frame *rpc.Frame) bool {
	queue := q.urgent
	if frame.LogUpdate != nil || frame.SnapshotChunk != nil {
		queue = q.updates
	}
	if q.prioritized && frame.LogUpdate != nil && len(q.updates) > 0 {
		q.updateRefused.Store(true)
		return false
	}
	select {
	case queue <- frame:
		return true
	default:
		return false
	}
}

// drainedAfterRefusal reports whether an update was refused and no update is queued any more. It returns true once, even if several
// updates were refused.
func (q *proxyQueue) drainedAfterRefusal() bool {
	return len(q.updates) == 0 && q.updateRefused.CompareAndSwap(true, false)
}

// take waits for the next frame and returns it, or nil if the connection is closed.
func (q *proxyQueue) take(closed <-chan struct{}) *rpc.Frame {
	if wait := time.Until(q.nextUpdateAt); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-closed:
			return nil
		case frame := <-q.urgent:
			return frame
		case <-timer.C:
		}
	}
	select {
	case frame := <-q.urgent:
		return frame
	default:
	}
	select {
	case <-closed:
		return nil
	case frame := <-q.urgent:
		return frame
	case frame := <-q.updates:
		if q.prioritized && frame.LogUpdate != nil {
			q.nextUpdateAt = time.Now().Add(updateInterval)
		}
		return frame
	}
}
