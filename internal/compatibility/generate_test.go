package compatibility

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/router/trace/file"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/snapshotfile"
	"ferrypitch/internal/statemachine"
	"ferrypitch/policy"
)

// traceEvent is one event of a trace.
type traceEvent = format.Event

var writeFixtures = flag.Bool("write-fixtures", false, "write the fixtures, stop at the first that already exists, and run no tests")

var fixturesFolder = flag.String("fixtures-folder", "testdata", "the folder to which -write-fixtures writes")

// TestMain writes the fixtures instead of running the tests if -write-fixtures is set. It never overwrites a fixture: data written by
// a later revision is a fixture of that revision and needs its own name.
func TestMain(m *testing.M) {
	flag.Parse()
	if !*writeFixtures {
		os.Exit(m.Run())
	}
	if err := generate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const (
	memberA = consensus.ID("10.0.0.1:7000+a1")
	memberB = consensus.ID("10.0.0.2:7000+b1")
	memberC = consensus.ID("10.0.0.3:7000+c1")
	memberD = consensus.ID("10.0.0.4:7000+d1")
)

// configurationBody returns an operator's configuration with the given deadline for the route ledger-write.
func configurationBody(generation, deadline int) []byte {
	return fmt.Appendf(nil, `{"Generation":%d,"Routes":[{"Name":"ledger-write","Host":"ledger","PathPrefix":"/","Kind":"leader","DeadlineMs":%d,"TargetMs":150,"Priority":1,"Service":"ledger","MaxTries":2},`+
		`{"Name":"audit-read","Host":"audit","PathPrefix":"/","Kind":"bounded_staleness","DeadlineMs":900,"TargetMs":150,"Priority":1,"Service":"audit","MaxTries":2,"StalenessMs":250}],`+
		`"Services":[{"Name":"ledger","HealthPath":"/health","MaxConns":57,"SyncReplicas":1},{"Name":"audit","MaxConns":12}],"Limits":{"MaxBodyBytes":1048576,"IdleTimeoutMs":60000,"TxnIdleMs":5000},"Unknown":"kept"}`, generation, deadline)
}

// amendmentBody returns an amendment that sets the deadline of the route audit-read.
func amendmentBody(generation, deadline int) []byte {
	return fmt.Appendf(nil, `{"Generation":%d,"Upsert":{"Routes":[{"Name":"audit-read","Host":"audit","PathPrefix":"/","Kind":"bounded_staleness","DeadlineMs":%d,"Service":"audit","StalenessMs":300}]}}`, generation, deadline)
}

// history builds a log in the way a leader does: it encodes changes and applies them to its state.
type history struct {
	state        statemachine.State
	entries      []consensus.Entry
	leaderTimeMs int64
	err          error // the first error; checked at the end
}

// addEntry adds an entry without a state machine change: an empty entry or a membership.
func (h *history) addEntry(term uint64, members ...consensus.ID) {
	h.entries = append(h.entries, consensus.Entry{Term: term, Members: members})
}

// addChanges adds an entry for each change, with leader times that are 125 ms apart, and applies it.
func (h *history) addChanges(term uint64, changes ...statemachine.Change) {
	for _, change := range changes {
		h.leaderTimeMs += 125
		change.LeaderTimeMs = h.leaderTimeMs
		body := statemachine.EncodeChange(change)
		decoded, err := statemachine.DecodeChange(body)
		if err == nil {
			err = h.state.Apply(uint64(len(h.entries))+1, decoded)
		}
		if err != nil && h.err == nil {
			h.err = fmt.Errorf("entry %d: %w", len(h.entries)+1, err)
		}
		h.entries = append(h.entries, consensus.Entry{Term: term, Data: body})
	}
}

// addUpdate adds an operator's configuration update as a leader stores it: as the difference to the current configuration.
func (h *history) addUpdate(term uint64, update statemachine.ConfigUpdate) {
	checked, err := h.state.CheckConfig(&update)
	if err != nil {
		h.err = err
		return
	}
	h.addChanges(term, statemachine.Change{UpdateConfig: h.state.MakeDelta(&update, checked)})
}

// addHost returns a change that adds a host.
func addHost(id, service, address string) statemachine.Change {
	return statemachine.Change{AddHost: &statemachine.Host{ID: id, Service: service, Address: address, Zone: "zone-" + id[len(id)-1:], Generation: "pg16-" + id, Capacity: 4000}}
}

// historyBeforeSnapshot returns the part of the log before the snapshot. It contains every kind of change and leads to a state in which
// no field is zero.
func historyBeforeSnapshot() *history {
	h := &history{}
	h.addEntry(1)
	h.addEntry(1, memberA, memberB, memberC)
	h.addUpdate(1, statemachine.ConfigUpdate{Body: configurationBody(3, 800)})
	h.addChanges(1, addHost("ledger-1", "ledger", "10.1.0.1:5432"), addHost("ledger-2", "ledger", "10.1.0.2:5432"), addHost("ledger-3", "ledger", "10.1.0.3:5432"),
		addHost("ledger-4", "ledger", "10.1.0.4:5432"), addHost("audit-5", "audit", "10.1.0.5:5432"),
		statemachine.Change{AddHost: &statemachine.Host{ID: "audit-6", Service: "audit", Address: "10.1.0.6:5432", Zone: "zone-6", Generation: "pg16-audit-6", Capacity: 10, Draining: true, Missing: true, AddedIndex: 77}},
		statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "ledger", Host: "ledger-1", Term: 4, PromotionMs: 850}},
		statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "audit", Host: "audit-5", Term: 2}},
		statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{BaseVersion: 3, Body: configurationBody(4, 700)}},
		statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{BaseVersion: 4, IsAmendment: true, Body: amendmentBody(5, 610)}})
	h.addUpdate(2, statemachine.ConfigUpdate{BaseVersion: 5, IsAmendment: true, Body: amendmentBody(6, 620)})
	h.addUpdate(2, statemachine.ConfigUpdate{BaseVersion: 6, Body: configurationBody(8, 650)})
	h.addChanges(2, statemachine.Change{DrainHost: "ledger-2"}, statemachine.Change{MarkMissing: "ledger-2"}, statemachine.Change{DrainHost: "ledger-3"}, statemachine.Change{RemoveHost: "ledger-3"},
		statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: "router-1"}}, statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: "router-2"}}, statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: "router-3"}},
		statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: "router-2", Removed: true}},
		statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: "audit", Owner: string(memberA)}}, statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "audit", Host: "audit-5", Term: 3, PromotionMs: 910}},
		statemachine.Change{ReplicationResumed: "audit"},
		statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: "ledger", Owner: string(memberB)}}, statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: "ledger", Host: "ledger-4", Owner: string(memberC)}})
	return h
}

