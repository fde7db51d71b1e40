package tool

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf16"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

// base is the time of the first event, in tenths of a millisecond of Unix time.
const base = int64(17672256000000)

// allTime is a window that contains every event.
var allTime = Window{First: -1 << 62}

// writeTrace writes the file of a router: 5 commands per second, which one host answers. The router's clock is ahead
// by offset and drifts.
func writeTrace(t *testing.T, dir, router string, seed uint64, seconds int, offset int64, drift float64) string {
	t.Helper()
	deployment, err := record.EncodeDeployment(policy.Deployment{Zone: "zone of " + router, Groups: []*policy.CommandGroup{{ResponseTarget: 2500}, {ResponseTarget: 2500}}})
	if err != nil {
		t.Fatal(err)
	}
	groups, _ := record.EncodeGroups([]string{"list", "order"})
	path := filepath.Join(dir, router+".fptrace")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	output, err := NewOutput(file, format.Header{
		Router: router, Incarnation: seed, SampledPerMille: 1000, Schema: record.Schema,
		Extra: map[string][]byte{"deployment": deployment, "groups": groups, "later": []byte("Ms Someone")},
	})
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(seed, 3))
	add := func(at int64, kind int, ints []int64, texts ...string) {
		at += offset + int64(drift*float64(at-base))
		if err := output.Add(format.Event{At: at, Kind: kind, Ints: ints, Texts: texts}); err != nil {
			t.Fatal(err)
		}
	}
	add(base, record.AddHost, []int64{1, 1}, "host-of-the-set")
	add(base, record.ReceivePeerUpdate, nil, "free words of viewer-007")
	for k := range int64(seconds * 5) {
		at := base + k*2000 + random.Int64N(1500)
		add(at, record.Submit, []int64{k + 1, k % 2, 1, at + 10000, 0, 0}, fmt.Sprintf("id-%d", k), fmt.Sprintf("viewer-%03d", k%20))
		add(at+2, record.Dispatch, []int64{k + 1, 1, 0, 0, 0, 1000})
		latency := 40 + random.Int64N(60)
		add(at+2+latency, record.EndDispatch, []int64{k + 1, int64(policy.Answered), at + latency - 20, int64(policy.Primary), latency, 0})
	}
	if err := errors.Join(output.Close(), file.Close()); err != nil {
		t.Fatal(err)
	}
	return path
}

// readAll reads all events of a file.
func readAll(t *testing.T, path string) (*Source, []format.Event) {
	t.Helper()
	source, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, source)
	var events []format.Event
	if err := source.Each(allTime, nil, func(event format.Event) error { events = append(events, event); return nil }); err != nil {
		t.Fatal(err)
	}
	return source, events
}

func closeAtEnd(t *testing.T, source *Source) {
	t.Helper()
	t.Cleanup(func() {
		if err := source.Close(); err != nil {
			t.Error(err)
		}
	})
}

