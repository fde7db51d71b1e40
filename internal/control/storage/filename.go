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
	legacyFileName = "ratchet.db" // the name in older releases

	temporarySuffix  = ".new"        // a copy that is being written
	brokenSuffix     = ".broken"     // a file of which nothing could be read
	supersededSuffix = ".superseded" // the file of an identity that the member had before an older release ran
)

// ConflictingFilesError says that a folder holds two different files of the same member, and that the older one can't be
// told from the newer. The member must not start: on the older file it would have forgotten votes that it gave. Trying again
// gives the same error, until an operator has moved one of the files out of the folder.
type ConflictingFilesError struct {
	Current, Legacy string       // the paths
	Member          consensus.ID // empty: one of the files can't be read
}

// Error names both files.
func (e *ConflictingFilesError) Error() string {
	return fmt.Sprintf("%s and %s are different files of member %q, and which one is newer is not known: move the older one out of the folder",
		e.Current, e.Legacy, e.Member)
}

// takeover is what has to be done so that the member's file has the current name.
type takeover int

const (
	nothingToTakeOver takeover = iota
	renameLegacy               // only the old name is there, or its file holds all of the other and more
	removeLegacy               // the file of the current name holds all of the one of the old name
	supersedeCurrent           // the files are of different members: the one of the old name is the later one
)

// planTakeover decides which file counts. It only reads.
//
// A takeover removes the old name. So where both names are there, either a takeover was cut short on a file system that
// renames in two steps, or the file of the old name was put there later: by an older release, which ran in between, or by
// hand. The rules:
//
//   - If one file begins with all of the other, the longer one counts. A file only grows at its end, so the longer one holds
//     everything that was acknowledged from the shorter one. Torn ends don't count, and an empty file begins every other.
//   - If the files are of different members, the one of the old name counts: an older release found no file of its own and
//     began as a new member. The other member has not run since. Either is safe by itself, as no member comes back with less
//     than it had acknowledged; the later one is still in the group.
//   - Otherwise neither is touched, and the error is a *ConflictingFilesError. This takes a copy made by hand on which both
//     releases ran, or a file of which nothing can be read.
func planTakeover(folder string) (takeover, error) {
	currentPath, legacyPath := filepath.Join(folder, fileName), filepath.Join(folder, legacyFileName)
	legacy, err := os.ReadFile(legacyPath)
	if errors.Is(err, os.ErrNotExist) {
		return nothingToTakeOver, nil
	}
	if err != nil {
		return nothingToTakeOver, trace.ConvertSystemError(err)
	}
	current, err := os.ReadFile(currentPath)
	if errors.Is(err, os.ErrNotExist) {
		return renameLegacy, nil
	}
	if err != nil {
		return nothingToTakeOver, trace.ConvertSystemError(err)
	}

	conflict := &ConflictingFilesError{Current: currentPath, Legacy: legacyPath}
	currentMember, currentUsable := memberOf(current)
	legacyMember, legacyUsable := memberOf(legacy)
	if !currentUsable || !legacyUsable {
		return nothingToTakeOver, conflict
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
	return nothingToTakeOver, conflict
}

// memberOf reads whose a file is. It is usable if it says so, or if it is empty.
func memberOf(content []byte) (member consensus.ID, usable bool) {
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

// folderNames is what a takeover does to the names in a folder, so that a test can interrupt it.
type folderNames interface {
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// takeOverLegacyFile gives the member's file the current name. It may be interrupted after any step: what is there then is
// decided anew, and the same file counts.
func takeOverLegacyFile(names folderNames, folder string) error {
	plan, err := planTakeover(folder)
	if err != nil {
		return err
	}
	current, legacy := filepath.Join(folder, fileName), filepath.Join(folder, legacyFileName)
	switch plan {
	case nothingToTakeOver:
		return nil
	case removeLegacy:
		err = names.Remove(legacy)
	case renameLegacy:
		err = names.Rename(legacy, current)
	case supersedeCurrent:
		err = supersede(names, current, legacy)
	}
	if err == nil {
		err = names.SyncFolder(folder)
	}
	return trace.ConvertSystemError(err)
}

// supersede moves the current file aside before the other takes its name, and syncs in between, so that neither is lost.
func supersede(names folderNames, current, legacy string) error {
	if err := names.Rename(current, current+supersededSuffix); err != nil {
		return err
	}
	if err := names.SyncFolder(filepath.Dir(current)); err != nil {
		return err
	}
	return names.Rename(legacy, current)
}
