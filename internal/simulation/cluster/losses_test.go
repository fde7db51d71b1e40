package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/faultplan"
)

// A member that returned within the time for catching up counts as lost, though its seat may be filled again by then.
func TestClosingLossStaysWithinTheFaultBudget(t *testing.T) {
	run := &lossRun{budget: 2, catchUp: time.Hour}
	for range 5 {
		run.slots = append(run.slots, &lossMember{})
	}
	run.slots[2].returned()
	ctx, cancel := context.WithTimeout(t.Context(), 3*retryInterval)
	defer cancel()
	err := run.applyClosing(ctx, faultplan.ClosingLoss{Disks: []int{0, 3}, AllDown: true})
	require.ErrorIs(t, err, context.DeadlineExceeded, "three of five disks would be lost at once")

	require.NoError(t, run.awaitBudget(t.Context(), []int{0, 2}), "the same member lost again is one lost member")
	run.catchUp = 0
	require.NoError(t, run.awaitBudget(t.Context(), []int{0, 3}), "the member has had its time for catching up")
}
