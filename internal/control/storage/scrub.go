package storage

import (
	"os"

	"github.com/gravitational/trace"
)

// Scrub reads the file from the disk and checks every record. Where one is damaged, the file is replaced by a copy of what is held
// in memory, which is what was written. It reports whether there was damage; after an error it may be called again.
//
// Without it damage would show only at the next start, and the member would then have forgotten what it acknowledged.
func (w *WAL) Scrub() (damaged bool, err error) {
	if err := w.ensureOpen(); err != nil {
		return false, err
	}
	content, err := os.ReadFile(w.path)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	if validPrefix(content) == len(content) {
		return false, nil
	}
	return true, w.rewrite()
}
