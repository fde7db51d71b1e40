// Package rpc is the transport between the processes of the system: control-plane members and proxies. A Frame is one message,
// encoded with encoding/gob and sent over TCP with a length prefix. Long log entries, snapshots and snapshot chunks are sent
// after their frame, as a payload of raw bytes that all connections share.
//
//	Mesh.Send -> queue of an address -> DialHedged -> Conn.Send  ...TCP...  Listen -> Conn.Receive -> handler
//
// Conn is one connection, in either direction. Mesh sends frames to any member, and manages the connections for it. Listen
// accepts connections. Delivery is at most once: a frame that cannot be sent is dropped and counted, and the protocol above
// decides whether to retry. The package makes no decisions for these protocols.
package rpc
