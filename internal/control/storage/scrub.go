package storage

import (
	"os"

	"github.com/gravitational/trace"
)

// Scrub reads the file from disk and verifies every record. If one is damaged, it rewrites the file from the database's copy in
// memory, which holds everything that was written. It reports whether there was damage. After an error it may be called again.
//
// Without Scrub, damage would go unnoticed until the next start, when the member would have lost state that it acknowledged.
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
