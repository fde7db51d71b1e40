package format

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var schema = Schema{
	{Name: "taken", Columns: []Column{{"id", Text, Identity}, {"set", Int, Plain}, {"group", Text, Plain}}},
	{Name: "ended", Columns: []Column{{"outcome", Int, Plain}, {"host", Text, Topology}, {"took", Int, Plain}}},
	{Name: "stalled"},
}

// write returns a file of events, so many in a block.
func write(t interface{ Fatal(...any) }, events []Event, eventsPerBlock int) (file []byte, spans []BlockInfo) {
	file, err := AppendHeader(nil, Header{Router: "f1", Incarnation: 3, Schema: schema})
	if err != nil {
		t.Fatal(err)
	}
	b := NewBlock(schema)
	flush := func() {
		if b.Len() == 0 {
			return
		}
		var span BlockInfo
		if file, span, err = b.Append(file, int64(len(file))); err != nil {
			t.Fatal(err)
		}
		spans = append(spans, span)
		b.Reset()
	}
	for _, event := range events {
		if b.Add(event.At, event.Kind, event.Ints, event.Texts); b.Len() == eventsPerBlock {
			flush()
		}
	}
	flush()
	if file, err = AppendIndex(file, spans, int64(len(file))); err != nil {
		t.Fatal(err)
	}
	return file, spans
}

// read returns all events up to the end or truncation, and the offsets of corrupt blocks.
func read(file []byte) (events []Event, faults []int64, err error) {
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		return nil, nil, err
	}
	for {
		_, some, err := reader.Next()
		var corrupt *CorruptBlockError
		switch {
		case errors.As(err, &corrupt):
			faults = append(faults, corrupt.Offset)
		case errors.Is(err, io.EOF):
			return events, faults, nil
		case err != nil:
			return events, faults, err
		}
		events = append(events, some...)
	}
}

// someEvents returns three events for each of n.
func someEvents(n int) (all []Event) {
	for i := range n {
		all = append(all, Event{At: int64(1000 + i), Kind: 0, Ints: []int64{int64(i % 3)}, Texts: []string{fmt.Sprint("c", i), "own"}},
			Event{At: int64(1001 + i), Kind: 1, Ints: []int64{int64(i), 40}, Texts: []string{"set1-a"}}, Event{At: int64(1002 + i), Kind: 2})
	}
	return all
}

func TestEventsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []Event
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			event := Event{At: rapid.Int64().Draw(t, "at"), Kind: rapid.IntRange(0, 2).Draw(t, "kind")}
			for range schema[event.Kind].Count(Int) {
				event.Ints = append(event.Ints, rapid.Int64().Draw(t, "int"))
			}
			for range schema[event.Kind].Count(Text) {
				event.Texts = append(event.Texts, rapid.String().Draw(t, "text"))
			}
			events = append(events, event)
		}
		file, spans := write(t, events, rapid.IntRange(1, 20).Draw(t, "each"))
		got, faults, err := read(file)
		if err != nil || len(faults) > 0 || !reflect.DeepEqual(got, events) {
			t.Fatalf("%v %v\n%v\n%v", err, faults, got, events)
		}
		index, err := ReadIndex(bytes.NewReader(file), int64(len(file)))
		if err != nil || len(index) != len(spans) {
			t.Fatalf("%v, %d spans of %d", err, len(index), len(spans))
		}
		from := 0
		for _, info := range index {
			some, err := ReadBlock(bytes.NewReader(file), schema, info)
			if err != nil || !reflect.DeepEqual(some, events[from:from+int(info.Count)]) {
				t.Fatal(err, some)
			}
			from += int(info.Count)
		}
	})
}

func TestTruncatedFileIsReadUpToItsEnd(t *testing.T) {
	events := someEvents(12)
	file, spans := write(t, events, 9)
	for size := range file {
		complete := 0
		for _, info := range spans {
			if info.Offset+int64(info.Length) <= int64(size) {
				complete += int(info.Count)
			}
		}
		got, faults, err := read(file[:size])
		if int64(size) < spans[0].Offset {
			if err == nil {
				t.Fatalf("%d bytes, within the header: no error", size)
			}
			continue
		}
		if len(got) != complete || len(faults) > 0 || complete > 0 && !reflect.DeepEqual(got, events[:complete]) {
			t.Fatalf("%d bytes: %d events of %d, faults %v, %v", size, len(got), complete, faults, err)
		}
		if _, err := ReadIndex(bytes.NewReader(file[:size]), int64(size)); err == nil {
			t.Fatalf("%d bytes: an index is found", size)
		}
	}
}

