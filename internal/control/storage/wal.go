// Package storage persists a member's consensus state: its identity, its term and vote, its newest snapshot and the log
// entries after the snapshot.
//
//	Open -> Identity, RestoredState    Save(writes) -> on disk    Compact -> a smaller file
//
// All state is in one file, the append-only file of a buntdb database. Each record is a buntdb command whose value carries a
// checksum. A commit writes a group of records and syncs the file; when Save returns without an error, its writes are on disk.
// An interrupted commit leaves a torn tail, which Open truncates. An unreadable file is renamed to *.broken, and the member
// starts as one without a disk: it acknowledges nothing before it has received the log from the other members.
//
// The files of this package: wal.go writes, load.go reads the stored state, recovery.go finds the torn tail, scrub.go detects
// damage, record.go encodes records, lock.go excludes a second process, and filename.go migrates a file with the name that older
// releases used.
package storage

import (
	"bytes"
	"encoding/gob"
	"errors"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/tidwall/buntdb"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage/diskformat"
	"ferrypitch/internal/snapshotfile"
)

// compactionRatio is the growth factor since the last compaction at which a file is compacted again.
const compactionRatio = 3

// WAL is a member's open file. It is not safe for concurrent use.
type WAL struct {
	db             *buntdb.DB
	file           syncedFile
	lock           *os.File // holds the lock of the folder
	path           string
	needsReopen    bool   // the open file is no longer the one at path
	lastIndex      uint64 // index of the newest stored entry, or of the snapshot
	compactedBytes int64  // size of the file after the last compaction
}

// syncedFile is a second handle of buntdb's file. It is used to sync, because buntdb ignores sync errors.
type syncedFile interface {
	Sync() error
	Close() error
}

// Identity identifies a member. It is written once, before anything else, and does not change for the lifetime of the disk.
type Identity struct {
	ID       consensus.ID
	Founders []consensus.ID // the founding members, if this member is one of them; otherwise empty
}

// Open opens the file in a folder and creates both if they are missing. It returns the stored identity and state. If there is no
// file, or it is unreadable, Open stores the identity that newIdentity returns, and the state is zero.
//
// Errors are ErrLocked if another process has the folder open, a *ConflictingFilesError if either of two files could be the
// member's, and otherwise those of the operating system, converted by package trace. After an error nothing is open, and Open may
// be called again.
func Open(folder string, newIdentity func() Identity) (*WAL, Identity, consensus.RestoredState, error) {
	none := consensus.RestoredState{}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, Identity{}, none, trace.ConvertSystemError(err)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Identity{}, none, err
	}
	wal := &WAL{path: filepath.Join(folder, fileName), lock: lock}
	identity, restored, err := wal.open(folder, newIdentity)
	if err != nil {
		return nil, Identity{}, none, errors.Join(err, wal.Close())
	}
	return wal, identity, restored, nil
}

// open implements Open in a locked folder.
func (w *WAL) open(folder string, newIdentity func() Identity) (Identity, consensus.RestoredState, error) {
	none := consensus.RestoredState{}
	if err := migrateLegacyFile(snapshotfile.Disk{}, folder); err != nil {
		return Identity{}, none, err
	}
	_ = os.Remove(w.path + temporarySuffix) // left by an interrupted compaction; the next one truncates it anyway
	hadContent, err := truncateTornTail(w.path)
	if err != nil {
		return Identity{}, none, err
	}
	identity, restored, err := w.openExisting()
	if err == nil && identity.ID != "" {
		return identity, restored, nil
	}
	_ = w.closeFiles() // they hold no identity
	if hadContent || err != nil {
		if err := renameBroken(w.path); err != nil {
			return Identity{}, none, err
		}
	}
	identity = newIdentity()
	return identity, none, w.create(identity)
}

