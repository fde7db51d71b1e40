// Package routing connects the routing policy (package policy) to the sockets. One goroutine runs the policy and owns it and
// the state of this package; every other goroutine passes it functions through a queue.
//
//	transport.Clients -> HandleCommand -> queue -> policy.Router -> Dispatch -> transport.Host
//	transport.Host -> answer -> queue -> policy.Command -> RejectRetryable, Fail or the answer -> transport.Slot
//	transport.Watch or a forwarder's view -> queue -> policy.Host
//
// The package maps host names and command ids to the policy's objects and performs the calls of policy.Caller. All routing
// decisions are the policy's.
package routing
