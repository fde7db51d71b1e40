// Package transport owns the older router's sockets: client connections, connections to database hosts, the watch of
// discovery's host list, and the datagrams that routers exchange. It makes no routing decisions.
//
// Clients passes each command to a CommandHandler together with a Slot for its answer. The answers of one connection are
// written in the order of their commands. The handler sends statements with Host.Send and receives the outcome in a callback.
// All buffers share one budget.
package transport
