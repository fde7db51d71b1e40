package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// stallDisk leaves all further writes of a node pending.
func (n *network) stallDisk(id ID) { n.stalledDisk = id }

// runFor ticks the nodes except those in down, and delivers the messages between them.
func (n *network) runFor(durationMs int64, down ...ID) {
	isDown := map[ID]bool{}
	for _, id := range down {
		isDown[id] = true
	}
	for end := n.nowMs + durationMs; n.nowMs < end; n.nowMs += 20 {
		for _, id := range []ID{"a", "b", "c"} {
			if !isDown[id] {
				n.tick(id)
			}
		}
		n.deliver(func(m Message) bool { return !isDown[m.From] && !isDown[m.To] })
	}
}

// A leader with a stalled disk transfers its leadership soon after DiskTimeoutMs, and an entry proposed in the
// meantime is committed.
func TestLeaderWithAStalledDiskTransfersLeadership(t *testing.T) {
	n := newNetworkLedByC(t)
	n.runFor(600)
	require.Equal(t, []ID{"c"}, n.leaseHolders())
	n.stallDisk("c")
	index, ready := n.nodes["c"].Propose([]byte("x"), n.nowMs)
	n.handleReady("c", ready)
	stalledAtMs := n.nowMs
	for holders := n.leaseHolders(); len(holders) != 1 || holders[0] == "c"; holders = n.leaseHolders() {
		n.requireOneLease()
		n.runFor(20)
		require.Less(t, n.nowMs-stalledAtMs, n.nodes["c"].DiskTimeoutMs+300, "the leader has not transferred its leadership")
	}
	require.EqualValues(t, 1, n.nodes["c"].DiskHandovers)
	n.runFor(300)
	require.GreaterOrEqual(t, n.nodes[n.leaseHolders()[0]].CommitIndex(), index)
	n.runFor(3000)
	require.Len(t, n.leaseHolders(), 1)
}

// A leader with a stalled disk keeps its leadership, and its lease, if no other member could be elected without that
// disk.
func TestLeaderWithAStalledDiskKeepsLeadershipIfNoOtherCanLead(t *testing.T) {
	n := newNetworkLedByC(t)
	n.runFor(600)
	n.stallDisk("c")
	_, ready := n.nodes["c"].Propose([]byte("x"), n.nowMs)
	n.handleReady("c", ready)
	n.runFor(4000, "a")
	require.Equal(t, []ID{"c"}, n.leaseHolders())
	require.Zero(t, n.nodes["c"].DiskHandovers)
}

// The number of writes pending on a stalled disk is bounded: a leader rejects proposals, and a follower ignores
// entries.
func TestPendingWritesAreBounded(t *testing.T) {
	n := newNetworkLedByC(t)
	n.runFor(600)
	n.stallDisk("c")
	refused := 0
	for range 2 * maxPendingWrites {
		index, ready := n.nodes["c"].Propose([]byte("x"), n.nowMs)
		if index == 0 {
			refused++
		}
		n.handleReady("c", ready)
	}
	require.GreaterOrEqual(t, refused, maxPendingWrites)
	require.LessOrEqual(t, n.nodes["c"].PendingWriteCount(), maxPendingWrites)

	n = newNetworkLedByC(t)
	n.runFor(600)
	n.stallDisk("a")
	for range 2 * maxPendingWrites {
		_, ready := n.nodes["c"].Propose([]byte("x"), n.nowMs)
		n.handleReady("c", ready)
		n.deliver(everyMessage)
		n.nowMs += n.nodes["c"].RetransmitMs
		n.handleReady("c", n.nodes["c"].Tick(n.nowMs))
		n.deliver(everyMessage)
	}
	require.LessOrEqual(t, n.nodes["a"].PendingWriteCount(), maxPendingWrites)
}
