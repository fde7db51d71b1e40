package storage

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/gravitational/trace"
)

// ErrLocked reports that another process has the folder open. Two members on one folder would each lose the votes and entries
// that the other acknowledged.
var ErrLocked = errors.New("another process uses this folder")

// lockFolder locks a folder until the returned file is closed or the process exits.
func lockFolder(folder string) (*os.File, error) {
	handle, err := os.Open(folder)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	err = syscall.Flock(int(handle.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return handle, nil
	}
	_ = handle.Close() // nothing was written
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("%s: %w", folder, ErrLocked)
	}
	return nil, trace.ConvertSystemError(err)
}
