package compatibility

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/statemachine"
)

// member is a control-plane member with its disk. Its state includes all entries that its node has committed.
type member struct {
	id    consensus.ID
	wal   *storage.WAL
	node  *consensus.Node
	state *statemachine.State
}

// cluster is a set of members that exchange messages without delay.
type cluster struct {
	t        *testing.T
	nowMs    int64
	members  map[consensus.ID]*member
	messages []consensus.Message
}

// start starts a member from the disk in folder and adds it to the cluster.
func (c *cluster) start(folder string, identity storage.Identity) *member {
	c.t.Helper()
	wal, stored, restored, err := storage.Open(folder, func() storage.Identity { return identity })
	require.NoError(c.t, err)
	require.Equal(c.t, identity, stored)
	state, err := statemachine.Restore(restored.Snapshot.Data)
	require.NoError(c.t, err)
	state.Index = restored.Snapshot.Index
	random := func() float64 { return float64(len(c.members)) / 3 }
	node := consensus.New(identity.ID, consensus.DefaultConfig(1), restored, identity.Founders, random, c.nowMs)
	started := &member{identity.ID, wal, node, state}
	c.members[identity.ID] = started
	return started
}

// handle processes the output of a node: it queues messages, applies committed entries and saves writes.
func (c *cluster) handle(m *member, ready consensus.Ready) {
	c.t.Helper()
	c.messages = append(c.messages, ready.Messages...)
	for _, committed := range ready.Committed {
		require.Nil(c.t, committed.Snapshot, "no member needs a snapshot")
		if len(committed.Data) == 0 {
			continue
		}
		change, err := statemachine.DecodeChange(committed.Data)
		require.NoError(c.t, err)
		require.NoError(c.t, m.state.Apply(committed.Index, change))
	}
	if len(ready.Writes) > 0 {
		require.NoError(c.t, m.wal.Save(ready.Writes))
		c.handle(m, m.node.Persisted(ready.Writes[len(ready.Writes)-1].Seq, c.nowMs))
	}
}

// runUntil advances the time and delivers messages until a condition holds, for 20 s at most.
func (c *cluster) runUntil(description string, condition func() bool) {
	c.t.Helper()
	const tickMs, timeoutMs = 10, 20_000
	for deadline := c.nowMs + timeoutMs; !condition(); c.nowMs += tickMs {
		require.Less(c.t, c.nowMs, deadline, description)
		for _, id := range []consensus.ID{memberA, memberB, memberC} {
			c.handle(c.members[id], c.members[id].node.Tick(c.nowMs))
		}
		for len(c.messages) > 0 {
			message := c.messages[0]
			c.messages = c.messages[1:]
			if receiver, ok := c.members[message.To]; ok {
				c.handle(receiver, receiver.node.Step(message, c.nowMs))
			}
		}
	}
}

// copyToNewDisk creates a disk for another member with the same log, and returns its folder.
func copyToNewDisk(t *testing.T, identity storage.Identity, restored consensus.RestoredState) (folder string) {
	t.Helper()
	folder = t.TempDir()
	wal, _, _, err := storage.Open(folder, func() storage.Identity { return identity })
	require.NoError(t, err)
	write := consensus.Write{HardState: &restored.HardState, FirstIndex: restored.Snapshot.Index + 1, Entries: restored.Entries}
	if restored.Snapshot.Index > 0 {
		write.Snapshot, write.CompactThrough = &restored.Snapshot, restored.Snapshot.Index
	}
	require.NoError(t, wal.Save([]consensus.Write{write}))
	require.NoError(t, wal.Close())
	return folder
}

// leader waits until a member holds the leader lease, and returns that member.
func (c *cluster) leader() (leader *member) {
	c.t.Helper()
	c.runUntil("a leader holds the lease", func() bool {
		for _, m := range c.members {
			if m.node.HoldsLease(c.nowMs) {
				leader = m
			}
		}
		return leader != nil
	})
	return leader
}

// propose makes the leader propose a change that adds a proxy, waits until all members have applied it, and returns its index.
func (c *cluster) propose(proxy string) (index uint64) {
	c.t.Helper()
	leader := c.leader()
	change := statemachine.Change{LeaderTimeMs: 999_999, UpdateProxy: &statemachine.ProxyMembership{Name: proxy}}
	index, ready := leader.node.Propose(statemachine.EncodeChange(change), c.nowMs)
	require.NotZero(c.t, index)
	c.handle(leader, ready)
	c.runUntil("all members have applied the change", func() bool {
		for _, m := range c.members {
			if m.state.Proxies[proxy] != index {
				return false
			}
		}
		return true
	})
	return index
}

// A member starts on the disk of an earlier revision, which has the old file name, takes part in an election, and stores and applies
// committed entries. The file has the new name afterwards, and opening the disk again returns all data.
func TestMemberOnAnEarlierDiskStartsAndServes(t *testing.T) {
	for _, name := range disks {
		t.Run(name, func(t *testing.T) {
			founders := []consensus.ID{memberA, memberB, memberC}
			folder := copyDisk(t, name)
			before, err := readDisk(copyDisk(t, name))
			require.NoError(t, err)
			c := &cluster{t: t, members: map[consensus.ID]*member{}}
			a := c.start(folder, storage.Identity{ID: memberA, Founders: founders})
			for _, id := range founders[1:] {
				identity := storage.Identity{ID: id, Founders: founders}
				c.start(copyToNewDisk(t, identity, before.restored), identity)
			}

			index := c.propose("router-added")
			require.Greater(t, a.node.Term(), before.restored.HardState.Term)
			for _, m := range c.members {
				require.Equal(t, stateObject(a.state), stateObject(m.state))
				require.NoError(t, m.wal.Close())
			}

			files, err := os.ReadDir(folder)
			require.NoError(t, err)
			require.Len(t, files, 1)
			require.Equal(t, "consensus.db", files[0].Name())
			after, err := readDisk(folder)
			require.NoError(t, err)
			require.Equal(t, before.restored.Snapshot, after.restored.Snapshot)
			require.Equal(t, before.restored.Entries, after.restored.Entries[:len(before.restored.Entries)])
			require.Equal(t, index, after.state.Proxies["router-added"])
			require.Equal(t, stateObject(a.state), stateObject(after.state))
		})
	}
}
