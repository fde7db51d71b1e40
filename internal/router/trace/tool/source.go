package tool

import (
	"errors"
	"fmt"
	"io"
	"os"

	"ferrypitch/internal/router/trace/format"
)

// Window is a time range that includes both ends. A Last of 0 means that it has no end.
type Window struct{ First, Last int64 }

func (w Window) contains(at int64) bool { return at >= w.First && (w.Last == 0 || at <= w.Last) }

func (w Window) overlaps(block format.BlockInfo) bool {
	return block.Last >= w.First && (w.Last == 0 || block.First <= w.Last)
}

// Source reads a trace from a file or a pipe.
type Source struct {
	Header format.Header
	Index  []format.BlockInfo // nil if the trace has no index and is read sequentially

	// Results of Each.
	CorruptBlocks []format.CorruptBlockError // blocks that could not be read
	Truncated     error                      // error at which reading ended early; nil if the trace is not truncated
	LostEvents    uint64                     // number of events lost in recording
	ReadBlocks    int                        // number of blocks read

	path   string
	reader *format.Reader
	file   *os.File // nil for standard input
	size   int64    // in bytes; 0 for standard input
}

// Open opens a file; "-" is standard input.
func Open(path string) (*Source, error) {
	if path == "-" {
		reader, err := format.NewReader(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("standard input: %w", err)
		}
		return &Source{Header: reader.Header, path: path, reader: reader}, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	source, err := newFileSource(path, file)
	if err != nil {
		_ = file.Close() // opened for reading only
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return source, nil
}

func newFileSource(path string, file *os.File) (*Source, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	reader, err := format.NewReader(file)
	if err != nil {
		return nil, err
	}
	source := &Source{Header: reader.Header, path: path, reader: reader, file: file, size: info.Size()}
	if !info.Mode().IsRegular() {
		return source, nil
	}
	source.Index, err = format.ReadIndex(file, info.Size())
	if err != nil && !errors.Is(err, format.ErrTruncated) && !errors.Is(err, format.ErrCorrupt) {
		return nil, err
	}
	return source, nil
}

// Close closes the file.
func (s *Source) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// Each passes the events within a window to handle in the order of the file, and returns the
// first error of handle. With an index, only blocks that overlap the window are read. Corrupt
// blocks are skipped, and a truncated file is read up to its end; neither is an error, and
// the Source's fields report both. progress, which may be nil, is called after each block.
func (s *Source) Each(window Window, progress func(done, total int64), handle func(event format.Event) error) error {
	if progress == nil {
		progress = func(int64, int64) {}
	}
	if s.Index != nil {
		return s.eachIndexed(window, progress, handle)
	}
	return s.eachSequential(window, progress, handle)
}

func (s *Source) eachIndexed(window Window, progress func(done, total int64), handle func(event format.Event) error) error {
	for i, block := range s.Index {
		s.LostEvents += block.Lost
		if !window.overlaps(block) {
			continue
		}
		events, err := format.ReadBlock(s.file, s.Header.Schema, block)
		if err := s.handleBlock(events, err, window, handle); err != nil {
			return err
		}
		progress(int64(i+1), int64(len(s.Index)))
	}
	return nil
}

func (s *Source) eachSequential(window Window, progress func(done, total int64), handle func(event format.Event) error) error {
	for {
		block, events, err := s.reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, format.ErrTruncated) {
			s.Truncated = err
			return nil
		}
		s.LostEvents += block.Lost
		if err := s.handleBlock(events, err, window, handle); err != nil {
			return err
		}
		progress(s.reader.Offset(), s.size)
	}
}

// handleBlock passes the events of a block to handle, or adds the block to CorruptBlocks.
func (s *Source) handleBlock(events []format.Event, readErr error, window Window, handle func(format.Event) error) error {
	var corrupt *format.CorruptBlockError
	if errors.As(readErr, &corrupt) {
		s.CorruptBlocks = append(s.CorruptBlocks, *corrupt)
		return nil
	}
	if readErr != nil {
		return readErr
	}
	s.ReadBlocks++
	for _, event := range events {
		if !window.contains(event.At) {
			continue
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	return nil
}

// Feed returns the events of the next block of a trace, and nil at the end.
type Feed func() ([]format.Event, error)

// Feed returns a Feed of the file, which must have an index. The file is opened for each
// block, so that many files can be merged with few file descriptors.
func (s *Source) Feed() (Feed, error) {
	if s.Index == nil {
		return nil, fmt.Errorf("%s has no index; repair it first", s.path)
	}
	remaining := s.Index
	return func() ([]format.Event, error) {
		for len(remaining) > 0 {
			block := remaining[0]
			remaining = remaining[1:]
			events, err := s.reopenBlock(block)
			if err != nil || len(events) > 0 {
				return events, err
			}
		}
		return nil, nil
	}, nil
}

// reopenBlock opens the file, reads a block and closes the file.
func (s *Source) reopenBlock(block format.BlockInfo) ([]format.Event, error) {
	file, err := os.Open(s.path)
	if err != nil {
		return nil, err
	}
	events, err := format.ReadBlock(file, s.Header.Schema, block)
	_ = file.Close() // opened for reading only
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	return events, nil
}
