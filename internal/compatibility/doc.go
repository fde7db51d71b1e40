// Package compatibility tests that data stored on disk by earlier revisions can still be used. Its fixtures in testdata cover
// everything that a process stores. The tests read them completely, encode them again and start a member on them. Gob and CBOR
// store fields under their Go names: a renamed field is lost without an error, and only a file written by an earlier revision
// shows the loss. See testdata/README.md.
package compatibility
