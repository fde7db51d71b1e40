// Package snapshotfile writes a file that is there completely or as it was before, also after a loss of power: the new content
// is written beside the file, synced, renamed over it, and the folder is synced.
//
//	Write(body) -> path.new -> sync -> rename to path -> sync of the folder    Read -> body
//
// Read checks the length, the version and a checksum. What it returns may be old, so a caller treats it as a hint and joins it
// with what it learns from others.
package snapshotfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// The header is the magic bytes, then little-endian the version and the body's length (32 bits each) and checksum (64 bits).
const (
	magic           = "FPSNAP\r\n"
	version         = 1
	versionBytes    = 4
	lengthBytes     = 4
	checksumBytes   = 8
	headerBytes     = len(magic) + versionBytes + lengthBytes + checksumBytes
	maxBodyBytes    = 64 << 20
	filePermissions = 0o600
)

// TemporarySuffix is behind the name of a file while its content is written.
const TemporarySuffix = ".new"

// Errors of Read. Neither goes away by reading again.
var (
	// ErrBroken says that a file is not complete, or not one of this package.
	ErrBroken = errors.New("broken snapshot file")
	// ErrNewer says that a newer release wrote the file, in a form that this one does not know.
	ErrNewer = errors.New("snapshot file of a newer version")
)

// FileSystem is what snapshots are written to and read from, so that a test can make it fail and forget.
type FileSystem interface {
	// Create makes an empty file, also where there is one.
	Create(path string) (File, error)
	Rename(from, to string) error
	// SyncFolder returns once the names in a folder are on disk.
	SyncFolder(path string) error
	Open(path string) (io.ReadCloser, error)
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	// Sync returns once what was written is on disk.
	Sync() error
}

// Disk is the operating system's file system.
type Disk struct{}

// Create makes an empty file that only its owner can read and write.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermissions)
}

// Rename gives a file another name, and replaces the file that has it.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Open opens a file for reading.
func (Disk) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

// SyncFolder returns once the names in a folder are on disk.
func (Disk) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Write stores a body of at most 64 MiB at a path. After an error the body that was there before is still there, or the new
// one is; Write may be called again.
func Write(files FileSystem, path string, body []byte) error {
	if len(body) > maxBodyBytes {
		return fmt.Errorf("%s: a snapshot of %d bytes is over the limit of %d", path, len(body), maxBodyBytes)
	}
	temporary := path + TemporarySuffix
	if err := writeSynced(files, temporary, encode(body)); err != nil {
		return err
	}
	if err := files.Rename(temporary, path); err != nil {
		return err
	}
	return files.SyncFolder(filepath.Dir(path))
}

// writeSynced makes a file with a content, and returns once that is on disk.
func writeSynced(files FileSystem, path string, content []byte) error {
	file, err := files.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// encode puts the header before a body.
func encode(body []byte) []byte {
	content := append(make([]byte, 0, headerBytes+len(body)), magic...)
	content = binary.LittleEndian.AppendUint32(content, version)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(body)))
	content = binary.LittleEndian.AppendUint64(content, xxhash.Sum64(body))
	return append(content, body...)
}

// Read returns the body that was stored at a path. Errors: fs.ErrNotExist where there is none, ErrBroken, ErrNewer, and those of
// the file system.
func Read(files FileSystem, path string) ([]byte, error) {
	file, err := files.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxBodyBytes+int64(headerBytes)+1))
	if err != nil {
		return nil, err
	}
	body, err := decode(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return body, nil
}

// decode checks the header and returns what is behind it.
func decode(content []byte) ([]byte, error) {
	if len(content) < headerBytes || string(content[:len(magic)]) != magic {
		return nil, ErrBroken
	}
	header, body := content[len(magic):headerBytes], content[headerBytes:]
	storedVersion := binary.LittleEndian.Uint32(header)
	length := binary.LittleEndian.Uint32(header[versionBytes:])
	checksum := binary.LittleEndian.Uint64(header[versionBytes+lengthBytes:])
	if storedVersion > version {
		return nil, fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewer, storedVersion, version)
	}
	if storedVersion == 0 || uint64(length) != uint64(len(body)) || checksum != xxhash.Sum64(body) {
		return nil, ErrBroken
	}
	return body, nil
}

// IsNotExist reports whether an error of Read means that nothing was stored.
func IsNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
