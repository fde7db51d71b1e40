package scheduler

type event struct {
	at     int64
	serial int
	do     func()
}

// before orders events by time, and events at the same time by serial number.
func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.serial < other.serial
}

// eventQueue is a binary heap with the next event at index 0. container/heap is not used because it allocates for each event,
// and simulations have millions of them.
type eventQueue []event

func (q *eventQueue) push(added event) {
	*q = append(*q, added)
	heap := *q
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !added.before(heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = added
}

// pop removes the next event; the queue must not be empty.
func (q *eventQueue) pop() event {
	heap := *q
	first, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = event{} // lets the garbage collector free the function
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= len(heap) {
			break
		}
		if child+1 < len(heap) && heap[child+1].before(heap[child]) {
			child++
		}
		if !heap[child].before(last) {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	heap[i] = last
	return first
}
