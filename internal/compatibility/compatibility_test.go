package compatibility

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/internal/router/trace/tool"
	"ferrypitch/internal/snapshotfile"
	"ferrypitch/policy"
)

// object is a JSON object whose keys are literals here, so that they don't follow the names of fields.
type object = map[string]any

// digests are SHA-256 sums of the expected renderings, so that a changed expectation is seen as well as a changed reading.
var digests = map[string]string{
	"entries.json":    "fcbce68d90f9f20aefc337eae7152b9d32876f29752ada7d85ca00ffbcf6e8da",
	"forward.json":    "da39702de1051fb7c8cc2b68d0539054ec7b84cbfecafe09bc5ba3e83d2eaae8",
	"membership.json": "1111521b413ba929ceca1c41862f4dea98ac589b44a70c23c175c959c54e8896",
	"oldest.json":     "3dd0b4860f631179270d1c11901f58a54fac0ffb57257be98a90237595cd1f3f",
	"snapshot.json":   "c5cee7a678dab755dcd60a0e9d8801c2b033a683ca414ebdfb0e93c21c723990",
	"torn.json":       "ac776743ba07f4259803355148a535bf64617f2d8da0a98deacc83534518fa32",
	"router.jsonl":    "e4fc0a930f2e4079eaf82f7aebed314f112fddd2329871bd23294fdeef556f77",
}

// identityObject renders a member's identity.
func identityObject(identity storage.Identity) object {
	return object{"id": string(identity.ID), "founders": memberNames(identity.Founders)}
}

// memberNames are member ids as plain strings.
func memberNames(members []consensus.ID) []string {
	names := []string{}
	for _, member := range members {
		names = append(names, string(member))
	}
	return names
}

// hardStateObject renders what a member stores of its view, vote and settled change of members.
func hardStateObject(meta consensus.HardState) object {
	return object{"view": meta.Term, "vote": string(meta.Vote), "settled": meta.CommittedConfigIndex}
}

// hostObject renders a database host.
func hostObject(host statemachine.Host) object {
	return object{
		"id": host.ID, "service": host.Service, "address": host.Address, "zone": host.Zone, "generation": host.Generation,
		"capacity": host.Capacity, "draining": host.Draining, "missing": host.Missing, "since": host.AddedAt,
	}
}

// hostObjects renders hosts by their ids.
func hostObjects(hosts map[string]statemachine.Host) object {
	all := object{}
	for id, host := range hosts {
		all[id] = hostObject(host)
	}
	return all
}

// stateObject renders every field of the replicated state.
func stateObject(state *statemachine.State) object {
	taken, gone, leads, services := []object{}, []object{}, object{}, []string{}
	for _, order := range state.AppliedUpdates {
		taken = append(taken, object{"base": order.BaseVersion, "sum": hex.EncodeToString(order.Digest[:]), "at": order.LedTimeMs})
	}
	for _, departure := range state.RemovedHosts {
		gone = append(gone, object{"id": departure.ID, "at": departure.LedTimeMs})
	}
	for service, lead := range state.Primaries {
		leads[service] = object{
			"host": lead.Host, "term": lead.Term, "moving": lead.Revoked, "fence": lead.FencingToken, "holder": lead.Owner,
			"at": lead.ChangedAt, "to": lead.Nominee, "paused": lead.ReplicasPaused,
		}
	}
	if plan := state.Config(); plan != nil {
		for _, service := range plan.Services {
			services = append(services, service.Name)
		}
	}
	return object{
		"index": state.Index, "configuration": string(state.ConfigBody), "generation": state.Generation, "led": state.LedTimeMs, "taken": taken,
		"hosts": hostObjects(state.Hosts), "leads": leads, "gone": gone, "owed": hostObjects(state.UnaccountedHosts), "took": state.LastPromotionMs,
		"routers": state.Proxies, "plan_services": services,
	}
}

