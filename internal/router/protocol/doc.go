// Package protocol encodes and decodes what goes over the older router's sockets: the frontend/backend protocol of
// PostgreSQL, version 3.0, from both ends (https://www.postgresql.org/docs/current/protocol.html), the comment that clients
// put before a command, and discovery's HTTP.
//
// It works on bytes alone. Functions that begin with Next cut the first complete item off a buffer and return its length n,
// which is 0 while more bytes are needed. What they return refers to the buffer. Functions that begin with Append append to
// a buffer and return it.
package protocol
