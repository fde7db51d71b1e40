// Package storage holds a member's part of the ordered log on disk, in
// buntdb. What is acknowledged was synced; a file that can't be read whole is put aside, and its member starts as a
// learner.
//
//	Open -> Restored       Store(writes) returns when they are on disk
package storage

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/tidwall/buntdb"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/storage/diskformat"
	"ferrypitch/internal/snapshotfile"
)

// WAL is an open file. Its calls are made by one goroutine.
type WAL struct {
	db             *buntdb.DB
	file           *os.File // the same file, to sync it: buntdb passes over a sync that fails
	path           string
	needsReopen    bool   // a write broke off in a way that buntdb can't take back
	lastIndex      uint64 // the last entry that is held
	compactedBytes int64  // of the file after it was last made small
}

// Identity is who a member is, for as long as its disk lives.
type Identity struct {
	ID       consensus.ID
	Founders []consensus.ID // the first members, of one that was there at the first start
}

const (
	keyIdentity  = "identity"
	keyHardState = "meta"
	keySnapshot  = "snapshot"
	prefixEntry  = "n"
)

func entryKey(i uint64) string { return fmt.Sprintf("%s%016x", prefixEntry, i) }

// Open opens or makes the file in a folder. fresh makes the identity of a member that has none.
func Open(folder string, fresh func() Identity) (d *WAL, id Identity, kept consensus.RestoredState, err error) {
	path := filepath.Join(folder, "ratchet.db")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, id, kept, trace.ConvertSystemError(err)
	}
	d = &WAL{path: path}
	if err := truncateTornTail(path); err != nil {
		return nil, id, kept, err
	}
	if err = d.open(); err == nil {
		id, kept, err = d.load()
	}
	if err != nil || id.ID == "" {
		d.close()
		if _, bad := os.Stat(path); bad == nil { // what can't be read whole counts for nothing
			if bad := os.Rename(path, path+".broken"); bad != nil {
				return nil, id, kept, trace.ConvertSystemError(bad)
			}
		}
		if err := d.open(); err != nil {
			return nil, id, kept, err
		}
		id, kept = fresh(), consensus.RestoredState{}
		err := d.commit(func(tx *buntdb.Tx) error {
			return put(tx, keyIdentity, diskformat.Identity{ID: id.ID, Founders: id.Founders})
		})
		if err != nil {
			return nil, id, kept, trace.Wrap(err)
		}
		if err := (snapshotfile.Disk{}).SyncFolder(folder); err != nil {
			return nil, id, kept, trace.ConvertSystemError(err)
		}
	}
	return d, id, kept, nil
}

func (d *WAL) open() error {
	db, err := buntdb.Open(d.path)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return trace.Wrap(err)
	}
	file, err := os.OpenFile(d.path, os.O_RDWR, 0o600)
	if err != nil {
		db.Close()
		return trace.ConvertSystemError(err)
	}
	d.db, d.file = db, file
	return nil
}

func (d *WAL) close() {
	if d.db != nil {
		d.db.Close()
		d.file.Close()
		d.db = nil
	}
}

// Close closes the file.
func (d *WAL) Close() error {
	d.close()
	return nil
}

// commit makes one change and returns once it is on disk. A change that fails may be made again.
func (d *WAL) commit(do func(*buntdb.Tx) error) (err error) {
	if d.needsReopen || d.db == nil {
		d.close()
		if err := truncateTornTail(d.path); err != nil {
			return err
		}
		if err := d.open(); err != nil {
			return err
		}
		d.needsReopen = false
		if _, _, err := d.load(); err != nil {
			return err
		}
	}
	defer func() {
		if p := recover(); p != nil { // a write broke off, and what of it is there could not be cut off
			d.needsReopen, err = true, trace.Errorf("%v", p)
		}
	}()
	if err := d.db.Update(do); err != nil {
		return err
	}
	if d.file.Sync() == nil {
		return nil
	}
	return d.rewrite() // what a failed sync covered may never reach the disk, even if a later one does not fail
}

func put(tx *buntdb.Tx, key string, v any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return err
	}
	_, _, err := tx.Set(key, encodeSealed(b.Bytes()), nil)
	return err
}

func get(tx *buntdb.Tx, key string, v any) (bool, error) {
	text, err := tx.Get(key, true)
	if err == buntdb.ErrNotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	body, err := decodeSealed(text)
	if err != nil {
		return false, fmt.Errorf("%s: %w", key, err)
	}
	return true, gob.NewDecoder(bytes.NewReader(body)).Decode(v)
}

