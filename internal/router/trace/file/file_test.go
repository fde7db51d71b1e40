package file

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/trace/format"
)

var schema = format.Schema{{Name: "x", Columns: []format.Column{{Name: "n", Type: format.Int, Privacy: format.Plain}}}}

// fullDisk is a Storage whose writes fail once its space is used up.
type fullDisk struct {
	Disk
	space int // remaining bytes; -1 means no limit
}

type fileOnFullDisk struct {
	File
	disk *fullDisk
}

var errFull = errors.New("no space left on device")

func (d *fullDisk) Create(path string) (File, error) {
	f, err := d.Disk.Create(path)
	return &fileOnFullDisk{f, d}, err
}

func (f *fileOnFullDisk) Write(b []byte) (int, error) {
	if f.disk.space >= 0 && len(b) > f.disk.space {
		n, _ := f.File.Write(b[:f.disk.space])
		f.disk.space = 0
		return n, errFull
	}
	if f.disk.space >= 0 {
		f.disk.space -= len(b)
	}
	return f.File.Write(b)
}

// writeBlocks runs the writer, passes it blocks of 100 events each and stops it. Unlike a recorder, it waits for empty
// blocks. It returns the number of blocks that the writer accepted.
func writeBlocks(t *testing.T, writer *Writer, blocks int) (accepted int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan error)
	go func() { finished <- writer.Run(ctx) }()
	for k := range blocks {
		block := writer.Get()
		for ; block == nil && !writer.Stopped.Load(); block = writer.Get() {
			time.Sleep(time.Millisecond)
		}
		if block == nil {
			break
		}
		for i := range 100 {
			block.Add(int64(1000*k+i), 0, []int64{int64(i * i)}, nil)
		}
		if writer.Put(block) {
			accepted++
		}
	}
	cancel()
	if err := <-finished; err != nil {
		t.Error(err)
	}
	return accepted
}

func testConfig(dir string) Config {
	return Config{Dir: dir, Name: "f1/../x", MaxFileBytes: 2000, MaxFileAge: time.Hour, MaxTotalBytes: 1 << 20, SyncInterval: time.Hour, BlockCount: 3}
}

// countEvents reads all trace files in a directory and counts events, files, and files that are truncated or corrupt.
func countEvents(t *testing.T, dir string) (events, files, unreadable int) {
	t.Helper()
	paths, _ := filepath.Glob(filepath.Join(dir, "*"+Extension))
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		files++
		reader, err := format.NewReader(file)
		for err == nil {
			var blockEvents []format.Event
			_, blockEvents, err = reader.Next()
			events += len(blockEvents)
		}
		if !errors.Is(err, io.EOF) {
			unreadable++
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}
	return events, files, unreadable
}

func TestFilesRotateWithinBudgetAndHaveAnIndex(t *testing.T) {
	dir := t.TempDir()
	config := testConfig(dir)
	writer := New(config, Disk{}, format.Header{Schema: schema, Incarnation: 5}, time.Now, zap.NewNop())
	accepted := writeBlocks(t, writer, 60)
	events, files, unreadable := countEvents(t, dir)
	if events != 100*accepted || files < 3 || unreadable != 0 {
		t.Errorf("%d events of %d blocks in %d files, %d of them unreadable", events, accepted, files, unreadable)
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "f1____x-*"+Extension))
	if len(paths) != files {
		t.Errorf("unexpected file names: %v", paths)
	}
	for _, path := range paths {
		file, _ := os.Open(path)
		info, _ := file.Stat()
		if index, err := format.ReadIndex(file, info.Size()); err != nil || len(index) == 0 {
			t.Errorf("%s: %v", path, err)
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}
	config.MaxTotalBytes, config.Dir = 7000, t.TempDir()
	writeBlocks(t, New(config, Disk{}, format.Header{Schema: schema, Incarnation: 6}, time.Now, zap.NewNop()), 60)
	total := int64(0)
	paths, _ = filepath.Glob(filepath.Join(config.Dir, "*"))
	for _, path := range paths {
		info, _ := os.Stat(path)
		total += info.Size()
	}
	if total > config.MaxTotalBytes+1000 || len(paths) < 2 {
		t.Errorf("%d bytes in %d files; the limit is %d", total, len(paths), config.MaxTotalBytes)
	}
}

func TestFullDiskEndsCaptureAndLeavesReadableFiles(t *testing.T) {
	for space := 0; space < 6000; space += 97 {
		dir := t.TempDir()
		writer := New(testConfig(dir), &fullDisk{space: space}, format.Header{Schema: schema, Incarnation: 5}, time.Now, zap.NewNop())
		writeBlocks(t, writer, 60)
		if !writer.Stopped.Load() {
			t.Fatalf("with %d bytes of space: the writer has not stopped", space)
		}
		if writer.Get() != nil || writer.Put(format.NewBlock(schema)) {
			t.Fatalf("with %d bytes of space: the stopped writer still supplies or accepts blocks", space)
		}
		events, files, unreadable := countEvents(t, dir)
		if int64(events) < writer.WrittenEvents.Load() || unreadable > 1 || files == 0 {
			t.Fatalf("with %d bytes of space: %d events read of %d written, %d of %d files unreadable",
				space, events, writer.WrittenEvents.Load(), unreadable, files)
		}
	}
}

func TestMissingFolderEndsCapture(t *testing.T) {
	writer := New(testConfig("/nowhere/at/all"), Disk{}, format.Header{Schema: schema}, time.Now, zap.NewNop())
	writeBlocks(t, writer, 5)
	if !writer.Stopped.Load() || !strings.Contains(fmt.Sprint(writer.LogFields()), "trace_ended") {
		t.Error("the writer has not stopped, or its log fields do not say so")
	}
}

func TestStalledWriterDoesNotBlock(t *testing.T) {
	writer := New(testConfig(t.TempDir()), Disk{}, format.Header{Schema: schema}, time.Now, zap.NewNop())
	for range 3 {
		block := writer.Get()
		block.Add(1, 0, []int64{1}, nil)
		writer.Put(block)
	}
	if writer.Get() != nil {
		t.Error("there are more blocks than configured")
	}
}
