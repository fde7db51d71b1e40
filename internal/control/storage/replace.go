package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"ferrypitch/internal/snapshotfile"
)

// Replace moves a member's file from the folder from into folder. A file already there is kept in the same folder with the suffix
// for superseded files. The error is ErrLocked while a member runs on the folder.
func Replace(folder, from string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }() // nothing was written through this handle
	path := filepath.Join(folder, fileName)
	for _, name := range []string{fileName, legacyFileName} {
		err := os.Rename(filepath.Join(folder, name), path+supersededSuffix)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return trace.ConvertSystemError(err)
		}
	}
	if err := os.Rename(filepath.Join(from, fileName), path); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(snapshotfile.Disk{}.SyncFolder(folder))
}