// changeObject renders every field of one change in the log.
func changeObject(change statemachine.Change) object {
	all := object{"led": change.LedTimeMs, "drain": change.DrainHost, "leave": change.RemoveHost, "missing": change.MarkMissing, "resumed": change.ReplicationResumed}
	if update := change.UpdateConfig; update != nil {
		all["configure"] = object{
			"base": update.BaseVersion, "amend": update.IsAmendment, "body": string(update.Body),
			"sent": hex.EncodeToString(update.RequestDigest[:]), "was": hex.EncodeToString(update.BaseDigest[:]),
			"whole": hex.EncodeToString(update.ResultDigest[:]), "difference": hex.EncodeToString(update.Diff),
		}
	}
	if host := change.AddHost; host != nil {
		all["enter"] = hostObject(*host)
	}
	if revoke := change.RevokePrimary; revoke != nil {
		all["recall"] = object{"service": revoke.Service, "holder": revoke.Owner}
	}
	if nominate := change.NominatePrimary; nominate != nil {
		all["named"] = object{"service": nominate.Service, "host": nominate.Host, "holder": nominate.Owner}
	}
	if appoint := change.AppointPrimary; appoint != nil {
		all["lead"] = object{"service": appoint.Service, "host": appoint.Host, "term": appoint.Term, "took": appoint.PromotionMs}
	}
	if proxy := change.Proxy; proxy != nil {
		all["router"] = object{"node": proxy.Node, "gone": proxy.Removed}
	}
	return all
}

// diskContents is what a member's disk held, with the states that it gives.
type diskContents struct {
	identity      storage.Identity
	restored      consensus.RestoredState
	snapshotState *statemachine.State // of the snapshot alone
	state         *statemachine.State // with the entries applied
	changes       []statemachine.Change
	refused       []bool
}

// openDisk opens a member's disk, which must not be taken for a broken one.
func openDisk(folder string) (*storage.WAL, storage.Identity, consensus.RestoredState, error) {
	disk, identity, restored, err := storage.Open(folder, func() storage.Identity { return storage.Identity{ID: "not read"} })
	if err == nil && identity.ID == "not read" {
		err = fmt.Errorf("%s: the disk was put aside as broken", folder)
	}
	return disk, identity, restored, err
}

// readDisk reads all of a member's disk and closes it.
func readDisk(folder string) (contents diskContents, err error) {
	disk, identity, restored, err := openDisk(folder)
	if err != nil {
		return contents, err
	}
	if err := disk.Close(); err != nil {
		return contents, err
	}
	contents.identity, contents.restored = identity, restored
	if contents.snapshotState, err = statemachine.Restore(restored.Snapshot.Data); err != nil {
		return contents, err
	}
	if contents.state, err = statemachine.Restore(restored.Snapshot.Data); err != nil {
		return contents, err
	}
	for place, entry := range restored.Entries {
		change, refused := statemachine.Change{}, false
		if len(entry.Data) > 0 {
			if change, err = statemachine.DecodeChange(entry.Data); err != nil {
				return contents, fmt.Errorf("entry %d: %w", place, err)
			}
			refused = contents.state.Apply(restored.Snapshot.Index+uint64(place)+1, change) != nil
		}
		contents.changes, contents.refused = append(contents.changes, change), append(contents.refused, refused)
	}
	return contents, nil
}

// render is everything of a disk with literal keys.
func (contents diskContents) render() object {
	snapshot, entries := contents.restored.Snapshot, []object{}
	for place, entry := range contents.restored.Entries {
		sum := sha256.Sum256(entry.Data)
		rendered := object{
			"index": snapshot.Index + uint64(place) + 1, "view": entry.Term, "members": memberNames(entry.Members),
			"body_bytes": len(entry.Data), "body_sha256": hex.EncodeToString(sum[:]),
		}
		if len(entry.Data) > 0 {
			rendered["change"], rendered["refused"] = changeObject(contents.changes[place]), contents.refused[place]
		}
		entries = append(entries, rendered)
	}
	return object{
		"identity": identityObject(contents.identity), "meta": hardStateObject(contents.restored.HardState),
		"snapshot": object{"index": snapshot.Index, "view": snapshot.Term, "members": memberNames(snapshot.Members), "state": stateObject(contents.snapshotState)},
		"entries":  entries, "state": stateObject(contents.state),
	}
}

// indented is a rendering as the expectations in testdata have it.
func indented(value any) []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(value); err != nil {
		panic(err) // objects, texts and numbers alone
	}
	return out.Bytes()
}

// copyDisk copies a disk fixture into a folder of the test, since opening may rewrite it.
func copyDisk(t *testing.T, name string) string {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("testdata", name+".ratchet.db"))
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "ratchet.db"), body, 0o600))
	return folder
}