// renameBroken renames an unreadable file, if it exists, to keep it for inspection.
func renameBroken(path string) error {
	err := os.Rename(path, path+brokenSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return trace.ConvertSystemError(err)
}

func (w *WAL) openExisting() (Identity, consensus.RestoredState, error) {
	if err := w.openFiles(); err != nil {
		return Identity{}, consensus.RestoredState{}, err
	}
	return w.load()
}

// create creates the file of a member that has none and stores its identity.
func (w *WAL) create(identity Identity) error {
	if err := w.openFiles(); err != nil {
		return err
	}
	err := w.commit(func(tx *buntdb.Tx) error {
		return putRecord(tx, keyIdentity, diskformat.FromIdentity(identity.ID, identity.Founders))
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(snapshotfile.Disk{}.SyncFolder(filepath.Dir(w.path)))
}

func (w *WAL) openFiles() error {
	db, err := buntdb.Open(w.path)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		return errors.Join(err, db.Close())
	}
	file, err := os.OpenFile(w.path, os.O_RDWR, 0o600)
	if err != nil {
		return errors.Join(trace.ConvertSystemError(err), db.Close())
	}
	w.db, w.file = db, file
	return nil
}

// Close closes the file and unlocks the folder. Writes for which Save succeeded are on disk even if Close fails.
func (w *WAL) Close() error {
	err := w.closeFiles()
	if w.lock != nil {
		err = errors.Join(err, w.lock.Close())
		w.lock = nil
	}
	return trace.Wrap(err)
}

func (w *WAL) closeFiles() error {
	if w.db == nil {
		return nil
	}
	err := errors.Join(w.db.Close(), w.file.Close())
	w.db, w.file = nil, nil
	return err
}

// ensureOpen reopens the file if an earlier failure made the open one unusable.
func (w *WAL) ensureOpen() error {
	if w.db != nil && !w.needsReopen {
		return nil
	}
	return w.reopen()
}

// reopen opens the file again, after truncating the torn tail that a failed write may have left.
func (w *WAL) reopen() error {
	_ = w.closeFiles() // the failed write was already reported and not acknowledged
	if _, err := truncateTornTail(w.path); err != nil {
		return err
	}
	if err := w.openFiles(); err != nil {
		return err
	}
	w.needsReopen = false
	_, _, err := w.load()
	return err
}

// commit applies one change and returns once it is on disk. A failed change may be retried.
func (w *WAL) commit(change func(*buntdb.Tx) error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			w.abandon()
			err = trace.Errorf("%v", cause)
		}
	}()
	if err := w.db.Update(change); err != nil {
		return err
	}
	if w.file.Sync() == nil {
		return nil
	}
	// Data covered by a failed sync may never reach the disk, even if the next sync succeeds.
	return w.rewrite()
}

// abandon discards the database after buntdb panicked, which it does if it cannot truncate a failed write. The panic leaves the
// database's lock held, so the database cannot be closed: its file handle and a goroutine leak.
func (w *WAL) abandon() {
	_ = w.file.Close() // nothing is written through this handle
	w.db, w.file = nil, nil
}

// batch collects the records of the next commit.
type batch struct{ records []record }

type record struct {
	key   string
	value any // a type of package diskformat
}

func (b *batch) add(key string, value any) { b.records = append(b.records, record{key, value}) }

