// Package wire is the wire between clients, routers and hosts, on bytes alone: lines of a
// word and fields, ended by CR LF. A message of a client is one line; an answer is the lines up to and with IDLE.
//
//	bytes -> Line -> Request | Greeting          from clients
//	bytes -> Line -> Answer (gathers lines)      from hosts
//
// Pure: it holds no connection and no clock.
package wire
