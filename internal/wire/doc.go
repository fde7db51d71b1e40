// Package wire encodes and decodes the line protocol between clients, proxies and database hosts. A message is one line: a
// keyword and its fields, separated by single spaces and terminated by CR LF. A client sends one line per request; a host
// responds with one or more lines, of which the last is IDLE.
//
//	received bytes -> CutLine -> ParseRequest        from clients
//	received bytes -> CutLine -> Response.AddLine    from hosts
//	Append...      -> bytes to send
//
// Parse functions decode a message. Append functions append an encoded message to a buffer, like strconv.AppendInt, and allocate
// only to grow the buffer.
//
// The package does no I/O and reads no clock.
package wire
