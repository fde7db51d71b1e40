// Package session holds the state of one client session: its variables and prepared statements, its transaction, and the log
// position of its last write. It decides what each statement needs, and with which statements a host connection is brought into
// the session's state before it serves it, since a connection serves many sessions in turn.
//
//	Request             -> Session.Handle         -> Step: answer it here, route it, or use the transaction's connection
//	Session, ConnState  -> ConnState.Prepare      -> statements to run first on a host connection
//	Step, Response      -> Session.HandleResponse -> whether the session keeps the connection
//
// The package is pure: it holds no connection and reads no clock.
package session
