// Package consensus is the ordered log of the control plane: all members of a view
// deliver changes in one order; a change of view stops, trims and goes on.
//
//	Propose, Step (a member's message), Tick, Saved  ->  Core  ->  Out: what to put on disk, send and deliver
//
// A view has a number and one leader. A member that takes part in a view takes nothing of older views any more (it
// stops), drops what the view's leader does not hold (it trims), and takes what the leader appends (it goes on). A
// change is delivered once a majority of the members has it on disk; who the members are is itself a change. A member
// whose disk was lost comes back under another name, a learner, and counts for nothing until it holds all that had
// been delivered. A leader holds its view for as long as a majority has promised to take part in no other.
//
// Pure: the caller brings time in milliseconds of a steady clock, messages, and word that a write is on disk.
package consensus
