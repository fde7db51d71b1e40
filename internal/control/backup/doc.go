// Package backup takes the state of a running control plane into a file, and makes from it the disks of a new control plane.
//
//	leader: GET Path -> Snapshot (JSON)    Write -> file    Read -> Snapshot    Restore -> data directory of a founder
//
// A snapshot is the state at one index of the log: all that was acknowledged up to it and nothing behind it. A control plane that is
// restored is a new one: its founders are those of the settings, each of which restores the same file, and its terms, indices and
// fencing tokens begin far above those of the old one, so that nothing the old one still says counts.
package backup
