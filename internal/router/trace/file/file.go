// Package file writes trace files.
//
// A recorder takes empty blocks with Get and returns full ones with Put; neither
// waits. One goroutine, Run, takes the full blocks from a bounded queue and writes
// them. It begins another file by size and age, and removes old files to keep
// within a total size. When the disk fails it stops for good: capture ends, the
// router's service does not.
package file

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/trace/format"
)

// Extension is the extension of trace files.
const Extension = ".fptrace"

// Storage is what files are written on. Tests have one that fails.
type Storage interface {
	// Create creates a file that must not exist yet.
	Create(path string) (File, error)
	Remove(path string) error
}

// File is an open file of a Storage.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the Storage of the operating system.
type Disk struct{}

// Create implements Storage. Only the process's user may read the file.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}

// Remove implements Storage.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Config is the configuration of a Writer. None of its fields has a default.
type Config struct {
	Dir           string
	Name          string        // of the router, for file names
	MaxFileBytes  int64         // in bytes, after which another file begins
	MaxFileAge    time.Duration // after which another file begins
	MaxTotalBytes int64         // of all files that this process wrote, in bytes
	SyncInterval  time.Duration // between two syncs of the open file
	BlockCount    int           // the number of blocks that there are; it bounds the memory of capture
}

// Writer writes blocks to files. It implements record.Sink.
type Writer struct {
	config  Config
	storage Storage
	header  format.Header
	now     func() time.Time
	log     *zap.Logger
	empty   chan *format.Block
	full    chan *format.Block

	// Owned by Run.
	current     *currentFile // nil before the first block and between files
	closedFiles []closedFile
	path        string // of the newest file, for the log
	fileNumber  int
	buffer      []byte

	// Counters, which any goroutine may read.
	WrittenBytes, WrittenEvents, OpenedFiles atomic.Int64
	// Stopped says that the disk failed: nothing more is written.
	Stopped atomic.Bool
}

// New makes a writer whose files all have the header. Nothing is written before Run.
func New(config Config, storage Storage, header format.Header, now func() time.Time, log *zap.Logger) *Writer {
	w := &Writer{
		config: config, storage: storage, header: header, log: log, now: now,
		empty: make(chan *format.Block, config.BlockCount), full: make(chan *format.Block, config.BlockCount),
	}
	for range config.BlockCount {
		w.empty <- format.NewBlock(header.Schema)
	}
	return w
}

// Get returns an empty block, or nil if there is none or the writer has stopped.
func (w *Writer) Get() *format.Block {
	if w.Stopped.Load() {
		return nil
	}
	select {
	case block := <-w.empty:
		return block
	default:
		return nil
	}
}

// Put queues a full block. It returns false, and does not take the block, if the
// queue is full or the writer has stopped.
func (w *Writer) Put(block *format.Block) bool {
	if w.Stopped.Load() {
		return false
	}
	select {
	case w.full <- block:
		return true
	default:
		return false
	}
}

// Run writes until the context ends, then what is still queued, and closes the
// file. The error is always nil: a failure stops the writer and is logged.
func (w *Writer) Run(ctx context.Context) error {
	syncTimer := time.NewTicker(w.config.SyncInterval)
	defer syncTimer.Stop()
	defer w.finish()
	for {
		select {
		case <-ctx.Done():
			w.writeQueued()
			return nil
		case block := <-w.full:
			w.writeAndRelease(block)
		case <-syncTimer.C:
			w.sync()
		}
	}
}

// writeQueued writes the blocks that are queued and does not wait for more.
func (w *Writer) writeQueued() {
	for {
		select {
		case block := <-w.full:
			w.writeAndRelease(block)
		default:
			return
		}
	}
}

// writeAndRelease writes a block, unless the writer has stopped, and makes it available again.
func (w *Writer) writeAndRelease(block *format.Block) {
	defer func() {
		block.Reset()
		w.empty <- block
	}()
	if w.Stopped.Load() {
		return
	}
	if err := w.writeBlock(block); err != nil {
		w.stop(err)
	}
}

func (w *Writer) sync() {
	if w.current == nil || w.Stopped.Load() {
		return
	}
	if err := w.current.file.Sync(); err != nil {
		w.stop(err)
	}
}

// stop ends capture, never service. What was written up to here can be read.
func (w *Writer) stop(err error) {
	if w.Stopped.Swap(true) {
		return
	}
	w.log.Error("capture has ended; service goes on", zap.String("file", w.path), zap.Error(err))
	if w.current != nil {
		_ = w.current.file.Close() // the error that ended capture is the one to report
		w.current = nil
	}
}

func (w *Writer) finish() {
	if w.current == nil {
		return
	}
	if err := w.closeFile(); err != nil {
		w.stop(err)
	}
}

// LogFields returns the counters for a log line.
func (w *Writer) LogFields() []zap.Field {
	return []zap.Field{
		zap.Int64("trace_events", w.WrittenEvents.Load()),
		zap.Int64("trace_bytes", w.WrittenBytes.Load()),
		zap.Int64("trace_files", w.OpenedFiles.Load()),
		zap.Bool("trace_ended", w.Stopped.Load()),
	}
}
