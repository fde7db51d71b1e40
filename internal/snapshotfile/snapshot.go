// Package snapshotfile keeps what a process learned on a disk that may lose all that was
// not synced. A snapshot is there whole or as it was before: it is written beside
// its place, synced, renamed over it, and its folder synced. What is read back is
// checked by length, version and xxhash, and is only ever a hint: whoever reads it
// joins it with what it hears.
package snapshotfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

const (
	magic        = "FPSNAP\r\n"
	version      = 1
	headerBytes  = len(magic) + 4 + 4 + 8
	maxBodyBytes = 64 << 20
)

var (
	ErrBroken = errors.New("a snapshot that is not whole")
	ErrNewer  = errors.New("a snapshot of a newer version")
)

// FileSystem is what snapshots are kept on, so that a test can have it fail and forget.
type FileSystem interface {
	Create(path string) (File, error)
	Rename(from, to string) error
	SyncFolder(path string) error
	Open(path string) (io.ReadCloser, error)
}

// File is one that is written.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is the real layer.
type Disk struct{}

func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}
func (Disk) Rename(from, to string) error            { return os.Rename(from, to) }
func (Disk) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

func (Disk) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Write keeps a body at a path.
func Write(on FileSystem, path string, body []byte) error {
	if len(body) > maxBodyBytes {
		return fmt.Errorf("%s: a snapshot of %d bytes, over %d", path, len(body), maxBodyBytes)
	}
	b := append(make([]byte, 0, headerBytes+len(body)), magic...)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(body))
	b = append(b, body...)
	beside := path + ".new"
	f, err := on.Create(beside)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if bad := f.Close(); err == nil {
		err = bad
	}
	if err == nil {
		err = on.Rename(beside, path)
	}
	if err == nil {
		err = on.SyncFolder(filepath.Dir(path))
	}
	return err
}

// Read gives what was kept; fs.ErrNotExist where nothing was.
func Read(on FileSystem, path string) ([]byte, error) {
	f, err := on.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all bytes.Buffer
	if _, err := io.Copy(&all, io.LimitReader(f, maxBodyBytes+int64(headerBytes)+1)); err != nil {
		return nil, err
	}
	b := all.Bytes()
	if len(b) < headerBytes || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%s: %w", path, ErrBroken)
	}
	head, body := b[len(magic):], b[headerBytes:]
	if v := binary.LittleEndian.Uint32(head); v > version {
		return nil, fmt.Errorf("%s: %w: version %d; this program reads up to %d", path, ErrNewer, v, version)
	}
	if uint64(binary.LittleEndian.Uint32(head[4:])) != uint64(len(body)) || binary.LittleEndian.Uint64(head[8:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%s: %w", path, ErrBroken)
	}
	return body, nil
}

// None says that nothing was kept.
func None(err error) bool { return errors.Is(err, fs.ErrNotExist) }
