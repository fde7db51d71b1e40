package control

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var partitionSeeds = flag.Int("partitionseeds", 100, "number of clusters to simulate with partitions")

func partitionSeedCount() int {
	if testing.Short() {
		return max(1, *partitionSeeds/10)
	}
	return *partitionSeeds
}

func TestPartitionedMembersGiveNoWrongResponses(t *testing.T) {
	t.Parallel()
	totalConfirmed, totalConflicts, reads, totalDelayed, totalLeases := 0, 0, 0, 0, 0
	for seed := range partitionSeedCount() {
		size := 3
		if seed%5 == 4 {
			size = 5
		}
		c := newPartitionCluster(uint64(seed), size, 2, 0.05, noSafeguard)
		span := int64(9000)
		if seed%10 == 7 { // one long partition that heals between updates
			c.After(2000, func() { c.members[c.Rand.IntN(size)].partition(20000) })
			span = 24000
		}
		c.run(span, seed%2 == 0)
		if len(c.Violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, c.report())
		}
		totalConfirmed, totalConflicts, reads, totalDelayed, totalLeases =
			totalConfirmed+c.confirmed, totalConflicts+c.conflicts, reads+c.reads, totalDelayed+c.delayedResponses, totalLeases+c.leases
	}
	n := partitionSeedCount()
	t.Logf("%d clusters: %d updates confirmed, %d conflicts, %d reads, %d delayed responses, %d leases", n, totalConfirmed, totalConflicts, reads, totalDelayed, totalLeases)
	require.Greater(t, totalConfirmed, 10*n)
	require.Greater(t, totalConflicts, n/2)
	require.Greater(t, reads, 10*n)
	require.Greater(t, totalLeases, 20*n)
}

// The simulation must detect the removal of each safeguard, and clocks that drift by more than 10 %.
func TestPartitionSimulationDetectsEachRemovedSafeguard(t *testing.T) {
	t.Parallel()
	all := []safeguard{leaderLeaseCheck, clockDriftBound, heartbeatSendTimes, leaderStickiness}
	if testing.Short() {
		all = all[:1]
	}
	for _, removed := range all {
		detected := ""
		for seed := 0; seed < 1000 && detected == ""; seed++ {
			drift := 0.05
			if removed == clockDriftBound {
				drift = 0.3
			}
			c := newPartitionCluster(uint64(seed), 3, 2, drift, removed)
			func() {
				defer func() {
					if p := recover(); p != nil { // an assertion in the consensus log
						c.RecordViolation("two leaders: %v", p)
					}
				}()
				c.run(9000, true)
			}()
			for _, violation := range c.Violations {
				if !strings.Contains(violation, "without faults") {
					detected = fmt.Sprintf("seed %d: %s", seed, violation)
					break
				}
			}
		}
		require.NotEmpty(t, detected, "%s: nothing is detected", removed)
		t.Logf("%s: detected by %s", removed, detected)
	}
}

func TestPartitionSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	for seed := range uint64(max(3, partitionSeedCount()/10)) {
		play := func() string {
			s := newSplitCluster(seed, 5)
			s.After(1500, func() { s.injectFaults(s.StartTime + 8000) })
			s.run(9000, true)
			s.finish()
			return fmt.Sprintf("%s\n%d confirmed, %d conflicts, %d reads, %d delayed, %d leases, next %d", strings.Join(s.FaultLog, "\n"),
				s.confirmed, s.conflicts, s.reads, s.delayedResponses, s.leases, s.Rand.Uint64())
		}
		require.Equal(t, play(), play(), "seed %d", seed)
	}
}
