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

// load reads all that is held. It removes entries that do not count: those that the snapshot covers, and those behind a gap
// or behind a term that falls, which a torn commit left.
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

// loadRecords reads everything but the entries. What was never stored is zero.
func (w *WAL) loadRecords() (Identity, consensus.RestoredState, error) {
	var identity diskformat.Identity
	var hardState diskformat.Meta
	var snapshot diskformat.Snapshot
	err := w.db.View(func(tx *buntdb.Tx) error {
		for _, wanted := range []record{{keyIdentity, &identity}, {keyHardState, &hardState}, {keySnapshot, &snapshot}} {
			if _, err := get(tx, wanted.key, wanted.value); err != nil {
				return err
			}
		}
		return nil
	})
	id, founders := identity.Value()
	restored := consensus.RestoredState{HardState: hardState.Value(), Snapshot: snapshot.Value()}
	return Identity{ID: id, Founders: founders}, restored, err
}

// loadEntries reads the entries behind a snapshot, up to the first that is missing or whose term is below the one before.
func (w *WAL) loadEntries(snapshot consensus.Snapshot) ([]consensus.Entry, error) {
	var entries []consensus.Entry
	index, term := snapshot.Index+1, snapshot.Term
	for {
		var stored diskformat.Entry
		found := false
		err := w.db.View(func(tx *buntdb.Tx) (err error) {
			found, err = get(tx, entryKey(index), &stored)
			return err
		})
		if err != nil || !found || stored.View < term {
			return entries, err
		}
		entries = append(entries, stored.Value())
		index, term = index+1, stored.View
	}
}

// get reads a record into value, which points to a type of package diskformat. It reports whether there is one.
func get(tx *buntdb.Tx, key string, value any) (found bool, err error) {
	sealed, err := tx.Get(key, true)
	if errors.Is(err, buntdb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	body, err := decodeSealed(sealed)
	if err != nil {
		return false, fmt.Errorf("record %s: %w", key, err)
	}
	return true, gob.NewDecoder(bytes.NewReader(body)).Decode(value)
}

// ReadFolder returns what Open would return for the folder of a member that is stopped, and writes nothing there: it opens a
// copy. The identity is zero where there is nothing that can be read. Errors: fs.ErrNotExist as trace converts it where there
// is no file, and those of Open.
func ReadFolder(folder string) (identity Identity, restored consensus.RestoredState, err error) {
	plan, err := planTakeover(folder)
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
