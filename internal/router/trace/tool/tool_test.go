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

const base = int64(17672256000000)

// day is a router's file: commands of sessions at hosts, whose clock is ahead by offset and drifts.
func day(t *testing.T, dir, router string, seed uint64, seconds int, offset int64, drift float64) string {
	t.Helper()
	deployment, err := record.Deployment(policy.Deployment{Zone: "zone of " + router, Groups: []*policy.CmdGroup{{Target: 2500}, {Target: 2500}}})
	if err != nil {
		t.Fatal(err)
	}
	groups, _ := record.Groups([]string{"list", "order"})
	path := filepath.Join(dir, router+".fptrace")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	o, err := NewOutput(f, format.Header{Router: router, Life: seed, Part: 1000, Schema: record.Schema,
		More: map[string][]byte{"deployment": deployment, "groups": groups, "later": []byte("Ms Someone")}})
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewPCG(seed, 3))
	put := func(at int64, kind int, ints []int64, texts ...string) {
		at += offset + int64(drift*float64(at-base))
		if err := o.Add(format.Event{At: at, Kind: kind, Ints: ints, Texts: texts}); err != nil {
			t.Fatal(err)
		}
	}
	put(base, record.Host, []int64{1, 1}, "host-of-the-set")
	put(base, record.Heard, nil, "free words of viewer-007")
	for k := range int64(seconds * 5) {
		at := base + k*2000 + chance.Int64N(1500)
		put(at, record.Take, []int64{k + 1, k % 2, 1, at + 10000, 0, 0}, fmt.Sprintf("id-%d", k), fmt.Sprintf("viewer-%03d", k%20))
		put(at+2, record.Dispatch, []int64{k + 1, 1, 0, 0, 0, 1000})
		took := 40 + chance.Int64N(60)
		put(at+2+took, record.Ended, []int64{k + 1, int64(policy.Answered), at + took - 20, int64(policy.Primary), took, 0})
	}
	if err := o.Close(); err != nil {
		t.Fatal(err)
	}
	return path
}

func all(t *testing.T, path string) (*Source, []format.Event) {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	var events []format.Event
	if err := s.Each(Window{First: -1 << 62}, nil, func(e format.Event) error { events = append(events, e); return nil }); err != nil {
		t.Fatal(err)
	}
	return s, events
}

func TestNoIdentityOutlivesAnonymising(t *testing.T) {
	dir := t.TempDir()
	s, events := all(t, day(t, dir, "router-one", 1, 20, 0, 0))
	var out bytes.Buffer
	a := NewAnonymous([32]byte{1})
	h, err := a.Header(s.Header)
	if err != nil {
		t.Fatal(err)
	}
	o, _ := NewOutput(&out, h)
	for _, e := range events {
		if err := o.Add(a.Event(e)); err != nil {
			t.Fatal(err)
		}
	}
	o.Close()
	file := filepath.Join(dir, "out")
	os.WriteFile(file, out.Bytes(), 0o600)
	_, got := all(t, file)
	clear := bytes.Clone(out.Bytes()) // the file, and all that is in its blocks unpacked
	for _, e := range got {
		clear = append(clear, strings.Join(e.Texts, "\x00")...)
	}
	words := map[string]bool{"router-one": true, "zone of router-one": true, "Ms Someone": true, "viewer": true, "free words": true, "host-of-the-set": true}
	for _, e := range events {
		for _, text := range e.Texts {
			if len(text) > 3 {
				words[text] = true
			}
		}
	}
	for w := range words {
		wide := []byte{}
		for _, u := range utf16.Encode([]rune(w)) {
			wide = append(wide, byte(u), byte(u>>8))
		}
		for form, b := range map[string][]byte{"as it is": []byte(w), "hexadecimal": []byte(hex.EncodeToString([]byte(w))),
			"base64": []byte(base64.StdEncoding.EncodeToString([]byte(w))), "UTF-16": wide, "reversed case": []byte(strings.ToUpper(w))} {
			if bytes.Contains(clear, b) {
				t.Errorf("%q is found, %s", w, form)
			}
		}
	}
	if len(got) != len(events) {
		t.Errorf("%d events of %d", len(got), len(events))
	}
}

