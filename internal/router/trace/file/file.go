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

// Layer is what files are written on, so that a test can have it fail.
type Layer interface {
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
	terms  Terms
	layer  Layer
	header format.Header
	log    *zap.Logger
	empty  chan *format.Block
	full   chan *format.Block
	tick   func() time.Time

	kept  []kept // files that are whole, the oldest first
	file  File
	path  string
	at    int64
	began time.Time
	spans []format.Span
	out   []byte
	count int

	Bytes, Written, Files atomic.Int64
	Ended                 atomic.Bool // the disk failed: nothing more is written
}

type kept struct {
	path string
	size int64
}

// New makes a writer; header is of every file. Nothing is written before Run.
func New(t Terms, layer Layer, header format.Header, now func() time.Time, log *zap.Logger) *Writer {
	w := &Writer{terms: t, layer: layer, header: header, log: log, tick: now,
		empty: make(chan *format.Block, t.Blocks), full: make(chan *format.Block, t.Blocks)}
	for range t.Blocks {
		w.empty <- format.NewBlock(header.Schema)
	}
	return w
}

// Get and Put are the recorder's side.
func (w *Writer) Get() *format.Block {
	if w.Ended.Load() {
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
	if w.Ended.Load() {
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
	sync := time.NewTicker(w.terms.Flush)
	defer sync.Stop()
	defer w.finish()
	for {
		select {
		case <-ctx.Done():
			for {
				select {
				case b := <-w.full:
					w.block(b)
				default:
					return nil
				}
			}
		case b := <-w.full:
			w.block(b)
		case <-sync.C:
			if w.file != nil && !w.Ended.Load() {
				if err := w.file.Sync(); err != nil {
					w.fail(err)
				}
			}
		}
	}
}

// block writes one, and gives its room back.
func (w *Writer) block(b *format.Block) {
	defer func() {
		b.Reset()
		w.empty <- b
	}()
	if w.Ended.Load() {
		return
	}
	if err := w.write(b); err != nil {
		w.fail(err)
	}
}

func (w *Writer) write(b *format.Block) error {
	if w.file != nil && rotate(w.at, w.tick().Sub(w.began), w.terms) {
		if err := w.end(); err != nil {
			return err
		}
	}
	if w.file == nil {
		if err := w.open(); err != nil {
			return err
		}
	}
	out, span, err := b.Append(w.out[:0], w.at)
	if err != nil {
		return err
	}
	if w.out = out; cap(out) > 1<<20 {
		w.out = nil
	}
	if err := w.put(out); err != nil {
		return err
	}
	w.spans = append(w.spans, span)
	w.Written.Add(int64(span.Count))
	return nil
}

func (w *Writer) put(b []byte) error {
	n, err := w.file.Write(b)
	w.at += int64(n)
	w.Bytes.Add(int64(n))
	return err
}

// rotate says whether a file of a size and an age is to be followed by another.
func rotate(size int64, age time.Duration, t Terms) bool { return size >= t.Size || age >= t.Age }

// over names the oldest files that make way for another of at most size within a budget.
func over(all []kept, size, budget int64) (gone int) {
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

func (w *Writer) open() error {
	gone := over(w.kept, w.terms.Size, w.terms.Budget)
	for _, k := range w.kept[:gone] {
		if err := w.layer.Remove(k.path); err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	w.kept = slices.Delete(w.kept, 0, gone)
	w.count++
	w.path = filepath.Join(w.terms.Dir, fmt.Sprintf("%s-%016x-%04d%s", clean(w.terms.Name), w.header.Life, w.count, Ending))
	file, err := w.layer.Create(w.path)
	if err != nil {
		return err
	}
	w.file, w.at, w.began, w.spans = file, 0, w.tick(), nil
	w.Files.Add(1)
	head, err := format.AppendHeader(nil, w.header)
	if err != nil {
		return err
	}
	return w.put(head)
}

// clean keeps of a name what a file's name may hold.
func clean(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

// end finishes a file with its index.
func (w *Writer) end() error {
	tail, err := format.AppendIndex(nil, w.spans, w.at)
	if err == nil {
		err = w.put(tail)
	}
	if err == nil {
		err = w.file.Sync()
	}
	if bad := w.file.Close(); err == nil {
		err = bad
	}
	w.kept = append(w.kept, kept{w.path, w.at})
	w.file = nil
	return err
}

// fail ends capture, never service. What was written can be read up to here.
func (w *Writer) fail(err error) {
	if w.Ended.Swap(true) {
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
		if err := w.end(); err != nil {
			w.fail(err)
		}
	}
}

// Fields are the counts for a line of the log.
func (w *Writer) Fields() []zap.Field {
	return []zap.Field{zap.Int64("trace_events", w.Written.Load()), zap.Int64("trace_bytes", w.Bytes.Load()),
		zap.Int64("trace_files", w.Files.Load()), zap.Bool("trace_ended", w.Ended.Load())}
}
