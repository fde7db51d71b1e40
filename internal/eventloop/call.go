package eventloop

// Call runs a function in the goroutine of the queue's owner and returns its result. ok is false if the queue was closed before
// the function ran.
func Call[T any](queue *Queue, priority Priority, function func() T) (result T, ok bool) {
	results := make(chan T, 1)
	if !queue.Put(priority, func() { results <- function() }) {
		return result, false
	}
	select {
	case result = <-results:
		return result, true
	case <-queue.Closed:
		return result, false
	}
}
