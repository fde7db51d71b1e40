// Package consensus replicates the control plane's log among its members with Raft. Section numbers in comments
// refer to Ongaro's dissertation, "Consensus: Bridging Theory and Practice" (2014).
//
// A [Node] is a deterministic state machine driven by its caller. Each call returns the resulting output:
//
//	Propose, Step (a member's message), Tick, Persisted  ->  Node  ->  Ready: writes, messages, committed entries
//
// The caller performs the writes in order and reports them with Persisted, sends the messages, and applies the
// committed entries in order. Messages that depend on a write are returned by Persisted, not before.
//
// The implementation differs from the dissertation, or extends it, as follows:
//
//   - A leader serves under a lease (6.4.1): HoldsLease is true while a majority has promised, by answering a
//     heartbeat, to vote for nobody else. A restarted member keeps the promises that it may have made before.
//   - Every election except that of a leadership transfer starts with a Pre-Vote (9.6), and a member bound by a lease
//     ignores vote requests (4.2.3).
//   - Membership changes need joint majorities of all configurations from the newest committed one on (4.3,
//     generalized). The index of the newest committed configuration is part of the hard state and is sent with votes.
//   - A member that has lost its disk returns under another ID as a learner (4.2.1), and becomes a voter once it holds
//     all committed entries.
//   - A member that shuts down first asks to be replaced by a learner (MsgLeave).
//   - Snapshots are transferred in chunks (5) with a digest, several of them in flight.
//
// The package starts no goroutines, reads no clock and has no random source of its own. Times are milliseconds of a
// monotonic clock passed in by the caller.
package consensus