// addHistoryAfterSnapshot adds the part of the log after the snapshot.
func addHistoryAfterSnapshot(h *history) {
	h.addEntry(3)
	h.addChanges(3, statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "ledger", Host: "ledger-4", Term: 5, PromotionMs: 1230}}, statemachine.Change{ReplicationResumed: "ledger"},
		addHost("ledger-7", "ledger", "10.1.0.3:5432"), statemachine.Change{RemoveHost: "audit-6"})
	h.addUpdate(3, statemachine.ConfigUpdate{BaseVersion: 8, IsAmendment: true, Body: amendmentBody(9, 990)})
}

// writeDisk creates the fixture of a member's disk from a series of writes, each of which is synced separately. The fixture torn
// contains only half of the last write.
func writeDisk(name string, writes ...consensus.Write) error {
	folder, err := os.MkdirTemp("", "fixture")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	disk, _, _, err := storage.Open(folder, func() storage.Identity {
		return storage.Identity{ID: memberA, Founders: []consensus.ID{memberA, memberB, memberC}}
	})
	if err != nil {
		return err
	}
	path := filepath.Join(folder, "consensus.db")
	var sizeBeforeLast int64
	for _, write := range writes {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		sizeBeforeLast = info.Size()
		if err := disk.Save([]consensus.Write{write}); err != nil {
			return err
		}
	}
	if err := disk.Close(); err != nil {
		return err
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if name == "torn" {
		body = body[:(sizeBeforeLast+int64(len(body)))/2]
	}
	return createFixture(name+".ratchet.db", body)
}

// createFixture writes a new file to the fixtures folder. It fails if the file exists.
func createFixture(name string, body []byte) error {
	out, err := os.OpenFile(filepath.Join(*fixturesFolder, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, err = out.Write(body)
	return errors.Join(err, out.Close())
}

// writeExpectation writes the rendering of a fixture and prints its line for digests. A person reviews the rendering before committing it.
func writeExpectation(name string, body []byte) error {
	sum := sha256.Sum256(body)
	fmt.Printf("\t%q: %q,\n", name, hex.EncodeToString(sum[:]))
	return createFixture(name, body)
}

// generate writes all fixtures and their expected renderings.
func generate() error {
	h := historyBeforeSnapshot()
	snapshotIndex, state := uint64(len(h.entries)), h.state.Snapshot()
	before := append([]consensus.Entry{}, h.entries...)
	addHistoryAfterSnapshot(h)
	if h.err != nil {
		return h.err
	}
	after := h.entries[snapshotIndex:]
	hardState := func(term uint64, committedConfig uint64) *consensus.HardState {
		return &consensus.HardState{Term: term, Vote: memberB, CommittedConfigIndex: committedConfig}
	}
	snapshot := &consensus.Snapshot{Index: snapshotIndex, Term: 2, Members: []consensus.ID{memberA, memberB, memberC}, Data: state}
	membershipChange := append(append([]consensus.Entry{}, after[:3]...), consensus.Entry{Term: 3, Members: []consensus.ID{memberA, memberB, memberC, memberD}},
		consensus.Entry{Term: 3, Data: statemachine.EncodeChange(statemachine.Change{LeaderTimeMs: h.leaderTimeMs, UpdateProxy: &statemachine.ProxyMembership{Name: "router-4"}})})
	for _, err := range []error{
		writeDisk("entries", consensus.Write{HardState: hardState(1, 0), FirstIndex: 1, Entries: before[:4]}, consensus.Write{HardState: hardState(2, 2), FirstIndex: 5, Entries: before[4:]},
			consensus.Write{HardState: hardState(3, 2), FirstIndex: snapshotIndex + 1, Entries: after}),
		writeDisk("snapshot", consensus.Write{HardState: hardState(2, 2), FirstIndex: 1, Entries: before}, consensus.Write{Snapshot: snapshot, CompactThrough: snapshotIndex},
			consensus.Write{HardState: hardState(3, 2), FirstIndex: snapshotIndex + 1, Entries: after}),
		writeDisk("membership", consensus.Write{HardState: hardState(3, 2), Snapshot: snapshot, CompactThrough: snapshotIndex}, consensus.Write{FirstIndex: snapshotIndex + 1, Entries: membershipChange}),
		writeDisk("torn", consensus.Write{HardState: hardState(3, 2), FirstIndex: 1, Entries: before}, consensus.Write{FirstIndex: snapshotIndex + 1, Entries: after[:2]}, consensus.Write{FirstIndex: snapshotIndex + 3, Entries: after[2:3]}),
		writeForwarderView(), writeTrace(), writeHostLeaving(),
	} {
		if err != nil {
			return err
		}
	}
	for _, name := range disks {
		folder, err := os.MkdirTemp("", "fixture")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		body, err := os.ReadFile(filepath.Join(*fixturesFolder, name+".ratchet.db"))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, "ratchet.db"), body, 0o600); err != nil {
			return err
		}
		contents, err := readDisk(folder)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := writeExpectation(name+".json", indented(contents.render())); err != nil {
			return err
		}
	}
	return nil
}

// writeHostLeaving writes the fixture of a change that revisions up to 8f5d6eb do not know.
func writeHostLeaving() error {
	path := filepath.Join(*fixturesFolder, hostLeavingFile)
	if _, err := os.Stat(path); err == nil {
		return os.ErrExist
	}
	change := statemachine.Change{LeaderTimeMs: 4125, HostLeaving: "ledger-4"}
	return os.WriteFile(path, statemachine.EncodeChange(change), 0o644)
}

// writeForwarderView writes the fixture of a view that a forwarder has stored, and its expected rendering.
func writeForwarderView() error {
	var stored view.View
	stored.RouterCount = 7
	stored.ApplyList(view.Version{Generation: 2, Revision: 41}, true, []view.Host{
		{Name: "db-a", Address: "10.1.0.1:5432", Zone: "zone-1", Model: "large", Set: 4, Size: 2.5, ListedPrimary: true, BootedAt: 900_000},
		{Name: "db-b", Address: "10.1.0.2:5432", Zone: "zone-2", Model: "small", Set: 4, Size: 1, ListedState: policy.Draining, BootedAt: 800_000},
		{Name: "db-c", Address: "10.1.0.3:5432", Zone: "zone-3", Set: 5},
	})
	stored.AddEvidence(view.Evidence{Name: "db-a", Position: 1_200_000, Role: policy.Primary, RolePosition: 1_100_000, RoleChanges: 1}, 2_000_000)
	stored.AddEvidence(view.Evidence{Name: "db-b", Position: 1_150_000, Role: policy.Replica, RolePosition: 1_000_000, RoleChanges: 2}, 2_000_000)
	stored.SetLateness("db-a", 4)
	path := filepath.Join(*fixturesFolder, "forward.keep")
	if _, err := os.Stat(path); err == nil {
		return os.ErrExist
	}
	change := stored.FullChange(0x1234567890abcdef, 0)
	if err := snapshotfile.Write(snapshotfile.Disk{}, path, link.EncodeBody(change)); err != nil {
		return err
	}
	return writeExpectation("forward.json", indented(viewObject(change)))
}

// fillFields sets each exported field of a struct to a nonzero value that it derives from counter and the field's position. It
// increments counter for each field.
func fillFields(value reflect.Value, counter *int64) {
	for i := range value.NumField() {
		if !value.Type().Field(i).IsExported() {
			continue
		}
		*counter++
		switch field := value.Field(i); field.Kind() {
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Int, reflect.Int64:
			field.SetInt(*counter)
		case reflect.Uint8:
			field.SetUint(uint64(i + 1))
		case reflect.Uint32:
			field.SetUint(uint64(*counter))
		case reflect.Float64:
			field.SetFloat(float64(*counter) / 8)
		case reflect.String:
			field.SetString(fmt.Sprint("text-", *counter))
		}
	}
}

// traceHeader returns a header whose deployment has a nonzero value in each field, taken from counter.
func traceHeader(counter *int64) (format.Header, error) {
	deployment := policy.Deployment{}
	fillFields(reflect.ValueOf(&deployment).Elem(), counter)
	for range 2 {
		group := &policy.CommandGroup{}
		fillFields(reflect.ValueOf(group).Elem(), counter)
		deployment.Groups = append(deployment.Groups, group)
	}
	body, err := record.EncodeDeployment(deployment)
	if err != nil {
		return format.Header{}, err
	}
	groups, err := record.EncodeGroups([]string{"read", "write"})
	return format.Header{
		Router: "router-1", Incarnation: 0xfeed, StartedAt: 5_000_000, Build: "8f5d6eb", SampledPerMille: 1000, Schema: record.Schema,
		Extra: map[string][]byte{"deployment": body, "groups": groups}, KeyID: []byte{1, 2, 3, 4},
	}, err
}

// addEvents adds one event of each kind to a block, with distinct values taken from counter.
func addEvents(block *format.Block, counter *int64) {
	for kind, schema := range record.Schema {
		ints, texts := []int64{}, []string{}
		for range schema.Count(format.Int) {
			*counter++
			ints = append(ints, *counter)
		}
		for range schema.Count(format.Text) {
			*counter++
			texts = append(texts, fmt.Sprint("text-", *counter))
		}
		block.Add(5_000_000+*counter*10, kind, ints, texts)
	}
}

// recordTrace records a trace of two blocks, each with one event of each kind, and returns the content of its file.
func recordTrace(folder string) ([]byte, error) {
	counter := int64(0)
	header, err := traceHeader(&counter)
	if err != nil {
		return nil, err
	}
	writer := file.New(file.Config{Dir: folder, Name: header.Router, MaxFileBytes: 1 << 20, MaxFileAge: time.Hour, MaxTotalBytes: 1 << 22, SyncInterval: time.Hour, BlockCount: 2},
		file.Disk{}, header, time.Now, zap.NewNop())
	for i := range 2 {
		block := writer.Get()
		addEvents(block, &counter)
		if i == 1 {
			block.AddLost(5)
		}
		writer.Put(block)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := writer.Run(canceled); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*"+file.Extension))
	if err != nil || len(paths) != 1 {
		return nil, fmt.Errorf("%d trace files: %w", len(paths), err)
	}
	return os.ReadFile(paths[0])
}

// writeTrace writes the fixture of a trace file and its expected rendering.
func writeTrace() error {
	folder, err := os.MkdirTemp("", "fixture")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	body, err := recordTrace(folder)
	if err != nil {
		return err
	}
	if err := createFixture("router.fptrace", body); err != nil {
		return err
	}
	source, err := openTraceFile()
	if err != nil {
		return err
	}
	rendered, err := renderTrace(source)
	if err := errors.Join(err, source.Close()); err != nil {
		return err
	}
	return writeExpectation("router.jsonl", rendered)
}
