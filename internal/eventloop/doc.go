// Package eventloop provides the components of an event loop: one goroutine owns a server's state, and other goroutines access the
// state only through functions that they put into the owner's queue.
//
//	any goroutine   -> Queue.Put -> Queue.Ready -> owner -> Queue.Take, by Priority
//	owner           -> Timers.Add -> Timers.First -> owner, once the deadline has passed
//
// Each server implements the loop itself, because the work between two priorities differs. The owner closes the queue when it
// ends.
package eventloop
