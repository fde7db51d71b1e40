package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// network is a group of members whose disks sync at once, and whose messages stay in flight until a test delivers
// them.
type network struct {
	t           *testing.T
	nowMs       int64
	nodes       map[ID]*Node
	disks       map[ID]*RestoredState
	inFlight    []Message
	stalledDisk ID      // member whose disk completes no writes
	randomValue float64 // random number returned to the nodes; increases with each start
}

func newNetwork(t *testing.T, ids ...ID) *network {
	n := &network{t: t, nowMs: 1 << 30, nodes: map[ID]*Node{}, disks: map[ID]*RestoredState{}}
	for _, id := range ids {
		n.disks[id] = &RestoredState{}
	}
	for _, id := range ids {
		n.start(id, ids...)
	}
	return n
}

// newNetworkLedByC returns members a, b and c. c has been elected with a's vote, and b has received no messages from
// it.
func newNetworkLedByC(t *testing.T) *network {
	n := newNetwork(t, "a", "b", "c")
	n.electC("a")
	return n
}

// electC elects c with the vote of another member.
func (n *network) electC(voter ID) {
	n.nowMs += 800
	for range 20 {
		n.tick("c")
		n.deliver(between("c", voter))
		n.nowMs += 20
	}
	require.Equal(n.t, []ID{"c"}, n.leaseHolders())
	n.inFlight = nil
}

// start starts a member from its disk.
func (n *network) start(id ID, founders ...ID) {
	n.randomValue += 0.01
	n.nodes[id] = New(id, DefaultConfig(1), *n.disks[id], founders, func() float64 { return n.randomValue }, n.nowMs)
}

func (n *network) handleReady(id ID, ready Ready) {
	n.inFlight = append(n.inFlight, ready.Messages...)
	if id == n.stalledDisk {
		return
	}
	for _, write := range ready.Writes {
		n.disks[id].ApplyWrite(write)
		n.handleReady(id, n.nodes[id].Persisted(write.Seq, n.nowMs))
	}
}

func (n *network) tick(id ID) { n.handleReady(id, n.nodes[id].Tick(n.nowMs)) }

// heartbeatNow makes a leader send heartbeats at once.
func (n *network) heartbeatNow(id ID) {
	n.nodes[id].leadership.nextHeartbeatAtMs = 0
	n.tick(id)
}

// deliver delivers the matching messages, and those sent in response, until none are left.
func (n *network) deliver(matches func(m Message) bool) {
	for delivered := true; delivered; {
		delivered = false
		messages := n.inFlight
		n.inFlight = nil
		for _, m := range messages {
			if !matches(m) {
				n.inFlight = append(n.inFlight, m)
				continue
			}
			delivered = true
			n.handleReady(m.To, n.nodes[m.To].Step(m, n.nowMs))
		}
	}
}

func everyMessage(Message) bool { return true }

// between matches the messages between two members.
func between(x, y ID) func(Message) bool {
	return func(m Message) bool { return m.From == x && m.To == y || m.From == y && m.To == x }
}

func (n *network) leaseHolders() (holders []ID) {
	for _, id := range []ID{"a", "b", "c"} {
		if n.nodes[id].HoldsLease(n.nowMs) {
			holders = append(holders, id)
		}
	}
	return holders
}

func (n *network) requireOneLease() {
	n.t.Helper()
	require.LessOrEqual(n.t, len(n.leaseHolders()), 1, "%v hold a lease", n.leaseHolders())
}
