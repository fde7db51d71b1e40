// Package errcode is the closed list of the errors that proxies and members of the control plane answer themselves. A table maps
// each kind to its answer: the code and message of the wire's ERROR line, the status over HTTP, and how long the caller should
// wait before it retries.
//
//	Kind -> Append (ERROR line for a client) | HTTPStatus, Message (answer to an HTTP call)
//
// Errors of database hosts are not in the list; a proxy forwards them unchanged. docs/operators/system.md has the same table.
//
// The package is pure: it holds no connection and reads no clock.
package errcode
