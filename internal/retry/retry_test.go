package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What may have run is made again at once only where it changes nothing; what was further written is never freer.
func TestNothingThatMayHaveRunIsMadeAgainUnlessItChangesNothing(t *testing.T) {
	for c := range OperationCount {
		harmless := c == Read || c == Begin || c == Stat
		require.Equal(t, harmless, Idempotent(c), "call %d", c)
		require.Equal(t, harmless, Decide(c, Sent) == RetryNow, "call %d", c)
		if Decide(c, PartlySent) == RetryNow {
			require.Equal(t, RetryNow, Decide(c, NotSent), "call %d", c)
		}
		for m := range ProgressCount {
			require.NotEmpty(t, Decide(c, m).String())
		}
	}
	require.Equal(t, InDoubt, Decide(Write, Sent))
	require.Equal(t, InDoubt, Decide(Commit, Sent))
}

func TestAWriteIsTornUnlessAllOrNothingWentOut(t *testing.T) {
	require.Equal(t, []Progress{NotSent, PartlySent, PartlySent, Sent}, []Progress{ProgressOf(0, 9), ProgressOf(1, 9), ProgressOf(8, 9), ProgressOf(9, 9)})
}