// requireExpected compares a rendering with the one in testdata, and that one with its digest.
func requireExpected(t *testing.T, file string, rendered []byte) {
	t.Helper()
	expected, err := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, err)
	require.Equal(t, string(expected), string(rendered))
	sum := sha256.Sum256(rendered)
	require.Equal(t, digests[file], hex.EncodeToString(sum[:]))
}

// The disks of members are read whole: identity, vote, snapshot, every entry, and the state that they build.
func TestMemberDisksAreReadCompletely(t *testing.T) {
	for _, name := range disks {
		t.Run(name, func(t *testing.T) {
			contents, err := readDisk(copyDisk(t, name))
			require.NoError(t, err)
			requireExpected(t, name+".json", indented(contents.render()))
		})
	}
}

// What the fixtures are there for is spelled out here as well, beside the whole renderings in testdata.
func TestMemberDisksHoldWhatWasWritten(t *testing.T) {
	contents := map[string]diskContents{}
	for _, name := range disks {
		read, err := readDisk(copyDisk(t, name))
		require.NoError(t, err)
		contents[name] = read
		require.Equal(t, object{"id": "10.0.0.1:7000+a1", "founders": []string{"10.0.0.1:7000+a1", "10.0.0.2:7000+b1", "10.0.0.3:7000+c1"}},
			identityObject(read.identity), name)
		require.Equal(t, object{"view": uint64(3), "vote": "10.0.0.2:7000+b1", "settled": uint64(2)}, hardStateObject(read.restored.HardState), name)
		require.NotContains(t, read.refused, true, name)
	}
	for name, size := range map[string]int{"entries": 34, "snapshot": 6, "membership": 5, "torn": 30, "oldest": 6} {
		require.Len(t, contents[name].restored.Entries, size, name)
	}
	for name, index := range map[string]uint64{"entries": 0, "snapshot": 28, "membership": 28, "torn": 0, "oldest": 28} {
		require.Equal(t, index, contents[name].restored.Snapshot.Index, name)
	}
	require.Equal(t, stateObject(contents["entries"].state), stateObject(contents["snapshot"].state), "the same log, with a snapshot in it or not")

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
	require.Empty(t, oldest["taken"], "that form of the orders is not read any more")
	require.Empty(t, oldest["gone"], "nor that of the hosts that left")

	moving := contents["membership"].restored
	require.Equal(t, []string{"10.0.0.1:7000+a1", "10.0.0.2:7000+b1", "10.0.0.3:7000+c1"}, memberNames(moving.Snapshot.Members))
	require.Equal(t, []string{"10.0.0.1:7000+a1", "10.0.0.2:7000+b1", "10.0.0.3:7000+c1", "10.0.0.4:7000+d1"}, memberNames(moving.Entries[3].Members))
	require.Greater(t, moving.Snapshot.Index+4, moving.HardState.CommittedConfigIndex, "the change of members is not settled")
}

// disks are the fixtures of member disks.
var disks = []string{"entries", "snapshot", "membership", "torn", "oldest"}

// coverage notes which exported fields of which types were seen, and which of them with a value.
type coverage struct{ known, filled map[string]bool }

// visit visits a value and all that it holds.
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
			seen.known[name] = true
			if !value.Field(place).IsZero() {
				seen.filled[name] = true
			}
			seen.visit(value.Field(place))
		}
	}
}

// Each exported field of the stored types has a value somewhere in a fixture, so none can lose its stored name unseen, also
// if the renderings here forget it. It needs no change when a field is renamed. A new field wants a fixture of the revision
// that brings it.
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
	missing := []string{}
	for _, name := range slices.Sorted(maps.Keys(seen.known)) {
		if !seen.filled[name] {
			missing = append(missing, name)
		}
	}
	require.Empty(t, missing)
	require.Len(t, seen.known, knownFields)

	header := openTrace(t).Header
	deployment, err := record.ReadDeployment(header.More["deployment"])
	require.NoError(t, err)
	require.NotEmpty(t, deployment.Groups)
	seen = coverage{map[string]bool{}, map[string]bool{}}
	seen.visit(reflect.ValueOf(deployment))
	require.Equal(t, slices.Sorted(maps.Keys(seen.known)), slices.Sorted(maps.Keys(seen.filled)))
}

// knownFields is how many exported fields the stored types of the control plane have, so that none drops out of the look.
const knownFields = 79

