package storage

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage/diskformat"
)

const (
	fileName       = "consensus.db"
	legacyFileName = "ratchet.db" // the file name used by older releases

	temporarySuffix  = ".new"        // a copy being written
	brokenSuffix     = ".broken"     // an unreadable file
	supersededSuffix = ".superseded" // the file of the identity that the member had before an older release ran
)

// ConflictingFilesError reports that a folder holds two different files of the same member and that it cannot be determined
// which one is newer. The member must not start: with the older file it would have lost votes that it cast. Retrying returns
// the same error until an operator moves one of the files out of the folder.
type ConflictingFilesError struct {
	Current, Legacy string       // the paths
	Member          consensus.ID // empty if one of the files cannot be read
}

// Error returns a message with the paths of both files.
func (e *ConflictingFilesError) Error() string {
	return fmt.Sprintf("%s and %s are different files of member %q and it is not known which one is newer: move the older one out of the folder",
		e.Current, e.Legacy, e.Member)
}

// migration is the change that gives the member's file its current name.
type migration int

const (
	noMigration      migration = iota
	renameLegacy               // only the legacy file exists, or it starts with all of the current file and has more
	removeLegacy               // the current file starts with all of the legacy file
	supersedeCurrent           // the files belong to different members; the legacy file is valid and replaces the current one
)

// planMigration decides which file is the valid one. It only reads.
//
// A migration removes the legacy name. So if both names exist, either a migration was interrupted on a file system that renames
// in two steps, or the legacy file was created later, by an older release that ran in between or by hand. The rules:
//
//   - If one file is a prefix of the other, the longer one is valid. Files are append-only, so the longer one holds everything
//     that was acknowledged from the shorter one. Torn tails are ignored, and an empty file is a prefix of every other.
//   - If the files belong to different members, the legacy file is valid: an older release found no file of its own and started
//     as a new member, and the other member has not run since. Either choice would be safe, as no member returns with less
//     than it acknowledged, but the later member is the one still in the group.
//   - Otherwise neither file is touched, and the error is a *ConflictingFilesError. This takes a manual copy on which both
//     releases ran, or an unreadable file.
func planMigration(folder string) (migration, error) {
	currentPath, legacyPath := filepath.Join(folder, fileName), filepath.Join(folder, legacyFileName)
	legacy, err := os.ReadFile(legacyPath)
	if errors.Is(err, os.ErrNotExist) {
		return noMigration, nil
	}
	if err != nil {
		return noMigration, trace.ConvertSystemError(err)
	}
	current, err := os.ReadFile(currentPath)
	if errors.Is(err, os.ErrNotExist) {
		return renameLegacy, nil
	}
	if err != nil {
		return noMigration, trace.ConvertSystemError(err)
	}

	conflict := &ConflictingFilesError{Current: currentPath, Legacy: legacyPath}
	currentMember, currentUsable := readMember(current)
	legacyMember, legacyUsable := readMember(legacy)
	if !currentUsable || !legacyUsable {
		return noMigration, conflict
	}
	current, legacy = current[:validPrefix(current)], legacy[:validPrefix(legacy)]
	switch {
	case bytes.HasPrefix(current, legacy):
		return removeLegacy, nil
	case bytes.HasPrefix(legacy, current):
		return renameLegacy, nil
	case currentMember != legacyMember:
		return supersedeCurrent, nil
	}
	conflict.Member = currentMember
	return noMigration, conflict
}

// readMember returns the member that a file belongs to. usable reports whether the file has an identity or is empty.
func readMember(content []byte) (member consensus.ID, usable bool) {
	var identity diskformat.Identity
	scanCommands(content, func(next command) {
		if next.operation == operationSet && next.key == keyIdentity {
			identity = diskformat.Identity{}
			if gob.NewDecoder(bytes.NewReader(next.body)).Decode(&identity) != nil {
				identity = diskformat.Identity{}
			}
		}
	})
	member, _ = identity.Value()
	return member, member != "" || len(content) == 0
}

// directoryOps are the folder operations of a migration. Tests implement it to interrupt a migration.
type directoryOps interface {
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// migrateLegacyFile gives the member's file the current name. It may be interrupted after any step: the next call plans again
// and arrives at the same file.
func migrateLegacyFile(ops directoryOps, folder string) error {
	plan, err := planMigration(folder)
	if err != nil {
		return err
	}
	current, legacy := filepath.Join(folder, fileName), filepath.Join(folder, legacyFileName)
	switch plan {
	case noMigration:
		return nil
	case removeLegacy:
		err = ops.Remove(legacy)
	case renameLegacy:
		err = ops.Rename(legacy, current)
	case supersedeCurrent:
		err = supersede(ops, current, legacy)
	}
	if err == nil {
		err = ops.SyncFolder(folder)
	}
	return trace.ConvertSystemError(err)
}

// supersede renames the current file and then gives its name to the legacy file. It syncs in between so that neither is lost.
func supersede(ops directoryOps, current, legacy string) error {
	if err := ops.Rename(current, current+supersededSuffix); err != nil {
		return err
	}
	if err := ops.SyncFolder(filepath.Dir(current)); err != nil {
		return err
	}
	return ops.Rename(legacy, current)
}
