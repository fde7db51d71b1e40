package compatibility

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/statemachine"
)

// object is a JSON object. Its keys are literals in this package, so that renaming a Go field does not change them.
type object = map[string]any

// digests holds the SHA-256 digests of the expected renderings, so that an edit of an expected file is detected as well as a change
// in what is read.
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

// memberNames converts member IDs to strings.
func memberNames(members []consensus.ID) []string {
	names := []string{}
	for _, member := range members {
		names = append(names, string(member))
	}
	return names
}

// hardStateObject renders a member's hard state: its term, its vote and the index of its committed membership.
func hardStateObject(hardState consensus.HardState) object {
	return object{"view": hardState.Term, "vote": string(hardState.Vote), "settled": hardState.CommittedConfigIndex}
}

// hostObject renders a database host.
func hostObject(host statemachine.Host) object {
	return object{
		"id": host.ID, "service": host.Service, "address": host.Address, "zone": host.Zone, "generation": host.Generation,
		"capacity": host.Capacity, "draining": host.Draining, "missing": host.Missing, "since": host.AddedIndex,
	}
}

// hostObjects renders hosts, keyed by host ID.
func hostObjects(hosts map[string]statemachine.Host) object {
	all := object{}
	for id, host := range hosts {
		all[id] = hostObject(host)
	}
	return all
}

// stateObject renders every field of the replicated state.
func stateObject(state *statemachine.State) object {
	updates, removed, primaries, services := []object{}, []object{}, object{}, []string{}
	for _, update := range state.AppliedUpdates {
		updates = append(updates, object{"base": update.BaseVersion, "sum": hex.EncodeToString(update.Digest[:]), "at": update.LeaderTimeMs})
	}
	for _, host := range state.RemovedHosts {
		removed = append(removed, object{"id": host.ID, "at": host.LeaderTimeMs})
	}
	for service, primary := range state.Primaries {
		primaries[service] = object{
			"host": primary.Host, "term": primary.Term, "moving": primary.Revoked, "fence": primary.FencingToken, "holder": primary.Owner,
			"at": primary.ChangedIndex, "to": primary.Nominee, "paused": primary.ReplicasPaused,
		}
	}
	if config := state.Config(); config != nil {
		for _, service := range config.Services {
			services = append(services, service.Name)
		}
	}
	return object{
		"index": state.Index, "configuration": string(state.ConfigBody), "generation": state.Generation, "led": state.LeaderTimeMs, "taken": updates,
		"hosts": hostObjects(state.Hosts), "leads": primaries, "gone": removed, "owed": hostObjects(state.UnaccountedHosts), "took": state.LastPromotionMs,
		"routers": state.Proxies, "plan_services": services,
	}
}

// changeObject renders every field of one change in the log.
func changeObject(change statemachine.Change) object {
	all := object{"led": change.LeaderTimeMs, "drain": change.DrainHost, "leave": change.RemoveHost, "missing": change.MarkMissing, "resumed": change.ReplicationResumed}
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
	if proxy := change.UpdateProxy; proxy != nil {
		all["router"] = object{"node": proxy.Name, "gone": proxy.Removed}
	}
	return all
}

// diskContents holds the data read from a member's disk and the states that result from it.
type diskContents struct {
	identity      storage.Identity
	restored      consensus.RestoredState
	snapshotState *statemachine.State   // of the snapshot alone
	state         *statemachine.State   // with the entries applied
	changes       []statemachine.Change // decoded, one for each entry
	rejected      []bool                // whether the state machine rejected the change, one for each entry
}

// openDisk opens a member's disk. It fails if the storage renames the disk as broken and starts with an empty one.
func openDisk(folder string) (*storage.WAL, storage.Identity, consensus.RestoredState, error) {
	disk, identity, restored, err := storage.Open(folder, func() storage.Identity { return storage.Identity{ID: "not read"} })
	if err == nil && identity.ID == "not read" {
		err = fmt.Errorf("%s: the disk was renamed as broken", folder)
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
	for i, entry := range restored.Entries {
		change, rejected := statemachine.Change{}, false
		if len(entry.Data) > 0 {
			if change, err = statemachine.DecodeChange(entry.Data); err != nil {
				return contents, fmt.Errorf("entry %d: %w", i, err)
			}
			rejected = contents.state.Apply(restored.Snapshot.Index+uint64(i)+1, change) != nil
		}
		contents.changes, contents.rejected = append(contents.changes, change), append(contents.rejected, rejected)
	}
	return contents, nil
}

// render renders all data of a disk with literal keys.
func (contents diskContents) render() object {
	snapshot, entries := contents.restored.Snapshot, []object{}
	for i, entry := range contents.restored.Entries {
		sum := sha256.Sum256(entry.Data)
		rendered := object{
			"index": snapshot.Index + uint64(i) + 1, "view": entry.Term, "members": memberNames(entry.Members),
			"body_bytes": len(entry.Data), "body_sha256": hex.EncodeToString(sum[:]),
		}
		if len(entry.Data) > 0 {
			rendered["change"], rendered["refused"] = changeObject(contents.changes[i]), contents.rejected[i]
		}
		entries = append(entries, rendered)
	}
	return object{
		"identity": identityObject(contents.identity), "meta": hardStateObject(contents.restored.HardState),
		"snapshot": object{"index": snapshot.Index, "view": snapshot.Term, "members": memberNames(snapshot.Members), "state": stateObject(contents.snapshotState)},
		"entries":  entries, "state": stateObject(contents.state),
	}
}

// indented encodes a rendering as indented JSON, the form of the expected files in testdata.
func indented(value any) []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(value); err != nil {
		panic(err) // impossible: only objects, strings and numbers are encoded
	}
	return out.Bytes()
}

// copyDisk copies a disk fixture into a temporary folder, since opening a disk may rewrite it.
func copyDisk(t *testing.T, name string) string {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("testdata", name+".ratchet.db"))
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "ratchet.db"), body, 0o600))
	return folder
}

// requireExpected compares a rendering with the expected file in testdata, and its digest with the expected digest.
func requireExpected(t *testing.T, file string, rendered []byte) {
	t.Helper()
	expected, err := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, err)
	require.Equal(t, string(expected), string(rendered))
	sum := sha256.Sum256(rendered)
	require.Equal(t, digests[file], hex.EncodeToString(sum[:]))
}
