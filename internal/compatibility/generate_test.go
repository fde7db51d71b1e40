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

var writeFixtures = flag.Bool("write-fixtures", false, "write the fixtures into testdata, up to the first that is there already, and run no test")

var fixturesFolder = flag.String("fixtures-folder", "testdata", "where -write-fixtures writes")

// TestMain writes fixtures where it is told to. None that is there is ever written over: what a later revision writes is
// a fixture of that revision, and takes a name of its own.
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

// configurationBody is an operator's configuration with a route that has a deadline of its own.
func configurationBody(generation, deadline int) []byte {
	return fmt.Appendf(nil, `{"Generation":%d,"Routes":[{"Name":"ledger-write","Host":"ledger","PathPrefix":"/","Kind":"leader","DeadlineMs":%d,"TargetMs":150,"Priority":1,"Service":"ledger","MaxTries":2},`+
		`{"Name":"audit-read","Host":"audit","PathPrefix":"/","Kind":"bounded_staleness","DeadlineMs":900,"TargetMs":150,"Priority":1,"Service":"audit","MaxTries":2,"StalenessMs":250}],`+
		`"Services":[{"Name":"ledger","HealthPath":"/health","MaxConns":57,"SyncReplicas":1},{"Name":"audit","MaxConns":12}],"Limits":{"MaxBodyBytes":1048576,"IdleTimeoutMs":60000,"TxnIdleMs":5000},"Unknown":"kept"}`, generation, deadline)
}

// amendmentBody is an amendment that sets the deadline of a route.
func amendmentBody(generation, deadline int) []byte {
	return fmt.Appendf(nil, `{"Generation":%d,"Upsert":{"Routes":[{"Name":"audit-read","Host":"audit","PathPrefix":"/","Kind":"bounded_staleness","DeadlineMs":%d,"Service":"audit","StalenessMs":300}]}}`, generation, deadline)
}

// history builds a log as a leader does.
type history struct {
	state        statemachine.State
	entries      []consensus.Entry
	leaderTimeMs int64
	err          error
}

// addEntry adds an entry that is not of the state machine.
func (h *history) addEntry(view uint64, members ...consensus.ID) {
	h.entries = append(h.entries, consensus.Entry{Term: view, Members: members})
}

// addChanges adds changes.
func (h *history) addChanges(view uint64, changes ...statemachine.Change) {
	for _, change := range changes {
		h.leaderTimeMs += 125
		change.LeaderTimeMs = h.leaderTimeMs
		body := statemachine.EncodeChange(change)
		again, err := statemachine.DecodeChange(body)
		if err == nil {
			err = h.state.Apply(uint64(len(h.entries))+1, again)
		}
		if err != nil && h.err == nil {
			h.err = fmt.Errorf("entry %d: %w", len(h.entries)+1, err)
		}
		h.entries = append(h.entries, consensus.Entry{Term: view, Data: body})
	}
}

// addUpdate adds an operator's order as a leader packs it.
func (h *history) addUpdate(view uint64, order statemachine.ConfigUpdate) {
	plan, err := h.state.CheckConfig(&order)
	if err != nil {
		h.err = err
		return
	}
	h.addChanges(view, statemachine.Change{UpdateConfig: h.state.MakeDelta(&order, plan)})
}

// addHost is a host that enters.
func addHost(id, service, address string) statemachine.Change {
	return statemachine.Change{AddHost: &statemachine.Host{ID: id, Service: service, Address: address, Zone: "zone-" + id[len(id)-1:], Generation: "pg16-" + id, Capacity: 4000}}
}

// historyBeforeSnapshot is the part of the log before the snapshot: every kind of change, and a state without a field that is zero.
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

