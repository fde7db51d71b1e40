package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A call that may have been executed is retried immediately only if it has no effect. More progress never makes a
// retry safer: if a partly written call is retried immediately, so is one of which nothing was written.
func TestOnlyOperationsWithoutEffectAreRetriedOnceSent(t *testing.T) {
	for operation := range OperationCount {
		withoutEffect := operation == Read || operation == Begin || operation == Stat
		require.Equal(t, withoutEffect, Idempotent(operation), "operation %d", operation)
		require.Equal(t, withoutEffect, Decide(operation, Sent) == RetryNow, "operation %d", operation)
		if Decide(operation, PartlySent) == RetryNow {
			require.Equal(t, RetryNow, Decide(operation, NotSent), "operation %d", operation)
		}
		for progress := range ProgressCount {
			require.NotEmpty(t, Decide(operation, progress).String())
		}
	}
	require.Equal(t, InDoubt, Decide(Write, Sent))
	require.Equal(t, InDoubt, Decide(Commit, Sent))
}

func TestProgressIsPartialUnlessNothingOrAllWasWritten(t *testing.T) {
	require.Equal(t, []Progress{NotSent, PartlySent, PartlySent, Sent}, []Progress{ProgressOf(0, 9), ProgressOf(1, 9), ProgressOf(8, 9), ProgressOf(9, 9)})
}
