package tool

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

var largeFileEvents = flag.Int("events", 300_000, "number of events in the file of the memory test")

func TestSummaryOfLargeFileNeedsConstantMemory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "large")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	output, err := NewOutput(f, format.Header{Schema: record.Schema})
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	for k := range int64(*largeFileEvents / 3) {
		at := base + 20*k
		id := fmt.Sprintf("%016x", uint64(k)*0x9e3779b97f4a7c15)
		for _, event := range []format.Event{
			{At: at, Kind: record.Submit, Ints: []int64{k + 1, k % 2, k % 9, at + 10000, 0, 0}, Texts: []string{id, id[:4]}},
			{At: at, Kind: record.Dispatch, Ints: []int64{k + 1, k % 27, 0, 0, at - 5000, 1000}},
			{At: at + 45 + k%13, Kind: record.EndDispatch, Ints: []int64{k + 1, 0, at - k%30, 2, 45 + k%13, 0}},
		} {
			if err := output.Add(event); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := output.Close(); err != nil {
		t.Fatal(err)
	}
	writeTime := time.Since(startedAt)
	source, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, source)
	sum, maxHeap, n := NewSummary(source.Header), uint64(0), 0
	startedAt = time.Now()
	if err := source.Each(allTime, nil, func(event format.Event) error {
		sum.Add(event)
		if n++; n%100_000 == 0 {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			maxHeap = max(maxHeap, m.HeapInuse)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	readTime := time.Since(startedAt)
	if maxHeap > 96<<20 || n != *largeFileEvents/3*3 || len(sum.Groups()) != 18 {
		t.Errorf("%d MB of heap in use, %d events, %d summaries", maxHeap>>20, n, len(sum.Groups()))
	}
	t.Logf("%d events: written at %.2f M/s, read and summarized at %.2f M/s, %.2f bytes per event, at most %d MB of heap in use", n,
		float64(n)/writeTime.Seconds()/1e6, float64(n)/readTime.Seconds()/1e6, float64(source.size)/float64(n), maxHeap>>20)
}

func TestFileIsSmallerThanCompressedJSON(t *testing.T) {
	path := writeTrace(t, t.TempDir(), "a", 1, 2000, 0, 0)
	source, events := readAll(t, path)
	var compressed bytes.Buffer
	compressor := gzip.NewWriter(&compressed)
	encoder := json.NewEncoder(compressor)
	for _, event := range events {
		if err := encoder.Encode(EventObject(source.Header.Schema, event)); err != nil {
			t.Fatal(err)
		}
	}
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%.2f bytes per event, gzipped JSON lines %.2f", float64(source.size)/float64(len(events)), float64(compressed.Len())/float64(len(events)))
	if source.size >= int64(compressed.Len()) {
		t.Errorf("%d bytes, gzipped JSON lines %d", source.size, compressed.Len())
	}
}
