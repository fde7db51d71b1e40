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

// fullDisk fails once its space is used up.
type fullDisk struct {
	Disk
	space int // bytes that are left; -1: no limit
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

// writeBlocks writes blocks of a hundred events, waits for empty blocks as no recorder would, and ends the writer.
func writeBlocks(t *testing.T, writer *Writer, blocks int) (put int) {
	t.Helper()
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- writer.Run(ctx) }()
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
			put++
		}
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	return put
}

func testConfig(dir string) Config {
	return Config{Dir: dir, Name: "f1/../x", MaxFileBytes: 2000, MaxFileAge: time.Hour, MaxTotalBytes: 1 << 20, SyncInterval: time.Hour, BlockCount: 3}
}

// count reads all files of a folder and counts those that are truncated or corrupt.
func count(t *testing.T, dir string) (events, files, broken int) {
	t.Helper()
	all, _ := filepath.Glob(filepath.Join(dir, "*"+Extension))
	for _, path := range all {
		file, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		files++
		r, err := format.NewReader(file)
		for err == nil {
			var some []format.Event
			_, some, err = r.Next()
			events += len(some)
		}
		if !errors.Is(err, io.EOF) {
			broken++
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}
	return events, files, broken
}

func TestFilesRotateWithinBudgetAndHaveAnIndex(t *testing.T) {
	dir := t.TempDir()
	config := testConfig(dir)
	writer := New(config, Disk{}, format.Header{Schema: schema, Incarnation: 5}, time.Now, zap.NewNop())
	put := writeBlocks(t, writer, 60)
	events, files, broken := count(t, dir)
	if events != 100*put || files < 3 || broken != 0 {
		t.Errorf("%d events of %d blocks in %d files, %d of them broken", events, put, files, broken)
	}
	all, _ := filepath.Glob(filepath.Join(dir, "f1____x-*"+Extension))
	if len(all) != files {
		t.Errorf("%v", all)
	}
	for _, path := range all {
		file, _ := os.Open(path)
		info, _ := file.Stat()
		if spans, err := format.ReadIndex(file, info.Size()); err != nil || len(spans) == 0 {
			t.Errorf("%s: %v", path, err)
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}
	config.MaxTotalBytes, config.Dir = 7000, t.TempDir()
	writeBlocks(t, New(config, Disk{}, format.Header{Schema: schema, Incarnation: 6}, time.Now, zap.NewNop()), 60)
	total := int64(0)
	all, _ = filepath.Glob(filepath.Join(config.Dir, "*"))
	for _, path := range all {
		info, _ := os.Stat(path)
		total += info.Size()
	}
	if total > config.MaxTotalBytes+1000 || len(all) < 2 {
		t.Errorf("%d bytes in %d files, of a budget of %d", total, len(all), config.MaxTotalBytes)
	}
}

func TestFullDiskEndsCaptureAndLeavesReadableFiles(t *testing.T) {
	for space := 0; space < 6000; space += 97 {
		dir := t.TempDir()
		writer := New(testConfig(dir), &fullDisk{space: space}, format.Header{Schema: schema, Incarnation: 5}, time.Now, zap.NewNop())
		writeBlocks(t, writer, 60)
		if !writer.Stopped.Load() {
			t.Fatalf("with %d bytes: capture goes on", space)
		}
		if writer.Get() != nil || writer.Put(format.NewBlock(schema)) {
			t.Fatalf("with %d bytes: blocks are still accepted", space)
		}
		events, files, broken := count(t, dir)
		if int64(events) < writer.WrittenEvents.Load() || broken > 1 || files == 0 {
			t.Fatalf("with %d bytes: %d events read of %d written, %d of %d files broken", space, events, writer.WrittenEvents.Load(), broken, files)
		}
	}
}

func TestMissingFolderEndsCapture(t *testing.T) {
	writer := New(testConfig("/nowhere/at/all"), Disk{}, format.Header{Schema: schema}, time.Now, zap.NewNop())
	writeBlocks(t, writer, 5)
	if !writer.Stopped.Load() || !strings.Contains(fmt.Sprint(writer.LogFields()), "trace_ended") {
		t.Error("it goes on")
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