// A disk of an earlier revision is opened, takes another write, and holds the old and the new when it is opened again.
func TestMemberDiskTakesAnotherWrite(t *testing.T) {
	for _, name := range disks {
		t.Run(name, func(t *testing.T) {
			folder := copyDisk(t, name)
			disk, identity, before, err := openDisk(folder)
			require.NoError(t, err)
			next := before.Snapshot.Index + uint64(len(before.Entries)) + 1
			change := statemachine.Change{LedTimeMs: 999_999, Proxy: &statemachine.ProxyMembership{Node: "router-added"}}
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
			require.EqualValues(t, 999_999, contents.state.LedTimeMs)

			snapshot := consensus.Snapshot{Index: next, Term: meta.Term, Members: before.Snapshot.Members, Data: contents.state.Snapshot()}
			disk, _, _, err = openDisk(folder)
			require.NoError(t, err)
			require.NoError(t, disk.Save([]consensus.Write{{Snapshot: &snapshot, CompactThrough: next}}))
			require.NoError(t, disk.Close())
			again, err := readDisk(folder)
			require.NoError(t, err)
			require.Empty(t, again.restored.Entries)
			require.Equal(t, snapshot, again.restored.Snapshot)
			require.Equal(t, stateObject(contents.state), stateObject(again.state), "a snapshot written now holds the same state")
		})
	}
}

// openTraceFile opens the trace fixture.
func openTraceFile() (*tool.Source, error) {
	return tool.Open(filepath.Join(*fixturesFolder, "router.fptrace"))
}

// openTrace opens the trace fixture for a test.
func openTrace(t *testing.T) *tool.Source {
	t.Helper()
	source, err := openTraceFile()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, source.Close()) })
	return source
}

// deploymentObject renders every field of the deployment in a trace's header, which is stored by the names of its fields.
func deploymentObject(deployment policy.Deployment) object {
	groups := []object{}
	for _, group := range deployment.Groups {
		groups = append(groups, object{
			"effect": group.Effect, "need": group.Need, "bound": group.Bound, "target": group.Target,
			"timeout": group.Timeout, "memory": group.Memory, "every_set": group.EverySet, "benefit": group.Benefit, "late_share": group.LateShare,
		})
	}
	return object{
		"seed": deployment.Seed, "zero": deployment.Zero, "tick": deployment.Tick, "routers": deployment.Routers,
		"zone": deployment.Zone, "dispatches": deployment.Dispatches, "guarded": deployment.Guarded, "wait": deployment.Wait,
		"kept": deployment.Kept, "reports": deployment.Reports, "probes": deployment.Probes, "led": deployment.Led, "told": deployment.Told,
		"peers": deployment.Peers, "peer_price": deployment.PeerPrice, "probe_price": deployment.ProbePrice,
		"streams": deployment.Streams, "idle_for": deployment.IdleFor, "connect_for": deployment.ConnectFor, "comeback": deployment.Comeback,
		"fall_factor": deployment.FallFactor, "fall_span": deployment.FallSpan, "cold_from": deployment.ColdFrom, "cold_for": deployment.ColdFor,
		"drain_alone": deployment.DrainAlone, "ask_within": deployment.AskWithin, "groups": groups,
	}
}

// renderTrace renders a trace whole: a line for its header, one for each event, and one for its counts.
func renderTrace(source *tool.Source) ([]byte, error) {
	header := source.Header
	deployment, err := record.ReadDeployment(header.More["deployment"])
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	line := func(value any) {
		body, err := json.Marshal(value)
		if err != nil {
			panic(err) // objects, texts and numbers alone
		}
		out.Write(append(body, '\n'))
	}
	line(object{
		"router": header.Router, "life": header.Life, "began": header.Began, "build": header.Build, "part": header.Part,
		"key": hex.EncodeToString(header.Key), "deployment": deploymentObject(deployment), "groups": tool.Groups(header),
	})
	for _, kind := range header.Schema {
		columns := []string{}
		for _, column := range kind.Columns {
			columns = append(columns, fmt.Sprintf("%s/%d/%d", column.Name, column.Type, column.Mark))
		}
		line(object{"schema": kind.Name, "columns": columns})
	}
	events := 0
	if err := source.Each(tool.Window{}, nil, func(event traceEvent) error {
		events++
		line(tool.Object(header.Schema, event))
		return nil
	}); err != nil {
		return nil, err
	}
	line(object{"events": events, "blocks": source.Blocks, "lost": source.Lost, "faults": len(source.Faults)})
	return out.Bytes(), nil
}

