package transport

import (
	"context"
	"testing"
	"time"

	"ferrypitch/internal/router/setup"
)

// watching runs a watch of an address where nobody listens.
func watching(t *testing.T, again time.Duration) (w *Watch, faults chan time.Time) {
	limits := &setup.Limits{Buffer: 1 << 10, Buffers: 1 << 20, Line: 1 << 10, Quiet: 1000 * again, Again: again}
	faults = make(chan time.Time, 99)
	w = NewWatch(limits, NewRoom(limits), "127.0.0.1:1", func() int64 { return 0 }, func([]byte, bool) error { return nil },
		func(error) { faults <- time.Now() })
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		end()
		<-ended
	})
	return w, faults
}

func TestDiscoveryThatIsDownIsAskedEverMoreSeldom(t *testing.T) {
	const again = 40 * time.Millisecond
	_, faults := watching(t, again)
	first := <-faults
	for range 2 {
		<-faults
	}
	if took := (<-faults).Sub(first); took < 7*again { // one, two and four times the first wait
		t.Errorf("asked four times within %v", took)
	}
}

func TestDiscoveryThatMovesIsNotWaitedFor(t *testing.T) {
	w, faults := watching(t, time.Hour)
	<-faults
	w.SetAddress("127.0.0.1:2")
	select {
	case <-faults:
	case <-time.After(long):
		t.Error("the new address is not asked")
	}
}
