// Package file writes trace files: one goroutine takes blocks from a bounded
// queue and writes them, rotates by size and age within a budget of bytes, and
// stops for good when the disk fails. Whoever records never waits for it.
package file

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/trace/format"
)

// Ending is of all trace files' names.
const Ending = ".fptrace"

// FileSystem is what files are written on, so that a test can have it fail.
type FileSystem interface {
	Create(path string) (File, error)
	Remove(path string) error
}

// File is one that is written.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the real layer.
type Disk struct{}

func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}
func (Disk) Remove(path string) error { return os.Remove(path) }

// Terms of capture.
type Terms struct {
	Dir    string
	Name   string        // of the router, in file names
	Size   int64         // of a file, in bytes, after which another begins
	Age    time.Duration // of a file, after which another begins
	Budget int64         // of all files in Dir that this process wrote, in bytes
	Flush  time.Duration // after which what was written is synced
	Blocks int           // that there are in all
}

// Writer is a record.Sink.
type Writer struct {
	config     Terms
	fileSystem FileSystem
	header     format.Header
	log        *zap.Logger
	empty      chan *format.Block
	full       chan *format.Block
	now        func() time.Time

	closedFiles []closedFile // files that are whole, the oldest first
	file        File
	path        string
	fileBytes   int64
	openedAt    time.Time
	spans       []format.Span
	buffer      []byte
	fileNumber  int

	WrittenBytes, WrittenEvents, OpenedFiles atomic.Int64
	Stopped                                  atomic.Bool // the disk failed: nothing more is written
}

type closedFile struct {
	path string
	size int64
}

// New makes a writer; header is of every file. Nothing is written before Run.
func New(t Terms, layer FileSystem, header format.Header, now func() time.Time, log *zap.Logger) *Writer {
	w := &Writer{config: t, fileSystem: layer, header: header, log: log, now: now,
		empty: make(chan *format.Block, t.Blocks), full: make(chan *format.Block, t.Blocks)}
	for range t.Blocks {
		w.empty <- format.NewBlock(header.Schema)
	}
	return w
}

// Get and Put are the recorder's side.
func (w *Writer) Get() *format.Block {
	if w.Stopped.Load() {
		return nil
	}
	select {
	case b := <-w.empty:
		return b
	default:
		return nil
	}
}

func (w *Writer) Put(b *format.Block) bool {
	if w.Stopped.Load() {
		return false
	}
	select {
	case w.full <- b:
		return true
	default:
		return false
	}
}

// Run writes until the context ends, and then what is in the queue.
func (w *Writer) Run(ctx context.Context) error {
	sync := time.NewTicker(w.config.Flush)
	defer sync.Stop()
	defer w.finish()
	for {
		select {
		case <-ctx.Done():
			for {
				select {
				case b := <-w.full:
					w.writeAndRelease(b)
				default:
					return nil
				}
			}
		case b := <-w.full:
			w.writeAndRelease(b)
		case <-sync.C:
			if w.file != nil && !w.Stopped.Load() {
				if err := w.file.Sync(); err != nil {
					w.stop(err)
				}
			}
		}
	}
}

// writeAndRelease writes one, and gives its room back.
func (w *Writer) writeAndRelease(b *format.Block) {
	defer func() {
		b.Reset()
		w.empty <- b
	}()
	if w.Stopped.Load() {
		return
	}
	if err := w.writeBlock(b); err != nil {
		w.stop(err)
	}
}

func (w *Writer) writeBlock(b *format.Block) error {
	if w.file != nil && mustRotate(w.fileBytes, w.now().Sub(w.openedAt), w.config) {
		if err := w.closeFile(); err != nil {
			return err
		}
	}
	if w.file == nil {
		if err := w.openFile(); err != nil {
			return err
		}
	}
	out, span, err := b.Append(w.buffer[:0], w.fileBytes)
	if err != nil {
		return err
	}
	if w.buffer = out; cap(out) > 1<<20 {
		w.buffer = nil
	}
	if err := w.writeBytes(out); err != nil {
		return err
	}
	w.spans = append(w.spans, span)
	w.WrittenEvents.Add(int64(span.Count))
	return nil
}

func (w *Writer) writeBytes(b []byte) error {
	n, err := w.file.Write(b)
	w.fileBytes += int64(n)
	w.WrittenBytes.Add(int64(n))
	return err
}

// mustRotate says whether a file of a size and an age is to be followed by another.
func mustRotate(size int64, age time.Duration, t Terms) bool { return size >= t.Size || age >= t.Age }

// countToRemove names the oldest files that make way for another of at most size within a budget.
func countToRemove(all []closedFile, size, budget int64) (gone int) {
	total := size
	for _, k := range all {
		total += k.size
	}
	for gone < len(all) && total > budget {
		total -= all[gone].size
		gone++
	}
	return gone
}

func (w *Writer) openFile() error {
	gone := countToRemove(w.closedFiles, w.config.Size, w.config.Budget)
	for _, k := range w.closedFiles[:gone] {
		if err := w.fileSystem.Remove(k.path); err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	w.closedFiles = slices.Delete(w.closedFiles, 0, gone)
	w.fileNumber++
	w.path = filepath.Join(w.config.Dir, fmt.Sprintf("%s-%016x-%04d%s", sanitize(w.config.Name), w.header.Life, w.fileNumber, Ending))
	file, err := w.fileSystem.Create(w.path)
	if err != nil {
		return err
	}
	w.file, w.fileBytes, w.openedAt, w.spans = file, 0, w.now(), nil
	w.OpenedFiles.Add(1)
	head, err := format.AppendHeader(nil, w.header)
	if err != nil {
		return err
	}
	return w.writeBytes(head)
}

// sanitize keeps of a name what a file's name may hold.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

// closeFile finishes a file with its index.
func (w *Writer) closeFile() error {
	tail, err := format.AppendIndex(nil, w.spans, w.fileBytes)
	if err == nil {
		err = w.writeBytes(tail)
	}
	if err == nil {
		err = w.file.Sync()
	}
	if bad := w.file.Close(); err == nil {
		err = bad
	}
	w.closedFiles = append(w.closedFiles, closedFile{w.path, w.fileBytes})
	w.file = nil
	return err
}

// stop ends capture, never service. What was written can be read up to here.
func (w *Writer) stop(err error) {
	if w.Stopped.Swap(true) {
		return
	}
	w.log.Error("capture has ended; service goes on", zap.String("file", w.path), zap.Error(err))
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
}

func (w *Writer) finish() {
	if w.file != nil {
		if err := w.closeFile(); err != nil {
			w.stop(err)
		}
	}
}

// Fields are the counts for a line of the log.
func (w *Writer) Fields() []zap.Field {
	return []zap.Field{zap.Int64("trace_events", w.WrittenEvents.Load()), zap.Int64("trace_bytes", w.WrittenBytes.Load()),
		zap.Int64("trace_files", w.OpenedFiles.Load()), zap.Bool("trace_ended", w.Stopped.Load())}
}
