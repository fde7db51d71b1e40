// Package routing connects the decision module to the sockets. One goroutine owns the module and all state beside it; every
// other goroutine reaches it by a queue only.
//
//	transport.Clients -> HandleCommand -> queue -> policy.Router -> Dispatch -> transport.Host
//	transport.Host -> answer -> queue -> policy.Command -> RejectRetryable, Fail or the answer -> transport.Slot
//	transport.Watch or a forwarder's view -> queue -> policy.Host
//
// It keeps the names of hosts and commands, and carries out what the module asks for. It decides nothing.
package routing
