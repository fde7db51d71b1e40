package control

import (
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
)

// enqueueMemberFrame queues a frame from another member for the event loop. If the queue for forwarded calls is full, it refuses
// the call instead of blocking: consensus messages arrive on the same connection and must not be delayed.
func (p *process) enqueueMemberFrame(from string, frame *rpc.Frame) {
	if frame.ForwardRequest == nil {
		p.queue.Put(eventloop.PriorityOutcomes, func() { p.server.HandleFrame(from, frame) })
		return
	}
	priority, timeout := eventloop.PriorityCommands, configReadTimeout
	if target, _, known := findEndpoint(frame.ForwardRequest.Method, frame.ForwardRequest.Path); known {
		priority, timeout = target.priority, target.timeout
	}
	deadline := time.Now().Add(timeout)
	queued := p.queue.TryPut(priority, func() {
		if time.Now().After(deadline) {
			p.server.CallsExpired.Add(1) // the forwarding member has already answered its caller
			return
		}
		p.server.HandleFrame(from, frame)
	})
	if !queued {
		p.queue.Put(eventloop.PriorityOutcomes, func() { p.server.refuseForwardRequest(from, frame.ForwardRequest) })
	}
}
