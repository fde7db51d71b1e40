// Package control runs one member of the control plane (program ferrypitch-control). Three or more members replicate one state:
// the operator's configuration, the hosts and the primary of each service. The leader serves operators, hosts and proxies, and
// performs failover.
//
//	operator, host -> HTTP -> Server -> consensus (log) -> statemachine -> LogUpdate -> proxies
//	                            |
//	                            +-> failover -> queries to hosts, promotions at the platform
//
// Server holds all state and is used by a single goroutine. It performs I/O only through its Environment and never blocks, so
// that tests can run whole clusters in one goroutine on a simulated clock and network. Run connects a Server to sockets, its data
// directory, timers and signals, and owns all other goroutines; they pass their results to the Server through a queue. The
// decisions are made in the packages consensus, statemachine, failover and lease, which are pure.
package control
