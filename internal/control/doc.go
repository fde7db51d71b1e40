// Package control runs one member of the control plane (program ferrypitch-control). Three or more members replicate one state:
// the operator's configuration, the hosts and the primary of each service. The member that leads serves operators, hosts and
// proxies, and carries out fail-over.
//
//	operator, host -> HTTP -> Server -> consensus (log) -> statemachine -> LogUpdate -> proxies
//	                            |
//	                            +-> failover -> queries to hosts, promotions at the platform
//
// Server holds all state and is used by one goroutine. It reaches the outside only by its Environment, and waits for nothing
// but room in the queue of writes, so that tests run whole clusters in one goroutine on a simulated clock and network. Run
// gives a Server its sockets, its data directory, timers and signals, and owns all other goroutines; they pass results to the
// Server by a queue. The decisions are made in the packages consensus, statemachine, failover and lease, which are pure.
package control
