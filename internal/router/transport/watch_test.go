package transport

import (
	"context"
	"testing"
	"time"

	"ferrypitch/internal/router/setup"
)

// startWatch runs a watch of an address on which nothing listens. The times of its failures are sent to failures.
func startWatch(t *testing.T, backoff time.Duration) (w *Watch, failures chan time.Time) {
	limits := &setup.Limits{InitialBuffer: 1 << 10, BufferBudget: 1 << 20, MaxListLine: 1 << 10, DiscoveryTimeout: 1000 * backoff, RetryDelay: backoff}
	failures = make(chan time.Time, 99)
	w = NewWatch(limits, NewBufferBudget(limits), "127.0.0.1:1", func() int64 { return 0 }, func([]byte, bool) error { return nil },
		func(error) { failures <- time.Now() })
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		end()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return w, failures
}

func TestUnavailableDiscoveryIsRetriedWithBackoff(t *testing.T) {
	const backoff = 40 * time.Millisecond
	_, failures := startWatch(t, backoff)
	first := <-failures
	for range 2 {
		<-failures
	}
	if took := (<-failures).Sub(first); took < 7*backoff { // 1, 2 and 4 times the initial backoff
		t.Errorf("four attempts within %v", took)
	}
}

func TestAddressChangeEndsTheBackoff(t *testing.T) {
	w, failures := startWatch(t, time.Hour)
	<-failures
	w.SetAddress("127.0.0.1:2")
	select {
	case <-failures:
	case <-time.After(testTimeout):
		t.Error("the new address is not tried")
	}
}
