package eventloop

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQueueIsTakenByPriorityAndInOrder(t *testing.T) {
	queue := NewQueue(2)
	var order []string
	put := func(priority Priority, name string) {
		require.True(t, queue.Put(priority, func() { order = append(order, name) }))
	}
	put(PriorityCommands, "command")
	put(PriorityOutcomes, "outcome 1")
	put(PriorityOutcomes, "outcome 2")
	put(PriorityOutcomes, "outcome 3") // exceeds the capacity but does not block
	put(PriorityControl, "control event")
	require.Equal(t, 5, queue.Len())
	<-queue.Ready
	for priority := range priorityCount {
		for function := queue.Take(priority); function != nil; function = queue.Take(priority) {
			function()
		}
	}
	require.Equal(t, []string{"control event", "outcome 1", "outcome 2", "outcome 3", "command"}, order)
	require.Zero(t, queue.Len())
}

func TestPutBlocksWhileTheQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := NewQueue(1)
		queue.Put(PriorityCommands, func() {})
		accepted := make(chan bool, 1)
		putAndBlock := func() {
			go func() { accepted <- queue.Put(PriorityCommands, func() {}) }()
			synctest.Wait()
			require.Empty(t, accepted, "a full queue accepted a command")
		}

		putAndBlock()
		queue.Take(PriorityCommands)
		require.True(t, <-accepted)

		putAndBlock()
		queue.Close()
		require.False(t, <-accepted, "a blocked Put must fail when the queue is closed")
		require.False(t, queue.Put(PriorityOutcomes, func() {}))
		<-queue.Closed
		require.Equal(t, 1, queue.Len())
	})
}

func TestTimersAreOrderedByDeadline(t *testing.T) {
	var timers Timers[int]
	require.Nil(t, timers.First())
	start := time.Now()
	var added []*Timer[int]
	for _, seconds := range []int{5, 1, 4, 2, 3} {
		added = append(added, timers.Add(start.Add(time.Duration(seconds)*time.Second), seconds))
	}
	require.Len(t, timers.All(), 5)
	timers.Remove(added[2])
	timers.Remove(added[2])
	timers.Remove(nil)
	var order []int
	for first := timers.First(); first != nil; first = timers.First() {
		order = append(order, first.Value)
		timers.Remove(first)
	}
	require.Equal(t, []int{1, 2, 3, 5}, order)

	cleared := timers.Add(start, 6)
	timers.Clear()
	timers.Remove(cleared)
	require.Empty(t, timers.All())
}

func TestClockStartsAtItsOriginInMilliseconds(t *testing.T) {
	now := time.Now()
	clock := NewMonotonicClock(func() time.Time { return now })
	require.EqualValues(t, ClockOrigin, clock.Now())
	now = now.Add(1500 * time.Millisecond)
	require.EqualValues(t, ClockOrigin+1500, clock.Now())
	require.Equal(t, 1500*time.Millisecond, clock.Elapsed())
	require.Equal(t, now, clock.Time())
}
