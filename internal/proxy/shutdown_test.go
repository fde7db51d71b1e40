package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is with its host at SIGTERM may take until the last sixth of the grace, and an open transaction has more than half of it; the
// answers have time to go out before the platform kills the process.
func TestShutdownUsesTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
		closeIdleAfter, answerAfter := shutdownPhases(grace)
		require.LessOrEqual(t, closeIdleAfter, grace/2)
		require.Greater(t, answerAfter, grace*5/6)
		require.GreaterOrEqual(t, grace-answerAfter, grace/12)
	}
	closeIdleAfter, _ := shutdownPhases(6 * time.Second)
	require.Greater(t, closeIdleAfter, 2*time.Second, "the platform asks each second, and takes a machine out after two misses")
}
