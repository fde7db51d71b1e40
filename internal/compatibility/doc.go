// Package compatibility has fixtures of everything that a process stores on disk, written by earlier revisions, and the tests
// that read them completely, write them again and let a member start on them. Stored gob and CBOR name fields by their Go
// names: a renamed field is lost without an error, and only what an earlier revision wrote can show it. See
// testdata/README.md.
package compatibility