func TestCorruptByteLosesOneBlock(t *testing.T) {
	events := someEvents(12)
	file, spans := write(t, events, 9)
	for i, info := range spans {
		for at := info.Offset; at < info.Offset+int64(info.Length); at++ {
			bad := bytes.Clone(file)
			bad[at] ^= 0x10
			got, faults, err := read(bad)
			if len(faults) == 0 || faults[0] != info.Offset {
				if errors.Is(err, ErrTruncated) && at < info.Offset+frameHeaderBytes {
					continue // a wrong length includes the blocks that follow
				}
				t.Fatalf("block %d, byte %d: faults %v, %v", i, at-info.Offset, faults, err)
			}
			if at >= info.Offset+8 && len(got) != len(events)-int(info.Count) {
				t.Fatalf("block %d, byte %d: %d events left", i, at-info.Offset, len(got))
			}
		}
	}
}

func TestNewerVersionAndForeignFileAreRejected(t *testing.T) {
	file, _ := write(t, someEvents(1), 9)
	newer := bytes.Clone(file)
	newer[len(fileMagic)] = 2
	if _, err := NewReader(bytes.NewReader(newer)); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), "version 2") {
		t.Error(err)
	}
	if _, err := NewReader(strings.NewReader("PAR1 and so on, for long enough to be read")); !errors.Is(err, ErrNotTrace) {
		t.Error(err)
	}
}

func TestUnknownColumnIsSkipped(t *testing.T) {
	later := Schema{{Name: "taken", Columns: []Column{{"new", Text, FreeText}, {"id", Text, Identity}, {"set", Int, Plain}}}, {Name: "unheard of"}}
	b := NewBlock(later)
	b.Add(5, 0, []int64{7}, []string{"something", "c1"})
	b.Add(6, 1, nil, nil)
	file, _ := AppendHeader(nil, Header{Schema: later})
	file, _, _ = b.Append(file, int64(len(file)))
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	_, events, err := reader.Next()
	kind := reader.Header.Schema[0]
	if err != nil || events[0].Texts[kind.Find("id", Text)] != "c1" || events[0].Ints[kind.Find("set", Int)] != 7 || kind.Find("group", Text) != -1 {
		t.Errorf("%v %v", events, err)
	}
}

func TestColumnWithoutPrivacyIsNotWritten(t *testing.T) {
	if _, err := AppendHeader(nil, Header{Schema: Schema{{Name: "x", Columns: []Column{{Name: "y", Type: Text}}}}}); err == nil {
		t.Error("a column without privacy is accepted")
	}
	if _, err := AppendHeader(nil, Header{Schema: Schema{{Name: "x", Columns: []Column{{"y", Int, Identity}}}}}); err == nil {
		t.Error("an identity that could not be replaced is accepted")
	}
}

func FuzzRead(f *testing.F) {
	file, _ := write(f, someEvents(3), 4)
	f.Add(file)
	f.Add(file[:len(file)-30])
	f.Add([]byte(fileMagic))
	f.Fuzz(func(t *testing.T, b []byte) {
		events, _, _ := read(b)
		index, err := ReadIndex(bytes.NewReader(b), int64(len(b)))
		for _, block := range index {
			if err != nil || block.Offset < 0 || block.Offset+int64(block.Length) > int64(len(b)) {
				t.Fatal(block, err)
			}
		}
		for _, event := range events {
			if event.Kind < 0 {
				t.Fatal(event)
			}
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	events := someEvents(10000)
	b.ReportAllocs()
	for range b.N {
		file, _ := write(b, events, 8192)
		b.ReportMetric(float64(len(file))/float64(len(events)), "bytes/event")
	}
	b.ReportMetric(float64(len(events)*b.N)/b.Elapsed().Seconds(), "events/s")
}

func BenchmarkRead(b *testing.B) {
	file, _ := write(b, someEvents(10000), 8192)
	b.ResetTimer()
	n := 0
	for range b.N {
		events, _, _ := read(file)
		n += len(events)
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "events/s")
}
