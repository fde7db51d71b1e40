// Package eventloop has the parts of an event loop: one goroutine owns a server's state, and other goroutines reach it only by
// functions that they put into its queue.
//
//	any goroutine   -> Queue.Put -> Queue.Ready -> owner -> Queue.Take, in the order of Priority
//	owner           -> Timers.Add -> Timers.First -> owner, when its deadline has passed
//
// The loop itself is in each server, since what is due between two priorities differs. The owner closes the queue when it ends.
package eventloop