// addHistoryAfterSnapshot adds the part of the log behind the snapshot.
func addHistoryAfterSnapshot(h *history) {
	h.addEntry(3)
	h.addChanges(3, statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "ledger", Host: "ledger-4", Term: 5, PromotionMs: 1230}}, statemachine.Change{ReplicationResumed: "ledger"},
		addHost("ledger-7", "ledger", "10.1.0.3:5432"), statemachine.Change{RemoveHost: "audit-6"})
	h.addUpdate(3, statemachine.ConfigUpdate{BaseVersion: 8, IsAmendment: true, Body: amendmentBody(9, 990)})
}

// writeDisk writes a member's disk, each write synced by itself, and gives the size of the file after each.
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
	var before int64
	for _, write := range writes {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		before = info.Size()
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
	if name == "torn" { // half of the last write
		body = body[:(before+int64(len(body)))/2]
	}
	return createFixture(name+".ratchet.db", body)
}

// createFixture writes a file of testdata that is not there yet.
func createFixture(name string, body []byte) error {
	out, err := os.OpenFile(filepath.Join(*fixturesFolder, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, err = out.Write(body)
	return errors.Join(err, out.Close())
}

// writeExpectation writes the rendering of a fixture, to be read over by a person before it is committed.
func writeExpectation(name string, body []byte) error {
	sum := sha256.Sum256(body)
	fmt.Printf("\t%q: %q,\n", name, hex.EncodeToString(sum[:]))
	return createFixture(name, body)
}

// generate writes the fixtures.
func generate() error {
	h := historyBeforeSnapshot()
	at, state := uint64(len(h.entries)), h.state.Snapshot()
	before := append([]consensus.Entry{}, h.entries...)
	addHistoryAfterSnapshot(h)
	if h.err != nil {
		return h.err
	}
	behind := h.entries[at:]
	meta := func(view uint64, settled uint64) *consensus.HardState {
		return &consensus.HardState{Term: view, Vote: memberB, CommittedConfigIndex: settled}
	}
	snapshot := &consensus.Snapshot{Index: at, Term: 2, Members: []consensus.ID{memberA, memberB, memberC}, Data: state}
	moving := append(append([]consensus.Entry{}, behind[:3]...), consensus.Entry{Term: 3, Members: []consensus.ID{memberA, memberB, memberC, memberD}},
		consensus.Entry{Term: 3, Data: statemachine.EncodeChange(statemachine.Change{LeaderTimeMs: h.leaderTimeMs, UpdateProxy: &statemachine.ProxyMembership{Name: "router-4"}})})
	for _, err := range []error{
		writeDisk("entries", consensus.Write{HardState: meta(1, 0), FirstIndex: 1, Entries: before[:4]}, consensus.Write{HardState: meta(2, 2), FirstIndex: 5, Entries: before[4:]},
			consensus.Write{HardState: meta(3, 2), FirstIndex: at + 1, Entries: behind}),
		writeDisk("snapshot", consensus.Write{HardState: meta(2, 2), FirstIndex: 1, Entries: before}, consensus.Write{Snapshot: snapshot, CompactThrough: at},
			consensus.Write{HardState: meta(3, 2), FirstIndex: at + 1, Entries: behind}),
		writeDisk("membership", consensus.Write{HardState: meta(3, 2), Snapshot: snapshot, CompactThrough: at}, consensus.Write{FirstIndex: at + 1, Entries: moving}),
		writeDisk("torn", consensus.Write{HardState: meta(3, 2), FirstIndex: 1, Entries: before}, consensus.Write{FirstIndex: at + 1, Entries: behind[:2]}, consensus.Write{FirstIndex: at + 3, Entries: behind[2:3]}),
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

// writeHostLeaving writes a change that releases up to 8f5d6eb did not have.
func writeHostLeaving() error {
	path := filepath.Join(*fixturesFolder, hostLeavingFile)
	if _, err := os.Stat(path); err == nil {
		return os.ErrExist
	}
	change := statemachine.Change{LeaderTimeMs: 4125, HostLeaving: "ledger-4"}
	return os.WriteFile(path, statemachine.EncodeChange(change), 0o644)
}

// writeForwarderView writes a forwarder's kept view.
func writeForwarderView() error {
	var kept view.View
	kept.RouterCount = 7
	kept.ApplyList(view.Version{Generation: 2, Revision: 41}, true, []view.Host{
		{Name: "db-a", Address: "10.1.0.1:5432", Zone: "zone-1", Model: "large", Set: 4, Size: 2.5, ListedPrimary: true, BootedAt: 900_000},
		{Name: "db-b", Address: "10.1.0.2:5432", Zone: "zone-2", Model: "small", Set: 4, Size: 1, ListedState: policy.Draining, BootedAt: 800_000},
		{Name: "db-c", Address: "10.1.0.3:5432", Zone: "zone-3", Set: 5},
	})
	kept.AddEvidence(view.Evidence{Name: "db-a", Position: 1_200_000, Role: policy.Primary, RolePosition: 1_100_000, RoleChanges: 1}, 2_000_000)
	kept.AddEvidence(view.Evidence{Name: "db-b", Position: 1_150_000, Role: policy.Replica, RolePosition: 1_000_000, RoleChanges: 2}, 2_000_000)
	kept.SetLateness("db-a", 4)
	path := filepath.Join(*fixturesFolder, "forward.keep")
	if _, err := os.Stat(path); err == nil {
		return os.ErrExist
	}
	change := kept.FullChange(0x1234567890abcdef, 0)
	if err := snapshotfile.Write(snapshotfile.Disk{}, path, link.EncodeBody(change)); err != nil {
		return err
	}
	return writeExpectation("forward.json", indented(viewObject(change)))
}

// fillFields gives each exported field of a struct another value that is not zero.
func fillFields(value reflect.Value, next *int64) {
	for place := range value.NumField() {
		if !value.Type().Field(place).IsExported() {
			continue
		}
		*next++
		switch field := value.Field(place); field.Kind() {
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Int, reflect.Int64:
			field.SetInt(*next)
		case reflect.Uint8:
			field.SetUint(uint64(place + 1))
		case reflect.Uint32:
			field.SetUint(uint64(*next))
		case reflect.Float64:
			field.SetFloat(float64(*next) / 8)
		case reflect.String:
			field.SetString(fmt.Sprint("text-", *next))
		}
	}
}

// traceHeader is a header whose deployment has a value in each field. number counts the values.
func traceHeader(number *int64) (format.Header, error) {
	deployment := policy.Deployment{}
	fillFields(reflect.ValueOf(&deployment).Elem(), number)
	for range 2 {
		group := &policy.CommandGroup{}
		fillFields(reflect.ValueOf(group).Elem(), number)
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

// addEvents adds an event of each kind to a block.
func addEvents(block *format.Block, number *int64) {
	for kind, described := range record.Schema {
		ints, texts := []int64{}, []string{}
		for range described.Count(format.Int) {
			*number++
			ints = append(ints, *number)
		}
		for range described.Count(format.Text) {
			*number++
			texts = append(texts, fmt.Sprint("text-", *number))
		}
		block.Add(5_000_000+*number*10, kind, ints, texts)
	}
}

// recordTrace records two blocks with an event of each kind in each, and returns the file.
func recordTrace(folder string) ([]byte, error) {
	number := int64(0)
	header, err := traceHeader(&number)
	if err != nil {
		return nil, err
	}
	writer := file.New(file.Config{Dir: folder, Name: header.Router, MaxFileBytes: 1 << 20, MaxFileAge: time.Hour, MaxTotalBytes: 1 << 22, SyncInterval: time.Hour, BlockCount: 2},
		file.Disk{}, header, time.Now, zap.NewNop())
	for turn := range 2 {
		block := writer.Get()
		addEvents(block, &number)
		if turn == 1 {
			block.AddLost(5)
		}
		writer.Put(block)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := writer.Run(ended); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*"+file.Extension))
	if err != nil || len(paths) != 1 {
		return nil, fmt.Errorf("%d trace files: %w", len(paths), err)
	}
	return os.ReadFile(paths[0])
}

// writeTrace writes a trace and its rendering.
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
