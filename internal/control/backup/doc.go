// Package backup saves the state of a running control plane to a file, and creates the data directories of a new control plane
// from that file.
//
//	leader: GET Path -> Snapshot (JSON)    Write -> file    Read -> Snapshot    Restore -> data directory of a founder
//
// A snapshot is the state at one index of the log: everything acknowledged up to that index and nothing after it. A restored control
// plane is a new one. Its founders are those of the settings, and each of them restores the same file. Its terms, indices and fencing
// tokens start far above those of the old control plane, so that messages and requests of the old one are rejected as stale.
package backup