func (d *WAL) load() (id Identity, kept consensus.RestoredState, err error) {
	var identity diskformat.Identity
	var meta diskformat.Meta
	var snapshot diskformat.Snapshot
	err = d.db.View(func(tx *buntdb.Tx) error {
		if _, err := get(tx, keyIdentity, &identity); err != nil {
			return err
		}
		if _, err := get(tx, keyHardState, &meta); err != nil {
			return err
		}
		_, err := get(tx, keySnapshot, &snapshot)
		return err
	})
	id, kept.HardState, kept.Snapshot = Identity{ID: identity.ID, Founders: identity.Founders}, meta.Value(), snapshot.Value()
	next, view := kept.Snapshot.Index+1, kept.Snapshot.Term
	for more := err == nil; more; {
		var e diskformat.Entry
		if err = d.db.View(func(tx *buntdb.Tx) error {
			var err error
			more, err = get(tx, entryKey(next), &e)
			return err
		}); err != nil || !more || e.View < view {
			break
		}
		kept.Entries, next, view = append(kept.Entries, e.Value()), next+1, e.View
	}
	if err == nil { // what lies behind a gap is of a change that was torn
		d.lastIndex = next - 1
		err = d.deleteEntries(func(i uint64) bool { return i >= next || i <= kept.Snapshot.Index })
	}
	return id, kept, err
}

// Save puts writes on disk in their order. A change of buntdb's may be torn between any two of its keys, in any order,
// so what takes entries away is a change of its own: torn, it leaves a gap, and what is behind a gap counts for nothing.
func (d *WAL) Save(writes []consensus.Write) error {
	var sets []func(*buntdb.Tx) error
	flush := func() error {
		if len(sets) == 0 {
			return nil
		}
		todo := sets
		sets = nil
		return d.commit(func(tx *buntdb.Tx) error {
			for _, do := range todo {
				if err := do(tx); err != nil {
					return err
				}
			}
			return nil
		})
	}
	set := func(key string, v any) {
		sets = append(sets, func(tx *buntdb.Tx) error { return put(tx, key, v) })
	}
	for _, w := range writes {
		if w.HardState != nil {
			set(keyHardState, diskformat.FromMeta(*w.HardState))
		}
		if w.Snapshot != nil {
			set(keySnapshot, diskformat.FromSnapshot(*w.Snapshot))
			if err := flush(); err != nil {
				return trace.Wrap(err)
			}
			if err := d.deleteEntries(func(i uint64) bool { return i <= w.CompactThrough }); err != nil {
				return trace.Wrap(err)
			}
			d.lastIndex = max(d.lastIndex, w.Snapshot.Index)
		}
		if w.FirstIndex > 0 && w.FirstIndex <= d.lastIndex {
			if err := flush(); err != nil {
				return trace.Wrap(err)
			}
			if err := d.deleteEntries(func(i uint64) bool { return i >= w.FirstIndex }); err != nil {
				return trace.Wrap(err)
			}
		}
		for i, e := range w.Entries {
			set(entryKey(w.FirstIndex+uint64(i)), diskformat.FromEntry(e))
		}
		if w.FirstIndex > 0 {
			d.lastIndex = w.FirstIndex + uint64(len(w.Entries)) - 1
		}
	}
	return trace.Wrap(flush())
}

// deleteEntries takes entries away.
func (d *WAL) deleteEntries(which func(uint64) bool) error {
	var keys []string
	err := d.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendGreaterOrEqual("", prefixEntry, func(key, _ string) bool {
			if len(key) == 17 && key[:1] == prefixEntry {
				if i, err := strconv.ParseUint(key[1:], 16, 64); err == nil && which(i) {
					keys = append(keys, key)
				}
			}
			return true
		})
	})
	if err != nil || len(keys) == 0 {
		return err
	}
	return d.commit(func(tx *buntdb.Tx) error {
		for _, key := range keys {
			if _, err := tx.Delete(key); err != nil {
				return err
			}
		}
		return nil
	})
}

// Compact makes the file small once it has grown to a multiple of what it holds and past least bytes: a copy is written
// beside it, synced, renamed over it, and its folder synced. At each moment the file is whole under its name.
func (d *WAL) Compact(least int64) error {
	info, err := os.Stat(d.path)
	if err != nil || info.Size() < least || info.Size() < 3*d.compactedBytes {
		return trace.ConvertSystemError(err)
	}
	return d.rewrite()
}

// rewrite puts a copy of all that is held in the file's place.
func (d *WAL) rewrite() error {
	beside := d.path + ".new"
	f, err := os.OpenFile(beside, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	err = d.db.Save(f)
	if err == nil {
		err = f.Sync()
	}
	if bad := f.Close(); err == nil {
		err = bad
	}
	if err == nil {
		err = os.Rename(beside, d.path)
	}
	if err != nil {
		os.Remove(beside)
		return trace.Wrap(err)
	}
	if err := (snapshotfile.Disk{}).SyncFolder(filepath.Dir(d.path)); err != nil {
		d.needsReopen = true // what is open has no name any more
		return trace.ConvertSystemError(err)
	}
	d.close()
	if err := d.open(); err != nil {
		return err
	}
	info, err := os.Stat(d.path)
	if err == nil {
		d.compactedBytes = info.Size()
	}
	return trace.ConvertSystemError(err)
}
