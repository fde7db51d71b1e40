package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against synchronized reconnects: without growing and randomized delays, hundreds of proxies that lost their leader
// reconnected to the other members simultaneously every 30 ms.
func TestBackoffGrowsToItsBoundAndSpreads(t *testing.T) {
	backoff := Backoff{FirstMs: 30, MaxMs: 400}
	for _, bound := range []float64{30, 60, 120, 240, 400, 400, 400} {
		copied := backoff
		require.InDelta(t, bound/2, copied.NextMs(0), 1e-9)
		require.InDelta(t, bound*0.75, backoff.NextMs(0.5), 1e-9)
	}
	backoff.Reset()
	require.InDelta(t, 15, backoff.NextMs(0), 1e-9)
}
