// Package snapshotfile replaces files atomically, even across a power loss: it writes the new content to a temporary file, syncs
// it, renames it over the target and syncs the folder.
//
//	Write(body) -> path.new -> sync -> rename to path -> sync of the folder    Read -> body
//
// Read verifies the length, the version and a checksum. The content may be out of date, so callers treat it as a hint and merge it
// with what they learn from other nodes.
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

// The header consists of the magic bytes, the version and the body's length (32 bits each) and the body's checksum (64 bits). The
// numbers are little-endian.
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

// TemporarySuffix is appended to the target path to name the temporary file.
const TemporarySuffix = ".new"

// Errors of Read. Retrying does not help.
var (
	// ErrCorrupt reports that a file is incomplete, damaged, or was not written by this package.
	ErrCorrupt = errors.New("corrupt snapshot file")
	// ErrNewerVersion reports that a newer release wrote the file in a format that this release does not support.
	ErrNewerVersion = errors.New("snapshot file of a newer version")
)

// FileSystem is the file system that snapshots are written to and read from. Tests implement it to inject failures and data loss.
type FileSystem interface {
	// Create creates an empty file, or truncates an existing one.
	Create(path string) (File, error)
	Rename(from, to string) error
	// SyncFolder syncs the directory entries of a folder to disk.
	SyncFolder(path string) error
	Open(path string) (io.ReadCloser, error)
}

// File is a file opened for writing.
type File interface {
	io.WriteCloser
	// Sync flushes all written data to disk.
	Sync() error
}

// Disk implements FileSystem on the operating system's file system.
type Disk struct{}

// Create creates or truncates a file that only its owner can read and write.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermissions)
}

// Rename renames a file, replacing an existing file at the target.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Open opens a file for reading.
func (Disk) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

// SyncFolder syncs the directory entries of a folder to disk.
func (Disk) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Write stores a body of at most 64 MiB at a path. After an error the file holds either the previous body or the new one, and Write
// may be called again.
func Write(files FileSystem, path string, body []byte) error {
	if len(body) > maxBodyBytes {
		return fmt.Errorf("%s: snapshot of %d bytes exceeds the limit of %d bytes", path, len(body), maxBodyBytes)
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

// writeSynced writes a file and syncs it to disk.
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

// encode prepends the header to a body.
func encode(body []byte) []byte {
	content := append(make([]byte, 0, headerBytes+len(body)), magic...)
	content = binary.LittleEndian.AppendUint32(content, version)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(body)))
	content = binary.LittleEndian.AppendUint64(content, xxhash.Sum64(body))
	return append(content, body...)
}

// Read returns the body stored at a path. Errors are fs.ErrNotExist if there is none, ErrCorrupt, ErrNewerVersion, and those of the
// file system.
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

// decode verifies the header and returns the body.
func decode(content []byte) ([]byte, error) {
	if len(content) < headerBytes || string(content[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	header, body := content[len(magic):headerBytes], content[headerBytes:]
	storedVersion := binary.LittleEndian.Uint32(header)
	length := binary.LittleEndian.Uint32(header[versionBytes:])
	checksum := binary.LittleEndian.Uint64(header[versionBytes+lengthBytes:])
	if storedVersion > version {
		return nil, fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, storedVersion, version)
	}
	if storedVersion == 0 || uint64(length) != uint64(len(body)) || checksum != xxhash.Sum64(body) {
		return nil, ErrCorrupt
	}
	return body, nil
}

// IsNotExist reports whether an error of Read means that the file does not exist.
func IsNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
