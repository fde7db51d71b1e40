// Package compatibility holds fixtures of all that a process stores on disk, written by an earlier revision, and the tests
// that read them whole. Stored gob and CBOR name fields by their Go names: a renamed field is lost without an error, and
// only what an earlier revision wrote can show it. See testdata/README.md.
package compatibility
