// Package transport owns the older router's sockets: client connections, connections to database hosts, the watch of
// discovery's endpoint list, and the datagrams that routers exchange. It decides nothing.
//
// Commands flow from Clients to a CommandHandler, each with the Slot that its answer goes into; Slots of one connection
// are written in the order of their commands. The handler sends statements by Host.Send and learns the outcome by a
// callback. All buffers share one budget.
package transport
