// Package errcode defines all errors that proxies and members of the control plane generate themselves. A table maps each kind to
// its answer: the code and message of the protocol's ERROR line, the HTTP status, and how long the caller should wait before it
// retries.
//
//	Kind -> Append (ERROR line for a client) | HTTPStatus, Message (response to an HTTP call)
//
// Errors of database hosts are not included; a proxy forwards them unchanged. docs/operators/system.md documents the same table.
//
// The package does no I/O and reads no clock.
package errcode
