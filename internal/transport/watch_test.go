package transport

import (
	"context"
	"testing"
	"time"

	"ferrypitch/internal/setup"
)

func TestDiscoveryThatIsDownIsAskedEverMoreSeldomUntilItMoves(t *testing.T) {
	limits := &setup.Limits{Buffer: 1 << 10, Buffers: 1 << 20, Line: 1 << 10, Quiet: 10 * time.Second, Again: 40 * time.Millisecond}
	faults := make(chan time.Time, 99)
	w := NewWatch(limits, NewRoom(limits), "127.0.0.1:1", func() int64 { return 0 }, func([]byte, bool) error { return nil },
		func(error) { faults <- time.Now() })
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- w.Run(ctx) }()
	first := <-faults
	for range 3 {
		<-faults
	}
	if took := time.Since(first); took < 7*limits.Again { // one, two and four times the first wait
		t.Errorf("asked four times within %v", took)
	}
	moved := time.Now()
	w.Move("127.0.0.1:2")
	<-faults
	if took := time.Since(moved); took > 5*limits.Again {
		t.Errorf("a move is followed after %v, as though it had to wait", took)
	}
	end()
	<-ended
}
