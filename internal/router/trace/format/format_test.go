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

// encodeFile returns a file with the given events, with eventsPerBlock in each block, and its index.
func encodeFile(t interface{ Fatal(...any) }, events []Event, eventsPerBlock int) (file []byte, index []BlockInfo) {
	file, err := AppendHeader(nil, Header{Router: "f1", Incarnation: 3, Schema: schema})
	if err != nil {
		t.Fatal(err)
	}
	b := NewBlock(schema)
	flush := func() {
		if b.Len() == 0 {
			return
		}
		var info BlockInfo
		if file, info, err = b.Append(file, int64(len(file))); err != nil {
			t.Fatal(err)
		}
		index = append(index, info)
		b.Reset()
	}
	for _, event := range events {
		if b.Add(event.At, event.Kind, event.Ints, event.Texts); b.Len() == eventsPerBlock {
			flush()
		}
	}
	flush()
	if file, err = AppendIndex(file, index, int64(len(file))); err != nil {
		t.Fatal(err)
	}
	return file, index
}

// decodeFile returns all events up to the end or truncation, and the offsets of corrupt blocks.
func decodeFile(file []byte) (events []Event, corruptOffsets []int64, err error) {
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		return nil, nil, err
	}
	for {
		_, blockEvents, err := reader.Next()
		var corrupt *CorruptBlockError
		switch {
		case errors.As(err, &corrupt):
			corruptOffsets = append(corruptOffsets, corrupt.Offset)
		case errors.Is(err, io.EOF):
			return events, corruptOffsets, nil
		case err != nil:
			return events, corruptOffsets, err
		}
		events = append(events, blockEvents...)
	}
}

// makeEvents returns 3n events: n of each kind.
func makeEvents(n int) (events []Event) {
	for i := range n {
		events = append(events, Event{At: int64(1000 + i), Kind: 0, Ints: []int64{int64(i % 3)}, Texts: []string{fmt.Sprint("c", i), "own"}},
			Event{At: int64(1001 + i), Kind: 1, Ints: []int64{int64(i), 40}, Texts: []string{"set1-a"}}, Event{At: int64(1002 + i), Kind: 2})
	}
	return events
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
		file, written := encodeFile(t, events, rapid.IntRange(1, 20).Draw(t, "each"))
		got, corruptOffsets, err := decodeFile(file)
		if err != nil || len(corruptOffsets) > 0 || !reflect.DeepEqual(got, events) {
			t.Fatalf("%v %v\n%v\n%v", err, corruptOffsets, got, events)
		}
		index, err := ReadIndex(bytes.NewReader(file), int64(len(file)))
		if err != nil || len(index) != len(written) {
			t.Fatalf("%v, %d index entries of %d", err, len(index), len(written))
		}
		first := 0
		for _, info := range index {
			blockEvents, err := ReadBlock(bytes.NewReader(file), schema, info)
			if err != nil || !reflect.DeepEqual(blockEvents, events[first:first+int(info.Count)]) {
				t.Fatal(err, blockEvents)
			}
			first += int(info.Count)
		}
	})
}

func TestTruncatedFileIsReadUpToItsEnd(t *testing.T) {
	events := makeEvents(12)
	file, index := encodeFile(t, events, 9)
	for size := range file {
		complete := 0
		for _, info := range index {
			if info.Offset+int64(info.Length) <= int64(size) {
				complete += int(info.Count)
			}
		}
		got, corruptOffsets, err := decodeFile(file[:size])
		if int64(size) < index[0].Offset {
			if err == nil {
				t.Fatalf("file cut to %d bytes, within the header: no error", size)
			}
			continue
		}
		if len(got) != complete || len(corruptOffsets) > 0 || complete > 0 && !reflect.DeepEqual(got, events[:complete]) {
			t.Fatalf("file cut to %d bytes: %d events of %d, corrupt blocks at %v, %v", size, len(got), complete, corruptOffsets, err)
		}
		if _, err := ReadIndex(bytes.NewReader(file[:size]), int64(size)); err == nil {
			t.Fatalf("file cut to %d bytes: an index is found", size)
		}
	}
}

func TestCorruptByteLosesOneBlock(t *testing.T) {
	events := makeEvents(12)
	file, index := encodeFile(t, events, 9)
	for i, info := range index {
		for at := info.Offset; at < info.Offset+int64(info.Length); at++ {
			bad := bytes.Clone(file)
			bad[at] ^= 0x10
			got, corruptOffsets, err := decodeFile(bad)
			if len(corruptOffsets) == 0 || corruptOffsets[0] != info.Offset {
				if errors.Is(err, ErrTruncated) && at < info.Offset+frameHeaderBytes {
					continue // a wrong length includes the following blocks
				}
				t.Fatalf("block %d, byte %d: corrupt blocks at %v, %v", i, at-info.Offset, corruptOffsets, err)
			}
			if at >= info.Offset+8 && len(got) != len(events)-int(info.Count) {
				t.Fatalf("block %d, byte %d: %d events read", i, at-info.Offset, len(got))
			}
		}
	}
}

func TestNewerVersionAndForeignFileAreRejected(t *testing.T) {
	file, _ := encodeFile(t, makeEvents(1), 9)
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
		t.Error("a column without a privacy class is accepted")
	}
	if _, err := AppendHeader(nil, Header{Schema: Schema{{Name: "x", Columns: []Column{{"y", Int, Identity}}}}}); err == nil {
		t.Error("an integer column that cannot be anonymized is accepted")
	}
}

func FuzzRead(f *testing.F) {
	file, _ := encodeFile(f, makeEvents(3), 4)
	f.Add(file)
	f.Add(file[:len(file)-30])
	f.Add([]byte(fileMagic))
	f.Fuzz(func(t *testing.T, b []byte) {
		events, _, _ := decodeFile(b)
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
	events := makeEvents(10000)
	b.ReportAllocs()
	for range b.N {
		file, _ := encodeFile(b, events, 8192)
		b.ReportMetric(float64(len(file))/float64(len(events)), "bytes/event")
	}
	b.ReportMetric(float64(len(events)*b.N)/b.Elapsed().Seconds(), "events/s")
}

func BenchmarkRead(b *testing.B) {
	file, _ := encodeFile(b, makeEvents(10000), 8192)
	b.ResetTimer()
	n := 0
	for range b.N {
		events, _, _ := decodeFile(file)
		n += len(events)
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "events/s")
}
