// Package storage keeps a member's consensus state on disk: who the member is, its term and vote, its newest snapshot and
// the log entries behind it.
//
//	Open -> Identity, RestoredState    Save(writes) -> on disk    Compact -> a smaller file
//
// Everything is in one file, the append-only file of buntdb. Each of its records is one of buntdb's commands, whose value
// carries a checksum. A commit writes a group of records and syncs the file; what Save returned for is on disk. A commit that
// was cut short leaves a torn end, which Open cuts off. A file of which nothing can be read is renamed to *.broken, and the
// member starts as one without a disk: it acknowledges nothing before it has learned the log from the others.
//
// The files of this package: wal.go writes, load.go reads what is there, recovery.go finds the torn end, scrub.go looks for damage,
// record.go encodes a record, lock.go keeps a second process out, filename.go takes over a file that has the name that older
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

// compactionRatio is the multiple of its size after the last compaction that a file reaches before it is compacted again.
const compactionRatio = 3

// WAL is an open file. Its methods must be called from one goroutine at a time.
type WAL struct {
	db             *buntdb.DB
	file           syncedFile
	lock           *os.File // of the folder
	path           string
	needsReopen    bool   // the open file has lost its name
	lastIndex      uint64 // of the newest entry that is held, or of the snapshot
	compactedBytes int64  // size of the file after the last compaction
}

// syncedFile is a second handle of buntdb's file. It makes syncs that fail visible, which buntdb ignores.
type syncedFile interface {
	Sync() error
	Close() error
}

// Identity is who a member is. It is written once, before anything else, and stays for as long as the disk lives.
type Identity struct {
	ID       consensus.ID
	Founders []consensus.ID // the first members, on the disk of one of them; otherwise empty
}

// Open opens the file in a folder, and makes both where they are missing. It returns the identity and the state that were
// stored last. Where there is no file, or none that can be read, it stores the identity that fresh returns, and the state is
// zero.
//
// Errors: ErrLocked where another process has the folder open; a *ConflictingFilesError where two files could be the member's;
// otherwise those of the operating system, converted by package trace. After an error nothing is open, and Open may be called again.
func Open(folder string, fresh func() Identity) (*WAL, Identity, consensus.RestoredState, error) {
	none := consensus.RestoredState{}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, Identity{}, none, trace.ConvertSystemError(err)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Identity{}, none, err
	}
	wal := &WAL{path: filepath.Join(folder, fileName), lock: lock}
	identity, restored, err := wal.open(folder, fresh)
	if err != nil {
		return nil, Identity{}, none, errors.Join(err, wal.Close())
	}
	return wal, identity, restored, nil
}

// open is Open in a folder that is locked.
func (w *WAL) open(folder string, fresh func() Identity) (Identity, consensus.RestoredState, error) {
	none := consensus.RestoredState{}
	if err := takeOverLegacyFile(snapshotfile.Disk{}, folder); err != nil {
		return Identity{}, none, err
	}
	_ = os.Remove(w.path + temporarySuffix) // of a compaction that was cut short; the next one truncates it anyway
	hadContent, err := truncateTornTail(w.path)
	if err != nil {
		return Identity{}, none, err
	}
	identity, restored, err := w.openExisting()
	if err == nil && identity.ID != "" {
		return identity, restored, nil
	}
	_ = w.closeFiles() // they hold nothing that counts
	if hadContent || err != nil {
		if err := putAside(w.path); err != nil {
			return Identity{}, none, err
		}
	}
	identity = fresh()
	return identity, none, w.create(identity)
}

// putAside renames a file of which nothing can be read, if it is there, so that it can be looked at.
func putAside(path string) error {
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

// create makes the file of a member that has none.
func (w *WAL) create(identity Identity) error {
	if err := w.openFiles(); err != nil {
		return err
	}
	err := w.commit(func(tx *buntdb.Tx) error {
		return put(tx, keyIdentity, diskformat.FromIdentity(identity.ID, identity.Founders))
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

// Close closes the file and unlocks the folder. What Save returned for is on disk whether Close fails or not.
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

// ensureOpen reopens the file if a write failed before in a way that can't be taken back.
func (w *WAL) ensureOpen() error {
	if w.db != nil && !w.needsReopen {
		return nil
	}
	return w.reopen()
}

// reopen reads the file anew, without the torn end that a failed write left.
func (w *WAL) reopen() error {
	_ = w.closeFiles() // the failed write was reported already, and was not acknowledged
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

// commit makes one change and returns once it is on disk. A change that fails may be made again.
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
	// What a failed sync covered may never reach the disk, even if the next sync succeeds.
	return w.rewrite()
}

// abandon drops the open file after buntdb panicked, which it does where it can't cut off a write that failed. It does so with
// its lock taken, so it can't even be closed: its handle of the file and a goroutine are lost.
func (w *WAL) abandon() {
	_ = w.file.Close() // nothing is written by this handle
	w.db, w.file = nil, nil
}

// batch is the records that the next commit will write.
type batch struct{ records []record }

type record struct {
	key   string
	value any // of a type of package diskformat
}

func (b *batch) add(key string, value any) { b.records = append(b.records, record{key, value}) }

// Save writes to disk in the order given, and returns once all of it is synced. After an error none, some or all of the
// writes are on disk; Save may be called with the same writes again.
//
// A commit may be torn between any two of its records, in any order. So the removal of entries is a commit of its own: torn,
// it leaves a gap, and load ignores the entries behind a gap.
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

// addWrite adds a write to the batch; commits go first where the write removes entries.
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

// flush commits what the batch holds and empties it.
func (w *WAL) flush(pending *batch) error {
	records := pending.records
	pending.records = nil
	if len(records) == 0 {
		return nil
	}
	return w.commit(func(tx *buntdb.Tx) error {
		for _, record := range records {
			if err := put(tx, record.key, record.value); err != nil {
				return err
			}
		}
		return nil
	})
}

// deleteEntries removes the entries whose index is selected, in one commit.
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

// Compact makes the file smaller if it has at least minBytes bytes and has grown to compactionRatio times its size after the
// last compaction. It writes a copy of what is held, syncs it, renames it over the file and syncs the folder, so that at each
// moment a complete file has the name. After an error the file is as it was, and Compact may be called again.
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

// rewrite replaces the file by a copy of all that is held.
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
		w.needsReopen = true // the open file has no name any more
		return trace.ConvertSystemError(err)
	}
	_ = w.closeFiles() // the old file, which has no name any more
	if err := w.openFiles(); err != nil {
		return err
	}
	info, err := os.Stat(w.path)
	if err == nil {
		w.compactedBytes = info.Size()
	}
	return trace.ConvertSystemError(err)
}

// writeCopy writes all that is held to a new file, and syncs it.
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

// put writes a record in a commit.
func put(tx *buntdb.Tx, key string, value any) error {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(value); err != nil {
		return err
	}
	_, _, err := tx.Set(key, encodeSealed(body.Bytes()), nil)
	return err
}
