package memberdisk

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
)

func TestOnlyWhatIsSyncedLasts(t *testing.T) {
	var d Disk
	for seq := uint64(1); seq <= 4; seq++ {
		d.Write([]consensus.Write{{Seq: seq, FirstIndex: seq, Entries: []consensus.Entry{{Term: seq}}}})
	}
	d.Sync(2)
	kept := 0
	d.Crash(func() bool { kept++; return kept == 1 })
	restored := d.Restart()
	require.Len(t, restored.Entries, 3, "one of the two unsynced entries is kept")
	restored.Entries[0].Term = 99
	require.EqualValues(t, 1, d.Durable().Entries[0].Term, "changes to the restored copy don't reach the disk")
	require.Zero(t, d.SyncAll())
	d.Write([]consensus.Write{{Seq: 9, HardState: &consensus.HardState{Term: 7}}})
	require.EqualValues(t, 9, d.SyncAll())
	require.EqualValues(t, 7, d.Restart().HardState.Term)
	d.Erase()
	require.Zero(t, d.Restart())
}
