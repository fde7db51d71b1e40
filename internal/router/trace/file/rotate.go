package file

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"ferrypitch/internal/router/trace/format"
)

// maxIdleBufferBytes is the largest buffer that is kept for reuse between blocks.
const maxIdleBufferBytes = 1 << 20

// currentFile is the open file.
type currentFile struct {
	file     File
	size     int64 // in bytes
	openedAt time.Time
	index    []format.BlockInfo
}

// closedFile is a file that this process has closed.
type closedFile struct {
	path string
	size int64 // in bytes
}

// writeBlock writes a block, after rotating or opening the file if necessary.
func (w *Writer) writeBlock(block *format.Block) error {
	if w.current != nil && mustRotate(w.current.size, w.now().Sub(w.current.openedAt), w.config) {
		if err := w.closeFile(); err != nil {
			return err
		}
	}
	if w.current == nil {
		if err := w.openFile(); err != nil {
			return err
		}
	}
	buffer, info, err := block.Append(w.buffer[:0], w.current.size)
	if err != nil {
		return err
	}
	w.buffer = buffer
	if cap(buffer) > maxIdleBufferBytes {
		w.buffer = nil
	}
	if err := w.writeBytes(buffer); err != nil {
		return err
	}
	w.current.index = append(w.current.index, info)
	w.WrittenEvents.Add(int64(info.Count))
	return nil
}

func (w *Writer) writeBytes(data []byte) error {
	n, err := w.current.file.Write(data)
	w.current.size += int64(n)
	w.WrittenBytes.Add(int64(n))
	return err
}

// mustRotate reports whether a file of the given size in bytes and age must be closed before the next block.
func mustRotate(size int64, age time.Duration, config Config) bool {
	return size >= config.MaxFileBytes || age >= config.MaxFileAge
}

// countToRemove returns how many of the oldest files must be removed so that the total
// size stays within maxTotalBytes when another file grows to maxFileBytes.
func countToRemove(files []closedFile, maxFileBytes, maxTotalBytes int64) int {
	total := maxFileBytes
	for _, file := range files {
		total += file.size
	}
	count := 0
	for count < len(files) && total > maxTotalBytes {
		total -= files[count].size
		count++
	}
	return count
}

// openFile removes old files, creates the next one and writes its header.
func (w *Writer) openFile() error {
	if err := w.removeOldFiles(); err != nil {
		return err
	}
	w.fileNumber++
	name := fmt.Sprintf("%s-%016x-%04d%s", sanitize(w.config.Name), w.header.Incarnation, w.fileNumber, Extension)
	w.path = filepath.Join(w.config.Dir, name)
	file, err := w.storage.Create(w.path)
	if err != nil {
		return err
	}
	w.current = &currentFile{file: file, openedAt: w.now()}
	w.OpenedFiles.Add(1)
	header, err := format.AppendHeader(nil, w.header)
	if err != nil {
		return err
	}
	return w.writeBytes(header)
}

// removeOldFiles removes the oldest files of this process to make room for another. Files that no longer exist are ignored.
func (w *Writer) removeOldFiles() error {
	count := countToRemove(w.closedFiles, w.config.MaxFileBytes, w.config.MaxTotalBytes)
	for _, old := range w.closedFiles[:count] {
		if err := w.storage.Remove(old.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	w.closedFiles = slices.Delete(w.closedFiles, 0, count)
	return nil
}

// sanitize replaces all characters of a name except letters, digits and underscores, so that it is safe in a file name.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

// closeFile writes the index, syncs the file and closes it. It closes the file even after an error, and returns the first error.
func (w *Writer) closeFile() error {
	trailer, err := format.AppendIndex(nil, w.current.index, w.current.size)
	if err == nil {
		err = w.writeBytes(trailer)
	}
	if err == nil {
		err = w.current.file.Sync()
	}
	if closeErr := w.current.file.Close(); err == nil {
		err = closeErr
	}
	w.closedFiles = append(w.closedFiles, closedFile{w.path, w.current.size})
	w.current = nil
	return err
}
