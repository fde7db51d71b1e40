package compatibility

import (
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/statemachine"
)

// Each member disk is read completely: identity, vote, snapshot, every entry, and the state that results from them.
func TestMemberDisksAreReadCompletely(t *testing.T) {
	for _, name := range disks {
		t.Run(name, func(t *testing.T) {
			contents, err := readDisk(copyDisk(t, name))
			require.NoError(t, err)
			requireExpected(t, name+".json", indented(contents.render()))
		})
	}
}

// Checks the values that each fixture was written for explicitly, in addition to the complete renderings in testdata.
func TestMemberDisksHoldWhatWasWritten(t *testing.T) {
	contents := map[string]diskContents{}
	for _, name := range disks {
		read, err := readDisk(copyDisk(t, name))
		require.NoError(t, err)
		contents[name] = read
		require.Equal(t, object{"id": "10.0.0.1:7000+a1", "founders": []string{"10.0.0.1:7000+a1", "10.0.0.2:7000+b1", "10.0.0.3:7000+c1"}},
			identityObject(read.identity), name)
		require.Equal(t, object{"view": uint64(3), "vote": "10.0.0.2:7000+b1", "settled": uint64(2)}, hardStateObject(read.restored.HardState), name)
		require.NotContains(t, read.rejected, true, name)
	}
	for name, size := range map[string]int{"entries": 34, "snapshot": 6, "membership": 5, "torn": 30, "oldest": 6} {
		require.Len(t, contents[name].restored.Entries, size, name)
	}
	for name, index := range map[string]uint64{"entries": 0, "snapshot": 28, "membership": 28, "torn": 0, "oldest": 28} {
		require.Equal(t, index, contents[name].restored.Snapshot.Index, name)
	}
	require.Equal(t, stateObject(contents["entries"].state), stateObject(contents["snapshot"].state), "the same log with and without a snapshot")

	for _, name := range []string{"snapshot", "oldest"} {
		state := stateObject(contents[name].snapshotState)
		require.Equal(t, object{
			"host": "ledger-1", "term": uint64(4), "moving": true, "fence": uint64(28), "holder": "10.0.0.3:7000+c1",
			"at": uint64(27), "to": "ledger-4", "paused": true,
		}, state["leads"].(object)["ledger"], name)
		require.Equal(t, object{"ledger-3": object{
			"id": "ledger-3", "service": "ledger", "address": "10.1.0.3:5432", "zone": "zone-3",
			"generation": "pg16-ledger-3", "capacity": int64(4000), "draining": true, "missing": false, "since": uint64(6),
		}}, state["owed"], name)
		require.Equal(t, map[string]uint64{"router-1": 20, "router-3": 22}, state["routers"], name)
		require.EqualValues(t, 910, state["took"], name)
		require.EqualValues(t, 8, state["generation"], name)
		require.Equal(t, []string{"ledger", "audit"}, state["plan_services"], name)
		require.Len(t, state["hosts"], 5, name)
		require.Equal(t, true, state["hosts"].(object)["audit-6"].(object)["missing"], name)
	}
	state := stateObject(contents["snapshot"].snapshotState)
	require.EqualValues(t, 3250, state["led"])
	require.Equal(t, []object{{"id": "ledger-3", "at": int64(2125)}}, state["gone"])
	require.Equal(t, object{"base": int64(6), "sum": "07d705b0a07b1718d1209e447ca3a469", "at": int64(1625)}, state["taken"].([]object)[4])
	oldest := stateObject(contents["oldest"].snapshotState)
	require.Empty(t, oldest["taken"], "the old form of the applied updates is no longer read")
	require.Empty(t, oldest["gone"], "the old form of the removed hosts is no longer read")

	membershipChange := contents["membership"].restored
	require.Equal(t, []string{"10.0.0.1:7000+a1", "10.0.0.2:7000+b1", "10.0.0.3:7000+c1"}, memberNames(membershipChange.Snapshot.Members))
	require.Equal(t, []string{"10.0.0.1:7000+a1", "10.0.0.2:7000+b1", "10.0.0.3:7000+c1", "10.0.0.4:7000+d1"}, memberNames(membershipChange.Entries[3].Members))
	require.Greater(t, membershipChange.Snapshot.Index+4, membershipChange.HardState.CommittedConfigIndex, "the membership change must not be committed yet")
}

// disks lists the fixtures of member disks.
var disks = []string{"entries", "snapshot", "membership", "torn", "oldest"}

// coverage records the exported fields that were visited, as Type.Field, and those among them that had a nonzero value.
type coverage struct{ visited, nonzero map[string]bool }

// visit records the fields of a value and, recursively, of all values that it contains.
func (seen coverage) visit(value reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			seen.visit(value.Elem())
		}
	case reflect.Slice, reflect.Array:
		for place := range value.Len() {
			seen.visit(value.Index(place))
		}
	case reflect.Map:
		for entries := value.MapRange(); entries.Next(); {
			seen.visit(entries.Value())
		}
	case reflect.Struct:
		for place := range value.NumField() {
			field := value.Type().Field(place)
			if !field.IsExported() {
				continue
			}
			name := value.Type().String() + "." + field.Name
			seen.visited[name] = true
			if !value.Field(place).IsZero() {
				seen.nonzero[name] = true
			}
			seen.visit(value.Field(place))
		}
	}
}

