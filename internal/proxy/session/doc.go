// Package session holds the state of one client session: its variables and prepared statements, its transaction, and the log
// position of its last write. For each statement it decides whether a host is needed. Since a host connection serves many sessions
// in turn, it also returns the setup statements that give the connection the session's state.
//
//	Request             -> Session.Handle            -> Step: answer locally, route to a host, or use the transaction's connection
//	Session, ConnState  -> ConnState.SetupStatements -> statements to run on a host connection before the request
//	Step, Response      -> Session.HandleResponse    -> whether the session keeps the connection
//
// The package does no I/O and reads no clock.
package session
