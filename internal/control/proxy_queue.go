package control

import (
	"sync/atomic"
	"time"

	"ferrypitch/internal/rpc"
)

const (
	proxyQueueFrames = 64 // of each kind that wait for one proxy

	// updateInterval is the shortest time between two updates of the log for one proxy. What comes meanwhile is sent in one: where
	// hundreds of hosts register at once, a frame for each of them and each proxy takes more than the leader's processor.
	updateInterval = 40 * time.Millisecond
)

// proxyQueue holds what waits for one proxy. Leases leave before updates of the log, whose order stays: a proxy that is sent much
// does not take the leader for silent, and keeps its lease. At most one update waits; its proxy is behind then, and gets all that
// it misses once that update has left. A proxy of an earlier version gets all frames in one order, at once: it has no use for a
// lease that overtakes an update.
type proxyQueue struct {
	urgent, updates chan *rpc.Frame
	paced           bool        // urgent and updates are two queues
	refused         atomic.Bool // an update was refused since the last one left
	nextUpdateAt    time.Time   // of the goroutine that takes
}

func newProxyQueue(version uint32) *proxyQueue {
	q := &proxyQueue{updates: make(chan *rpc.Frame, proxyQueueFrames), paced: rpc.PeerVersion(version) >= rpc.VersionPayloads}
	q.urgent = q.updates
	if q.paced {
		q.urgent = make(chan *rpc.Frame, proxyQueueFrames)
	}
	return q
}

// put queues a frame; false: the queue takes it not now.
func (q *proxyQueue) put(frame *rpc.Frame) bool {
	queue := q.urgent
	if frame.LogUpdate != nil || frame.SnapshotChunk != nil {
		queue = q.updates
	}
	if q.paced && frame.LogUpdate != nil && len(q.updates) > 0 {
		q.refused.Store(true)
		return false
	}
	select {
	case queue <- frame:
		return true
	default:
		return false
	}
}

// caughtUp says, once, that no update waits any more after one was refused.
func (q *proxyQueue) caughtUp() bool {
	return len(q.updates) == 0 && q.refused.CompareAndSwap(true, false)
}

// take waits for the next frame; nil: the connection is closed.
func (q *proxyQueue) take(closed <-chan struct{}) *rpc.Frame {
	if wait := time.Until(q.nextUpdateAt); wait > 0 {
		pause := time.NewTimer(wait)
		defer pause.Stop()
		select {
		case <-closed:
			return nil
		case frame := <-q.urgent:
			return frame
		case <-pause.C:
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
		if q.paced && frame.LogUpdate != nil {
			q.nextUpdateAt = time.Now().Add(updateInterval)
		}
		return frame
	}
}
