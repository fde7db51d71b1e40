// Package consensus replicates the control plane's log among its members with Raft. Section numbers in comments
// are those of Ongaro's dissertation, "Consensus: Bridging Theory and Practice" (2014).
//
// Data flows through [Node] as through a pure function of its calls:
//
//	Propose, Step (a member's message), Tick, Persisted  ->  Node  ->  Ready: writes, messages, committed entries
//
// The caller puts the writes on disk in their order and reports them with Persisted, sends the messages, and applies
// the committed entries in their order. Messages that claim something to be on disk come out of Persisted, not before.
//
// What differs from the dissertation, or extends it:
//
//   - A leader serves under a lease (6.4.1): HoldsLease is true while a majority has promised, by answering a
//     heartbeat, to vote for nobody else. A restarted member honours the promises that it may have made before.
//   - Every election but that of a leadership transfer starts with a Pre-Vote (9.6), and a member within a lease ignores
//     vote requests (4.2.3).
//   - Members change by joint majorities of all configurations from the newest committed one on (4.3, generalized). The
//     index of the newest committed configuration is part of the hard state and travels with votes.
//   - A member whose disk was lost returns under another ID as a learner (4.2.1), and becomes a voter once it holds all
//     that is committed.
//   - A member that shuts down asks to be replaced by a learner first (MsgLeave).
//   - Snapshots travel in chunks (5) with a digest, several of them in flight.
//
// The package is pure: it starts no goroutine, reads no clock and draws no random number of its own. Times are
// milliseconds of a monotonic clock that the caller passes in.
package consensus
