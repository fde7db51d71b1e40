// Package policy decides where each command of a replicated database goes. It is pure: it knows no sockets, clock or
// goroutines, and every call on one Router must come from one goroutine.
//
// A caller implements Caller, makes a Router with New, and before each call sets the time with Router.SetTime. It reports the
// list of hosts, load reports, probe results and the outcome of each dispatch; the router answers through the Caller, during
// the call. api.go is this interface, state.go holds the data. The decisions, which deploy/balancer.toml lists:
//
//	router.go   start, time, wake-ups, the periodic evaluation of all hosts
//	route.go    the choice of a host for a command, and its dispatch
//	hosts.go    the list of hosts; the health, load and position of each
//	queue.go    commands that no host can take now: order, retries, giving up
//	outcome.go  what the outcome of a dispatch says of the command and of its host
//	peers.go    what routers tell each other, load reports, updates of planners
//	probe.go    which host is probed, and what the result says
//
// What they use: peer_message.go encodes what routers tell each other, window.go sums up the last seconds, random.go draws from
// the seed. preview.go runs the decisions under settings that are not in force.
//
// Reads follow their session's writes: each write yields the position of its commit, and a later read of the same session goes
// to a replica known to be at or past that position, else to the primary. These mechanisms stand beside it:
//
//  1. Concurrency limits and traffic shares: late answers reduce how many commands a host may have in flight, or, where one of
//     hundreds of routers has too few in flight for that to work, the share of the commands that it is offered.
//  2. Ejection: a host that is silent for unusually long, or unreachable, gets nothing but single trials with backoff.
//  3. Queueing: a command that no host can take waits, highest priority first, for as long as an answer would still count.
//  4. Cold start: a host that started lately gets a limited part of the work of warm hosts.
//  5. Peer updates: routers tell each other what answers reveal of a host, within a budget of bytes.
//  6. Retries: the target of a client's retry counts from its first attempt, and a command that fails on two hosts is not sent
//     to a third.
package policy
