package storage

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/tidwall/buntdb"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage/diskformat"
)

// load reads the stored state. It deletes the entries that are not part of the log: those covered by the snapshot, and those
// that follow a gap or a decreasing term, which a torn commit leaves.
func (w *WAL) load() (Identity, consensus.RestoredState, error) {
	identity, restored, err := w.loadRecords()
	if err == nil {
		restored.Entries, err = w.loadEntries(restored.Snapshot)
	}
	if err == nil {
		w.lastIndex = restored.Snapshot.Index + uint64(len(restored.Entries))
		err = w.deleteEntries(func(index uint64) bool { return index > w.lastIndex || index <= restored.Snapshot.Index })
	}
	return identity, restored, err
}

// loadRecords reads everything except the entries. Values that were never stored are zero.
func (w *WAL) loadRecords() (Identity, consensus.RestoredState, error) {
	var identity diskformat.Identity
	var hardState diskformat.Meta
	var snapshot diskformat.Snapshot
	err := w.db.View(func(tx *buntdb.Tx) error {
		for _, wanted := range []record{{keyIdentity, &identity}, {keyHardState, &hardState}, {keySnapshot, &snapshot}} {
			if _, err := getRecord(tx, wanted.key, wanted.value); err != nil {
				return err
			}
		}
		return nil
	})
	id, founders := identity.Value()
	restored := consensus.RestoredState{HardState: hardState.Value(), Snapshot: snapshot.Value()}
	return Identity{ID: id, Founders: founders}, restored, err
}

// loadEntries reads the entries after a snapshot and stops at the first that is missing or has a lower term than the one before
// it.
func (w *WAL) loadEntries(snapshot consensus.Snapshot) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	index, term := snapshot.Index+1, snapshot.Term
	for {
		var stored diskformat.Entry
		found := false
		err := w.db.View(func(tx *buntdb.Tx) (err error) {
			found, err = getRecord(tx, entryKey(index), &stored)
			return err
		})
		if err != nil || !found || stored.View < term {
			return entries, err
		}
		entries = append(entries, stored.Value())
		index, term = index+1, stored.View
	}
}

// getRecord reads a record into value, a pointer to a type of package diskformat. It reports whether the record exists.
func getRecord(tx *buntdb.Tx, key string, value any) (found bool, err error) {
	encoded, err := tx.Get(key, true)
	if errors.Is(err, buntdb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	body, err := decodeChecksummed(encoded)
	if err != nil {
		return false, fmt.Errorf("record %s: %w", key, err)
	}
	return true, gob.NewDecoder(bytes.NewReader(body)).Decode(value)
}

// ReadFolder returns what Open would return for the folder of a stopped member, without writing to the folder: it opens a copy.
// The identity is zero if the file is unreadable. Errors are those of Open, and fs.ErrNotExist, converted by package trace, if
// there is no file.
func ReadFolder(folder string) (identity Identity, restored consensus.RestoredState, err error) {
	plan, err := planMigration(folder)
	if err != nil {
		return identity, restored, err
	}
	name := fileName
	if plan == renameLegacy || plan == supersedeCurrent {
		name = legacyFileName
	}
	content, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return identity, restored, trace.ConvertSystemError(err)
	}
	copied, err := os.MkdirTemp("", "ferrypitch-consensus")
	if err != nil {
		return identity, restored, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(copied)
	if err := os.WriteFile(filepath.Join(copied, fileName), content, 0o600); err != nil {
		return identity, restored, trace.ConvertSystemError(err)
	}
	wal, identity, restored, err := Open(copied, func() Identity { return Identity{} })
	if err != nil {
		return identity, restored, err
	}
	return identity, restored, trace.Wrap(wal.Close())
}