// encode returns a file with the given events.
func encode(t *testing.T, header format.Header, events []format.Event) []byte {
	t.Helper()
	var out bytes.Buffer
	output, err := NewOutput(&out, header)
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range events {
		if err := output.Add(event); err != nil {
			t.Fatal(err)
		}
	}
	if err := output.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestAnonymizedFileContainsNoIdentity(t *testing.T) {
	dir := t.TempDir()
	source, events := readAll(t, writeTrace(t, dir, "router-one", 1, 20, 0, 0))
	anonymizer := NewAnonymizer([32]byte{1})
	header, err := anonymizer.Header(source.Header)
	if err != nil {
		t.Fatal(err)
	}
	var anonymous []format.Event
	for _, event := range events {
		anonymous = append(anonymous, anonymizer.Event(event))
	}
	encoded := encode(t, header, anonymous)
	file := filepath.Join(dir, "out")
	writeFile(t, file, encoded)
	_, got := readAll(t, file)
	searched := bytes.Clone(encoded) // the file, and the uncompressed texts of its blocks
	for _, event := range got {
		searched = append(searched, strings.Join(event.Texts, "\x00")...)
	}
	words := map[string]bool{"router-one": true, "zone of router-one": true, "Ms Someone": true, "viewer": true, "free words": true, "host-of-the-set": true}
	for _, event := range events {
		for _, text := range event.Texts {
			if len(text) > 3 {
				words[text] = true
			}
		}
	}
	for word := range words {
		wide := []byte{}
		for _, u := range utf16.Encode([]rune(word)) {
			wide = append(wide, byte(u), byte(u>>8))
		}
		for form, b := range map[string][]byte{
			"as it is": []byte(word), "hexadecimal": []byte(hex.EncodeToString([]byte(word))),
			"base64": []byte(base64.StdEncoding.EncodeToString([]byte(word))), "UTF-16": wide, "reversed case": []byte(strings.ToUpper(word)),
		} {
			if bytes.Contains(searched, b) {
				t.Errorf("%q is found, %s", word, form)
			}
		}
	}
	if len(got) != len(events) {
		t.Errorf("%d events of %d", len(got), len(events))
	}
}

func TestPseudonymDependsOnKeyAlone(t *testing.T) {
	dir := t.TempDir()
	word := func(key byte, router string) string {
		source, events := readAll(t, writeTrace(t, dir, router, 1, 4, 0, 0))
		anonymizer := NewAnonymizer([32]byte{key})
		if _, err := anonymizer.Header(source.Header); err != nil {
			t.Fatal(err)
		}
		for _, event := range events {
			if event.Kind == record.Submit && event.Texts[1] == "viewer-003" {
				return anonymizer.Event(event).Texts[1]
			}
		}
		return ""
	}
	one, same, other := word(1, "a"), word(1, "b"), word(2, "a")
	if one == "" || one != same || one == other {
		t.Errorf("%q %q %q", one, same, other)
	}
}

// openForMerge returns the header, delay samples and feed of a file, and closes the file.
func openForMerge(t *testing.T, path string) (format.Header, *DelaySamples, Feed) {
	t.Helper()
	source, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	delays := NewDelaySamples(source.Header.Schema)
	if err := source.Each(allTime, nil, func(event format.Event) error { delays.Add(event); return nil }); err != nil {
		t.Fatal(err)
	}
	feed, err := source.Feed()
	if err != nil {
		t.Fatal(err)
	}
	if err := source.Close(); err != nil {
		t.Fatal(err)
	}
	return source.Header, delays, feed
}

// mergeInOrder merges feeds, checks that events are in order of time, and returns their number. check is called with
// each event and its index.
func mergeInOrder(t *testing.T, feeds []Feed, skews []ClockSkew, check func(event format.Event, number int)) int {
	t.Helper()
	last, n := int64(0), 0
	if err := Merge(feeds, skews, func(event format.Event) error {
		if event.At < last {
			t.Fatalf("event at %d after one at %d", event.At, last)
		}
		last = event.At
		check(event, n)
		n++
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return n
}

func TestMergeCorrectsOffsetAndDrift(t *testing.T) {
	dir := t.TempDir()
	const offset, drift = 30000, 200e-6
	_, firstDelays, firstFeed := openForMerge(t, writeTrace(t, dir, "a", 1, 200, 0, 0))
	_, otherDelays, otherFeed := openForMerge(t, writeTrace(t, dir, "b", 2, 200, offset, drift))
	skew, err := EstimateSkew("b", firstDelays, otherDelays)
	if err != nil {
		t.Fatal(err)
	}
	for _, at := range []int64{base, base + 1000000, base + 2000000} {
		reading := at + offset + int64(drift*float64(at-base))
		if off := skew.Correct(reading) - at; off > 40 || off < -40 {
			t.Errorf("after %.1f s: off by %.1f ms, with a bound of %.1f ms", float64(at-base)/10000, float64(off)/10, skew.MaxDeviation/10)
		}
	}
	if skew.Windows < 10 || skew.MaxDeviation > 100 {
		t.Errorf("%+v", skew)
	}
	lastCommand := [2]int64{} // by router
	n := mergeInOrder(t, []Feed{firstFeed, otherFeed}, []ClockSkew{{}, skew}, func(event format.Event, _ int) {
		if event.Kind != record.Submit {
			return
		}
		router := event.Ints[len(event.Ints)-1]
		if event.Ints[0] != lastCommand[router]+1 {
			t.Fatalf("router %d: command %d after %d", router, event.Ints[0], lastCommand[router])
		}
		lastCommand[router] = event.Ints[0]
	})
	if n != 2*(2+3*1000) {
		t.Errorf("%d events", n)
	}
}

func TestEstimateNeedsCommonHosts(t *testing.T) {
	first, other := NewDelaySamples(record.Schema), NewDelaySamples(record.Schema)
	if _, err := EstimateSkew("b", first, other); !errors.Is(err, ErrNoOverlap) {
		t.Error(err)
	}
}

func TestWindowAndFilterSelect(t *testing.T) {
	path := writeTrace(t, t.TempDir(), "a", 1, 4000, 0, 0)
	source, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, source)
	filter := Filter{Groups: map[int64]bool{1: true}}
	filter.SetSchema(source.Header.Schema)
	n := 0
	window := Window{base + 20000000, base + 20100000}
	if err := source.Each(window, nil, func(event format.Event) error {
		if !window.contains(event.At) {
			t.Fatal(event)
		}
		if filter.Matches(event) {
			if n++; event.Kind == record.Submit && event.Ints[1] != 1 {
				t.Fatal(event)
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if source.ReadBlocks > 2 || len(source.Index) < 5 || n < 60 || n > 80 {
		t.Errorf("%d of %d blocks read, %d events", source.ReadBlocks, len(source.Index), n)
	}
}

// summarize returns the summary and the events of a trace with 250 commands in each of two groups.
func summarize(t *testing.T) (*Summary, []format.Event) {
	t.Helper()
	source, events := readAll(t, writeTrace(t, t.TempDir(), "a", 1, 100, 0, 0))
	sum := NewSummary(source.Header)
	for _, event := range events {
		sum.Add(event)
	}
	return sum, events
}

func TestSummaryCountsEveryCommandOnce(t *testing.T) {
	sum, events := summarize(t)
	// A repeated final event and an event of an unknown command are ignored.
	sum.Add(events[len(events)-1])
	sum.Add(format.Event{Kind: record.Fail, Ints: []int64{99999}})
	sum.Add(format.Event{At: base, Kind: record.Submit, Ints: []int64{88888, 0, 1, 0, 0, 0}, Texts: []string{"x", "y"}})
	summaries := sum.Groups()
	if len(summaries) != 2 || summaries[1].Taken != 250 {
		t.Fatalf("%+v", summaries)
	}
	if summary := summaries[0]; summary.Group != "list" || summary.Taken != 251 || summary.Answered != 250 || summary.Open != 1 {
		t.Fatalf("%+v", summaries)
	}
	if summary := summaries[1]; summary.Dispatches != 1 || summary.Replicas != 0 || summary.Median < 4 || summary.P99 > 11 {
		t.Errorf("%+v", summary)
	}
	if summary := summaries[1]; summary.Waited < 0.1 || summary.Waited > 0.3 {
		t.Errorf("%+v", summary)
	}
}

func TestDiffHasGroupsOfEitherSide(t *testing.T) {
	sum, _ := summarize(t)
	summaries := sum.Groups()
	if diff := Diff(summaries, summaries[:1]); len(diff) != 2 || diff[1].Taken != [2]int64{250, 0} {
		t.Errorf("%+v", diff)
	}
}

func TestTruncatedFileIsReadAndRepaired(t *testing.T) {
	dir := t.TempDir()
	path := writeTrace(t, dir, "a", 1, 4000, 0, 0)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, complete[:len(complete)*2/3])
	source, events := readAll(t, path)
	if source.Index != nil || source.Truncated == nil || len(events) < 10000 {
		t.Errorf("%v, %d events", source.Truncated, len(events))
	}
	repaired := filepath.Join(dir, "repaired")
	writeFile(t, repaired, encode(t, source.Header, events))
	if again, same := readAll(t, repaired); again.Index == nil || again.Truncated != nil || len(same) != len(events) {
		t.Errorf("%v, %d events", again.Truncated, len(same))
	}
}

// openDescriptors returns the number of open file descriptors of the process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("the system does not list file descriptors")
	}
	return len(descriptors)
}

func TestMergeOfFortyFilesNeedsTwoDescriptors(t *testing.T) {
	dir := t.TempDir()
	before := openDescriptors(t)
	var feeds []Feed
	var first *DelaySamples
	var skews []ClockSkew
	for i := range 40 {
		header, delays, feed := openForMerge(t, writeTrace(t, dir, fmt.Sprintf("r%02d", i), uint64(i+1), 30, int64(i)*500, 0))
		if first == nil {
			first = delays
		}
		skew, err := EstimateSkew(header.Router, first, delays)
		if err != nil {
			t.Fatal(err)
		}
		if off := skew.Correct(base+int64(i)*500) - base; off > 60 || off < -60 {
			t.Errorf("router %d is off by %.1f ms", i, float64(off)/10)
		}
		feeds, skews = append(feeds, feed), append(skews, skew)
	}
	maxOpen := 0
	n := mergeInOrder(t, feeds, skews, func(_ format.Event, number int) {
		if number%500 == 0 {
			maxOpen = max(maxOpen, openDescriptors(t))
		}
	})
	if n != 40*(2+3*150) || maxOpen > before+2 {
		t.Errorf("%d events, at most %d descriptors, %d before", n, maxOpen, before)
	}
}