func TestOneIdentityHasOnePseudonymUnderOneKeyAndAnotherUnderAnother(t *testing.T) {
	dir := t.TempDir()
	word := func(key byte, router string) string {
		s, events := all(t, day(t, dir, router, 1, 4, 0, 0))
		a := NewAnonymous([32]byte{key})
		a.Header(s.Header)
		for _, e := range events {
			if e.Kind == record.Take && e.Texts[1] == "viewer-003" {
				return a.Event(e).Texts[1]
			}
		}
		return ""
	}
	one, same, other := word(1, "a"), word(1, "b"), word(2, "a")
	if one == "" || one != same || one == other {
		t.Errorf("%q %q %q", one, same, other)
	}
}

func TestFilesOfClocksThreeSecondsApartAndDriftingMergeInOrder(t *testing.T) {
	dir := t.TempDir()
	const offset, drift = 30000, 200e-6
	sources := [2]*Source{}
	delays := [2]*Delays{}
	feeds := []Feed{}
	for i, path := range []string{day(t, dir, "a", 1, 200, 0, 0), day(t, dir, "b", 2, 200, offset, drift)} {
		s, events := all(t, path)
		sources[i], delays[i] = s, NewDelays(s.Header.Schema)
		for _, e := range events {
			delays[i].Add(e)
		}
		feed, err := s.Feed()
		if err != nil {
			t.Fatal(err)
		}
		feeds = append(feeds, feed)
	}
	skew, err := Estimate("b", delays[0], delays[1])
	if err != nil {
		t.Fatal(err)
	}
	for _, at := range []int64{base, base + 1000000, base + 2000000} {
		theirs := at + offset + int64(drift*float64(at-base))
		if off := skew.Correct(theirs) - at; off > 40 || off < -40 {
			t.Errorf("%.1f s on: off by %.1f ms, bound %.1f", float64(at-base)/10000, float64(off)/10, skew.Bound/10)
		}
	}
	if skew.Seen < 10 || skew.Bound > 100 {
		t.Errorf("%+v", skew)
	}
	last, n, order := int64(0), 0, [2]int64{}
	if err := Merge(feeds, []Skew{{}, skew}, func(e format.Event) error {
		if e.At < last {
			t.Fatalf("%d after %d", e.At, last)
		}
		router := e.Ints[len(e.Ints)-1]
		if e.Kind == record.Take {
			if e.Ints[0] != order[router]+1 {
				t.Fatalf("router %d: command %d after %d", router, e.Ints[0], order[router])
			}
			order[router] = e.Ints[0]
		}
		last = e.At
		n++
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if n != 2*(2+3*1000) {
		t.Errorf("%d events", n)
	}
}

func TestRoutersThatSawNothingInCommonAreNotMergedByGuess(t *testing.T) {
	a, b := NewDelays(record.Schema), NewDelays(record.Schema)
	if _, err := Estimate("b", a, b); !errors.Is(err, ErrNoOverlap) {
		t.Error(err)
	}
}

func TestACutByTimeReadsNoOtherBlocksAndByGroupNoOtherCommands(t *testing.T) {
	path := day(t, t.TempDir(), "a", 1, 4000, 0, 0)
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	f := Filter{Groups: map[int64]bool{1: true}}
	f.Begin(s.Header.Schema)
	n := 0
	w := Window{base + 20000000, base + 20100000}
	if err := s.Each(w, nil, func(e format.Event) error {
		if !w.contains(e.At) {
			t.Fatal(e)
		}
		if f.Has(e) {
			if n++; e.Kind == record.Take && e.Ints[1] != 1 {
				t.Fatal(e)
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if s.Blocks > 2 || len(s.Spans) < 5 || n < 60 || n > 80 {
		t.Errorf("%d of %d blocks read, %d events", s.Blocks, len(s.Spans), n)
	}
}

func TestASummaryCountsEveryCommandOnce(t *testing.T) {
	s, events := all(t, day(t, t.TempDir(), "a", 1, 100, 0, 0))
	sum := NewSummary(s.Header)
	for _, e := range events {
		sum.Add(e)
	}
	// What is doubled or comes without its beginning counts for nothing.
	sum.Add(events[len(events)-1])
	sum.Add(format.Event{Kind: record.Fail, Ints: []int64{99999}})
	sum.Add(format.Event{At: base, Kind: record.Take, Ints: []int64{88888, 0, 1, 0, 0, 0}, Texts: []string{"x", "y"}})
	lines := sum.Lines()
	if len(lines) != 2 || lines[0].Group != "list" || lines[0].Taken != 251 || lines[0].Answered != 250 || lines[0].Open != 1 || lines[1].Taken != 250 {
		t.Fatalf("%+v", lines)
	}
	if l := lines[1]; l.Dispatches != 1 || l.Replicas != 0 || l.Median < 4 || l.P99 > 11 || l.Waited < 0.1 || l.Waited > 0.3 {
		t.Errorf("%+v", l)
	}
	if d := Diff(lines, lines[:1]); len(d) != 2 || d[1].Taken != [2]int64{250, 0} {
		t.Errorf("%+v", d)
	}
}

func TestABrokenFileIsReadUpToItsBreakAndRepairedWithItsIndex(t *testing.T) {
	dir := t.TempDir()
	path := day(t, dir, "a", 1, 4000, 0, 0)
	whole, _ := os.ReadFile(path)
	os.WriteFile(path, whole[:len(whole)*2/3], 0o600)
	s, events := all(t, path)
	if s.Spans != nil || s.Broken == nil || len(events) < 10000 {
		t.Errorf("%v, %d events", s.Broken, len(events))
	}
	var out bytes.Buffer
	o, _ := NewOutput(&out, s.Header)
	for _, e := range events {
		o.Add(e)
	}
	o.Close()
	mended := filepath.Join(dir, "mended")
	os.WriteFile(mended, out.Bytes(), 0o600)
	if again, same := all(t, mended); again.Spans == nil || again.Broken != nil || len(same) != len(events) {
		t.Errorf("%v, %d events", again.Broken, len(same))
	}
}

func TestFortyFilesMergeWithTwoDescriptors(t *testing.T) {
	dir := t.TempDir()
	open := func() int {
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("no list of descriptors here")
		}
		return len(all)
	}
	before := open()
	var feeds []Feed
	var first *Delays
	var skews []Skew
	for i := range 40 {
		s, err := Open(day(t, dir, fmt.Sprintf("r%02d", i), uint64(i+1), 30, int64(i)*500, 0))
		if err != nil {
			t.Fatal(err)
		}
		d := NewDelays(s.Header.Schema)
		if err := s.Each(Window{First: -1 << 62}, nil, func(e format.Event) error { d.Add(e); return nil }); err != nil {
			t.Fatal(err)
		}
		feed, err := s.Feed()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = d
		}
		skew, err := Estimate(s.Header.Router, first, d)
		if err != nil {
			t.Fatal(err)
		}
		if off := skew.Correct(base+int64(i)*500) - base; off > 60 || off < -60 {
			t.Errorf("router %d is off by %.1f ms", i, float64(off)/10)
		}
		feeds, skews = append(feeds, feed), append(skews, skew)
	}
	n, most, last := 0, 0, int64(0)
	if err := Merge(feeds, skews, func(e format.Event) error {
		if e.At < last {
			t.Fatalf("%d after %d", e.At, last)
		}
		if last = e.At; n%500 == 0 {
			most = max(most, open())
		}
		n++
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if n != 40*(2+3*150) || most > before+2 {
		t.Errorf("%d events, %d descriptors, %d before", n, most, before)
	}
}
