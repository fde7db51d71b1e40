// Package control is a running member of the control plane (program ferrypitch-control): the sockets, the disk and the goroutine that
// owns the state. What is decided is decided in the pure packages that it turns.
//
//	operator, hosts -> calls -> owner -> ratchet (order) -> rack (state) -> news -> routers
//	                              owner -> hoist (fail-over) -> tongs (hosts), platform
package control
