// Package wire encodes and decodes the line protocol that clients, proxies and database hosts speak. A message is one line: a
// word and its fields, separated by single spaces and terminated by CR LF. A client sends one line per request; a host answers
// with the lines up to and including IDLE.
//
//	received bytes -> CutLine -> ParseRequest        from clients
//	received bytes -> CutLine -> Response.AddLine    from hosts
//	Append...      -> bytes to send
//
// There is one file per message. Parse functions read a message, Append functions append one to a buffer in the manner of
// strconv.AppendInt, with no allocation beyond the buffer's growth.
//
// The package is pure: it holds no connection and reads no clock.
package wire