// Each exported field of the stored types must have a nonzero value in some fixture. Otherwise a field could lose its stored name
// unnoticed if the renderings omit it. Renaming a field needs no change here; a new field needs a fixture written by the revision
// that adds it.
func TestEachStoredFieldHasAValueInAFixture(t *testing.T) {
	seen := coverage{map[string]bool{}, map[string]bool{}}
	for _, name := range []string{"entries", "snapshot", "membership"} {
		contents, err := readDisk(copyDisk(t, name))
		require.NoError(t, err)
		for _, stored := range []any{contents.identity, contents.restored, contents.changes} {
			seen.visit(reflect.ValueOf(stored))
		}
		if name == "snapshot" {
			seen.visit(reflect.ValueOf(*contents.snapshotState))
		}
	}
	seen.visit(reflect.ValueOf(readHostLeaving(t)))
	missing := []string{}
	for _, name := range slices.Sorted(maps.Keys(seen.visited)) {
		if !seen.nonzero[name] {
			missing = append(missing, name)
		}
	}
	require.Empty(t, missing)
	require.Len(t, seen.visited, storedFieldCount)

	header := openTrace(t).Header
	deployment, err := record.DecodeDeployment(header.Extra["deployment"])
	require.NoError(t, err)
	require.NotEmpty(t, deployment.Groups)
	seen = coverage{map[string]bool{}, map[string]bool{}}
	seen.visit(reflect.ValueOf(deployment))
	require.Equal(t, slices.Sorted(maps.Keys(seen.visited)), slices.Sorted(maps.Keys(seen.nonzero)))
}

// hostLeavingFile is the fixture of a change that older releases do not write.
const hostLeavingFile = "host-leaving.change"

// readHostLeaving reads the change for a host that leaves without draining first, which older releases do not write. Its stored form
// sets both Drain and Leave, so that older releases read it as a drain.
func readHostLeaving(t *testing.T) statemachine.Change {
	body, err := os.ReadFile(filepath.Join("testdata", hostLeavingFile))
	require.NoError(t, err)
	change, err := statemachine.DecodeChange(body)
	require.NoError(t, err)
	return change
}

func TestChangeOfAHostThatLeavesFirstIsRead(t *testing.T) {
	require.Equal(t, statemachine.Change{LeaderTimeMs: 4125, HostLeaving: "ledger-4"}, readHostLeaving(t))
}

// storedFieldCount is the number of exported fields of the control plane's stored types. It detects types that are not visited.
const storedFieldCount = 80

// A disk of an earlier revision accepts another write, and returns both the old and the new data when it is opened again.
func TestMemberDiskTakesAnotherWrite(t *testing.T) {
	for _, name := range disks {
		t.Run(name, func(t *testing.T) {
			folder := copyDisk(t, name)
			disk, identity, before, err := openDisk(folder)
			require.NoError(t, err)
			next := before.Snapshot.Index + uint64(len(before.Entries)) + 1
			change := statemachine.Change{LeaderTimeMs: 999_999, UpdateProxy: &statemachine.ProxyMembership{Name: "router-added"}}
			entry := consensus.Entry{Term: before.HardState.Term, Data: statemachine.EncodeChange(change)}
			meta := consensus.HardState{Term: before.HardState.Term, Vote: "10.0.0.9:7000+9", CommittedConfigIndex: before.HardState.CommittedConfigIndex}
			require.NoError(t, disk.Save([]consensus.Write{{HardState: &meta, FirstIndex: next, Entries: []consensus.Entry{entry}}}))
			require.NoError(t, disk.Close())

			contents, err := readDisk(folder)
			require.NoError(t, err)
			require.Equal(t, identity, contents.identity)
			require.Equal(t, before.Snapshot, contents.restored.Snapshot)
			require.Equal(t, append(slices.Clone(before.Entries), entry), contents.restored.Entries)
			require.Equal(t, meta, contents.restored.HardState)
			require.Equal(t, next, contents.state.Proxies["router-added"])
			require.EqualValues(t, 999_999, contents.state.LeaderTimeMs)

			snapshot := consensus.Snapshot{Index: next, Term: meta.Term, Members: before.Snapshot.Members, Data: contents.state.Snapshot()}
			disk, _, _, err = openDisk(folder)
			require.NoError(t, err)
			require.NoError(t, disk.Save([]consensus.Write{{Snapshot: &snapshot, CompactThrough: next}}))
			require.NoError(t, disk.Close())
			again, err := readDisk(folder)
			require.NoError(t, err)
			require.Empty(t, again.restored.Entries)
			require.Equal(t, snapshot, again.restored.Snapshot)
			require.Equal(t, stateObject(contents.state), stateObject(again.state), "a snapshot written by this revision restores the same state")
		})
	}
}
