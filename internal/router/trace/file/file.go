// Package file writes trace files.
//
// A recorder takes empty blocks with Get and returns full ones with Put; neither
// blocks. One goroutine, Run, takes the full blocks from a bounded queue and writes
// them. It rotates files by size and age, and removes the oldest ones to stay within a
// total size. After a write error it stops permanently: the trace ends, but the
// router continues to serve.
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

// Storage creates and removes files. Tests replace it to inject errors.
type Storage interface {
	// Create creates a file. It fails if the file exists.
	Create(path string) (File, error)
	Remove(path string) error
}

// File is an open file of a Storage.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the Storage in the file system.
type Disk struct{}

// Create implements Storage. Only the process's user can read the file.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}

// Remove implements Storage.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Config is the configuration of a Writer. All fields are required.
type Config struct {
	Dir           string
	Name          string        // name of the router, for file names
	MaxFileBytes  int64         // size in bytes at which files are rotated
	MaxFileAge    time.Duration // age at which files are rotated
	MaxTotalBytes int64         // limit on the total size of the files of this process, in bytes
	SyncInterval  time.Duration // interval at which the open file is synced
	BlockCount    int           // number of blocks, which bounds the memory of recording
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

	// Used only by Run.
	current     *currentFile // nil if no file is open
	closedFiles []closedFile
	path        string // path of the newest file, for the log
	fileNumber  int
	buffer      []byte

	// Counters, which any goroutine may read: bytes and events written, and files created.
	WrittenBytes, WrittenEvents, OpenedFiles atomic.Int64
	// Stopped is set after a write error; nothing more is written.
	Stopped atomic.Bool
}

// New returns a writer whose files have the given header. Nothing is written before Run.
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

// Put queues a full block. If the queue is full or the writer has stopped, it returns
// false and the caller keeps the block.
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

// Run writes blocks until the context is canceled, then writes the queued blocks and
// closes the file. It always returns nil; an error stops the writer and is logged.
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

// writeQueued writes the queued blocks and does not wait for more.
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

// writeAndRelease writes a block, unless the writer has stopped, and makes the block available to Get again.
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

// stop ends recording after an error. The router continues to serve, and the files written so far remain readable.
func (w *Writer) stop(err error) {
	if w.Stopped.Swap(true) {
		return
	}
	w.log.Error("capture has ended; service goes on", zap.String("file", w.path), zap.Error(err))
	if w.current != nil {
		_ = w.current.file.Close() // err, which is the cause, has been logged
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

// LogFields returns the counters as fields of a log line.
func (w *Writer) LogFields() []zap.Field {
	return []zap.Field{
		zap.Int64("trace_events", w.WrittenEvents.Load()),
		zap.Int64("trace_bytes", w.WrittenBytes.Load()),
		zap.Int64("trace_files", w.OpenedFiles.Load()),
		zap.Bool("trace_ended", w.Stopped.Load()),
	}
}