// Save stores writes in the order given and returns once all of them are synced. After an error none, some or all of the writes
// are on disk; Save may be retried with the same writes.
//
// A torn commit may leave any subset of its records on disk. Deleting entries is therefore a separate commit: if that is torn, it
// leaves a gap, and load ignores the entries after a gap.
func (w *WAL) Save(writes []consensus.Write) error {
	if err := w.ensureOpen(); err != nil {
		return trace.Wrap(err)
	}
	pending := &batch{}
	for _, write := range writes {
		if err := w.addWrite(pending, write); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(w.flush(pending))
}

// addWrite adds a write to the batch. If the write deletes entries, it commits the batch first.
func (w *WAL) addWrite(pending *batch, write consensus.Write) error {
	if write.HardState != nil {
		pending.add(keyHardState, diskformat.FromMeta(*write.HardState))
	}
	if write.Snapshot != nil {
		if err := w.saveSnapshot(pending, *write.Snapshot, write.CompactThrough); err != nil {
			return err
		}
	}
	if write.FirstIndex == 0 {
		return nil
	}
	return w.addEntries(pending, write.FirstIndex, write.Entries)
}

func (w *WAL) saveSnapshot(pending *batch, snapshot consensus.Snapshot, compactThrough uint64) error {
	pending.add(keySnapshot, diskformat.FromSnapshot(snapshot))
	if err := w.flush(pending); err != nil {
		return err
	}
	if err := w.deleteEntries(func(index uint64) bool { return index <= compactThrough }); err != nil {
		return err
	}
	w.lastIndex = max(w.lastIndex, snapshot.Index)
	return nil
}

// addEntries replaces all entries from firstIndex on.
func (w *WAL) addEntries(pending *batch, firstIndex uint64, entries []consensus.Entry) error {
	if firstIndex <= w.lastIndex {
		if err := w.flush(pending); err != nil {
			return err
		}
		if err := w.deleteEntries(func(index uint64) bool { return index >= firstIndex }); err != nil {
			return err
		}
	}
	for offset, entry := range entries {
		pending.add(entryKey(firstIndex+uint64(offset)), diskformat.FromEntry(entry))
	}
	w.lastIndex = firstIndex + uint64(len(entries)) - 1
	return nil
}

// flush commits the batch and empties it.
func (w *WAL) flush(pending *batch) error {
	records := pending.records
	pending.records = nil
	if len(records) == 0 {
		return nil
	}
	return w.commit(func(tx *buntdb.Tx) error {
		for _, record := range records {
			if err := putRecord(tx, record.key, record.value); err != nil {
				return err
			}
		}
		return nil
	})
}

// deleteEntries deletes the entries whose index is selected, in one commit.
func (w *WAL) deleteEntries(selected func(index uint64) bool) error {
	var keys []string
	err := w.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendGreaterOrEqual("", entryKeyPrefix, func(key, _ string) bool {
			if index, isEntry := entryIndex(key); isEntry && selected(index) {
				keys = append(keys, key)
			}
			return true
		})
	})
	if err != nil || len(keys) == 0 {
		return err
	}
	return w.commit(func(tx *buntdb.Tx) error {
		for _, key := range keys {
			if _, err := tx.Delete(key); err != nil {
				return err
			}
		}
		return nil
	})
}

// Compact rewrites the file if it has at least minBytes bytes and has grown to compactionRatio times its size after the last
// compaction. It writes a copy of the live records, syncs it, renames it over the file and syncs the folder, so that a complete
// file exists at the path at all times. After an error the stored state is unchanged, and Compact may be called again.
func (w *WAL) Compact(minBytes int64) error {
	if err := w.ensureOpen(); err != nil {
		return err
	}
	info, err := os.Stat(w.path)
	if err != nil || info.Size() < minBytes || info.Size() < compactionRatio*w.compactedBytes {
		return trace.ConvertSystemError(err)
	}
	return w.rewrite()
}

// rewrite replaces the file with a copy of the live records.
func (w *WAL) rewrite() error {
	temporary := w.path + temporarySuffix
	err := w.writeCopy(temporary)
	if err == nil {
		err = os.Rename(temporary, w.path)
	}
	if err != nil {
		_ = os.Remove(temporary) // the next rewrite truncates it anyway
		return trace.Wrap(err)
	}
	if err := (snapshotfile.Disk{}).SyncFolder(filepath.Dir(w.path)); err != nil {
		w.needsReopen = true // the open file is no longer the one at w.path
		return trace.ConvertSystemError(err)
	}
	_ = w.closeFiles() // the replaced file
	if err := w.openFiles(); err != nil {
		return err
	}
	info, err := os.Stat(w.path)
	if err == nil {
		w.compactedBytes = info.Size()
	}
	return trace.ConvertSystemError(err)
}

// writeCopy writes the live records to a new file and syncs it.
func (w *WAL) writeCopy(path string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	err = w.db.Save(file)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// putRecord encodes a value and sets its record in a transaction.
func putRecord(tx *buntdb.Tx, key string, value any) error {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(value); err != nil {
		return err
	}
	_, _, err := tx.Set(key, encodeChecksummed(body.Bytes()), nil)
	return err
}
