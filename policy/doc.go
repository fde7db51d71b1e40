// Package policy decides which host of a replicated database executes each command. It performs no I/O, reads no clock and
// starts no goroutines. All calls on one Router must come from the same goroutine.
//
// A caller implements Caller, creates a Router with New, and sets the time with Router.SetTime before each other call. It
// passes in the host list, load reports, probe results and the outcome of each dispatch. The router calls methods of the
// Caller during these calls. api.go declares this interface and state.go the data. deploy/balancer.toml lists the files that
// make the decisions:
//
//	router.go   startup, time, wake-ups, the periodic evaluation of all hosts
//	route.go    selects a host for a command and dispatches it
//	hosts.go    the host list; admission, load and replication position of each host
//	queue.go    queued commands: order, retries, final rejection
//	outcome.go  updates the command and its host from the outcome of a dispatch
//	peers.go    messages between routers, load reports, planner updates
//	probe.go    selects the hosts to probe and handles the results
//	latency.go  measures how long answers take: usually, at most, and where no host is crowded
//
// They use peer_message.go, which encodes messages between routers, window.go, which aggregates the last seconds, and
// random.go, which generates numbers from the seed. preview.go runs the decisions under settings that are not in force.
//
// Reads observe the earlier writes of their session: each write returns its commit position, and a later read of the same
// session goes to a replica known to have reached that position, or to the primary. In addition:
//
//  1. Concurrency limits and traffic shares: slow answers reduce the number of commands that a host may have in flight. Where
//     hundreds of routers each have too few commands in flight for that to work, they reduce the share of commands that the
//     host accepts.
//  2. Ejection: a host that is unreachable, or silent for unusually long, gets only single trial commands with backoff.
//  3. Queueing: a command that no host accepts waits as long as a host can still answer it in its client's time, the highest
//     priority first, and among equals the one with the least time.
//  4. Cold start: a recently started host gets a limited fraction of the work of warm hosts.
//  5. Peer updates: routers send each other what answers reveal about a host, within a byte budget.
//  6. Retries: a command that fails on two hosts is not sent to a third. A client's retry is a command like any other.
package policy
