// Package protocol encodes and decodes the protocols of the older router's sockets: both sides of the PostgreSQL
// frontend/backend protocol, version 3.0 (https://www.postgresql.org/docs/current/protocol.html), the leading comment of
// clients' commands, and the HTTP of discovery.
//
// The package does no I/O. Functions named Next... decode the first complete item of a buffer and return its encoded length n,
// which is 0 if more bytes are needed. The slices that they return refer to the buffer. Functions named Append... append to a
// buffer and return it.
package protocol