// A trace file is read whole, by its index and from its beginning; its deployment still makes a replay.
func TestTraceFileIsReadCompletely(t *testing.T) {
	source := openTrace(t)
	rendered, err := renderTrace(source)
	require.NoError(t, err)
	requireExpected(t, "router.jsonl", rendered)
	require.NoError(t, source.Broken)
	require.Len(t, source.Spans, 2)
	require.Equal(t, 2, source.Blocks)
	require.EqualValues(t, 5, source.Lost)
	lines := strings.Split(strings.TrimSuffix(string(rendered), "\n"), "\n")
	require.Len(t, lines, 1+35+2*35+1, "a header, the kinds, two events of each, the counts")
	require.Equal(t, `{"blocks":2,"events":70,"faults":0,"lost":5}`, lines[len(lines)-1])
	_, err = replay.New(source.Header, 10)
	require.NoError(t, err)
	for place, kind := range source.Header.Schema { // tools look columns up by name, a replay by place
		require.Equal(t, kind.Name, record.Schema[place].Name)
		require.Equal(t, kind.Columns, record.Schema[place].Columns[:len(kind.Columns)], kind.Name)
	}

	body, err := os.ReadFile(filepath.Join("testdata", "router.fptrace"))
	require.NoError(t, err)
	cut := filepath.Join(t.TempDir(), "cut.fptrace") // without its index: what a crash leaves
	require.NoError(t, os.WriteFile(cut, body[:len(body)-8], 0o600))
	source, err = tool.Open(cut)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, source.Close()) })
	require.Empty(t, source.Spans)
	again, err := renderTrace(source)
	require.NoError(t, err)
	require.Equal(t, string(rendered), string(again))
}

// versionObject renders the version of a host list.
func versionObject(version view.Version) object {
	return object{"generation": version.Gen, "revision": version.Rev}
}

// viewHostObject renders every field of a host in a view.
func viewHostObject(host view.Host) object {
	return object{
		"name": host.Name, "address": host.Address, "zone": host.Zone, "kind": host.Kind, "set": host.Set, "size": host.Size,
		"leader": host.Leader, "standing": host.Standing, "version": versionObject(host.Version), "boot": host.Boot, "position": host.Pos,
		"role": host.Role, "role_at": host.RoleAt, "turn": host.Turn, "late": host.Late,
	}
}

// viewObject renders every field of a kept view.
func viewObject(change view.Change) object {
	hosts := []object{}
	for _, host := range change.Hosts {
		hosts = append(hosts, viewHostObject(host))
	}
	return object{
		"life": change.Life, "sequence": change.Seq, "whole": change.Whole, "floor": versionObject(change.Floor),
		"listed": versionObject(change.Listed), "routers": change.Routers, "every": change.Every, "hosts": hosts,
		"dropped": append([]string{}, change.Dropped...), "digest": fmt.Sprintf("%016x", change.Digest),
	}
}

// The view that a forwarder kept is read whole, and a forwarder begins with it.
func TestForwarderViewIsReadCompletely(t *testing.T) {
	body, err := snapshotfile.Read(snapshotfile.Disk{}, filepath.Join("testdata", "forward.keep"))
	require.NoError(t, err)
	change, err := link.ReadChange(body)
	require.NoError(t, err)
	requireExpected(t, "forward.json", indented(viewObject(change)))

	core := follower.New(1, follower.Terms{Again: 500, Most: 50000, Report: 2000, Silent: 20000}, []string{"planner"}, 1, 2_000_000)
	core.Kept(change)
	require.True(t, core.Ready())
	require.Equal(t, 3, core.View().Len())
	host, there := core.View().Host("db-a")
	require.True(t, there)
	require.Equal(t, object{
		"name": "db-a", "address": "10.1.0.1:5432", "zone": "zone-1", "kind": "large", "set": int64(4), "size": 2.5,
		"leader": true, "standing": policy.In, "version": object{"generation": uint64(2), "revision": int64(41)}, "boot": int64(900_000),
		"position": int64(1_200_000), "role": policy.Primary, "role_at": int64(1_100_000), "turn": uint32(1), "late": uint8(0),
	},
		viewHostObject(host), "lateness ages, and is not taken over")
	host, _ = core.View().Host("db-b")
	require.Equal(t, policy.Draining, host.Standing)
}
