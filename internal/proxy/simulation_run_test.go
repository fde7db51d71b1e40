package proxy

import (
	"flag"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

var (
	seeds     = flag.Int("seeds", 1000, "how many simulations with a whole control plane to run; of the wire two fifths of that")
	firstSeed = flag.Int("first", 0, "the first seed")
	onlySeed  = flag.Int("only", -1, "the one seed to run")
)

// Simulations allocate much and retain little. With a GC percentage of 400 the collector runs a quarter as often, which saves a
// quarter of the running time.
func TestMain(m *testing.M) {
	flag.Parse()
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// seedCount returns the number of seeds to run: a tenth of them in short mode, as under the race detector.
func seedCount() int {
	if testing.Short() {
		return max(1, *seeds/10)
	}
	return *seeds
}

// simulateAll runs simulations in parallel, calls visit for each of them, and fails with the lowest seed that has violations.
func simulateAll(t *testing.T, count int, build func(seed uint64) *simulation, visit func(*simulation)) {
	t.Helper()
	play := func(seed uint64) *simulation {
		sim := build(seed)
		sim.run()
		return sim
	}
	playAll(t, count, play, visit)
}

// playAll is like simulateAll, with a function that builds and runs the simulation of a seed.
func playAll(t *testing.T, count int, play func(seed uint64) *simulation, visit func(*simulation)) {
	t.Helper()
	var mu sync.Mutex
	leastSeed, report := -1, ""
	var failed []int
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := *firstSeed; seed < *firstSeed+count; seed++ {
		if *onlySeed >= 0 && seed != *onlySeed {
			continue
		}
		group.Go(func() error {
			sim := play(uint64(seed))
			mu.Lock()
			defer mu.Unlock()
			if len(sim.Violations) > 0 {
				failed = append(failed, seed)
			}
			if len(sim.Violations) > 0 && (leastSeed < 0 || seed < leastSeed) {
				leastSeed, report = seed, sim.report()
			}
			visit(sim)
			return nil
		})
	}
	require.NoError(t, group.Wait())
	if leastSeed >= 0 {
		slices.Sort(failed)
		t.Fatalf("seed %d, the least of %v:\n%s", leastSeed, failed, report)
	}
}

func TestSimulationKeepsWireGuarantees(t *testing.T) {
	served, count := 0, max(1, seedCount()*2/5)
	build := func(seed uint64) *simulation { return newSimulation(seed, 3, 9) }
	simulateAll(t, count, build, func(sim *simulation) { served += sim.served })
	if *onlySeed >= 0 {
		return
	}
	require.Greater(t, served, 300*count, "too little was served for this to prove anything")
	t.Logf("%d simulations, %d statements served", count, served)
}

func TestSimulationKeepsGuaranteesWithFailingControlPlane(t *testing.T) {
	served, promotions, versions, repeated := 0, 0, 0, 0
	var faults [memberFaultKinds]int
	build := func(seed uint64) *simulation { return newClusterSimulation(seed, 3, 9) }
	simulateAll(t, seedCount(), build, func(sim *simulation) {
		served += sim.served
		promotions += sim.cluster.promotions
		versions += len(sim.cluster.operator.confirmed)
		repeated += sim.cluster.operator.repeatedRequests
		for kind, count := range sim.cluster.faultCounts {
			faults[kind] += count
		}
	})
	if *onlySeed >= 0 {
		return
	}
	require.Greater(t, served, 300*seedCount(), "too little was served for this to prove anything")
	require.Greater(t, promotions, seedCount()/2, "too few failovers for this to prove anything")
	require.Greater(t, versions, 3*seedCount(), "too few changes of the configuration for this to prove anything")
	t.Logf("%d simulations, %d statements served, %d promotions; faults of members by kind: %v; %d versions confirmed, %d requests repeated",
		seedCount(), served, promotions, faults, versions, repeated)
}

// Hosts that leave without draining first receive writes until they stop. A failover in that time must query them, and a primary
// that leaves in this way is switched over while it keeps serving.
func TestSimulationKeepsGuaranteesWithHostsThatLeaveFirst(t *testing.T) {
	served, replaced, promotions := 0, 0, 0
	build := func(seed uint64) *simulation {
		sim := newClusterSimulation(seed, 3, 9)
		sim.cluster.leaveFirst = true
		return sim
	}
	simulateAll(t, seedCount()/4, build, func(sim *simulation) {
		served += sim.served
		replaced += sim.cluster.replacedHosts
		promotions += sim.cluster.promotions
	})
	if *onlySeed >= 0 {
		return
	}
	require.Greater(t, served, 300*seedCount()/4, "too little was served for this to prove anything")
	require.Greater(t, replaced, seedCount()/10, "too few hosts left for this to prove anything")
	t.Logf("%d statements served, %d hosts left without draining first, %d promotions", served, replaced, promotions)
}

// Right after a configuration change was confirmed, one member loses its disk and all other machines lose power. Everything that
// clients and operators were told must still hold, and the system must serve writes again.
func TestSimulationKeepsGuaranteesThroughAClosingFault(t *testing.T) {
	served, closingFaults, unrecovered := 0, 0, 0
	build := func(seed uint64) *simulation {
		sim := newClusterSimulation(seed, 3, 9)
		sim.cluster.injectFaultAfterConfirmation(sim.Between(2, 4))
		return sim
	}
	simulateAll(t, seedCount()/4, build, func(sim *simulation) {
		served += sim.served
		if sim.cluster.closingFaultAt == 0 {
			return
		}
		closingFaults++
		if sim.lastWriteAt < sim.cluster.closingFaultAt+2*second {
			unrecovered++
		}
	})
	require.Zero(t, unrecovered, "no write was acknowledged after the closing fault")
	if *onlySeed < 0 {
		require.Greater(t, closingFaults, seedCount()/8, "too few closing faults for this to prove anything")
		require.Greater(t, served, 200*seedCount()/4, "too little was served for this to prove anything")
	}
}

// Calls of hosts that arrive seconds late, after later calls, neither bring a removed host back nor undo a drain.
func TestSimulationKeepsGuaranteesWithLateHostCalls(t *testing.T) {
	served := 0
	build := func(seed uint64) *simulation {
		sim := newClusterSimulation(seed, 3, 9)
		sim.cluster.lateCalls = true
		sim.cluster.leaveFirst = seed%2 == 0
		return sim
	}
	simulateAll(t, seedCount()/4, build, func(sim *simulation) { served += sim.served })
	if *onlySeed < 0 {
		require.Greater(t, served, 300*seedCount()/4, "too little was served for this to prove anything")
	}
}

// Clients authenticate with keys that are continually added, revoked and replaced.
func TestSimulationKeepsGuaranteesWithTenants(t *testing.T) {
	served, runs, denials, removed, count := 0, 0, 0, 0, max(1, seedCount()/4)
	build := func(seed uint64) *simulation { return newSimulationWithTenants(seed, 3, 9) }
	simulateAll(t, count, build, func(sim *simulation) {
		served += sim.served
		runs += sim.tenants.executedUnderKey
		denials += sim.tenants.denials
		removed += sim.tenants.removed
	})
	if *onlySeed >= 0 {
		return
	}
	require.Greater(t, served, 300*count, "too little was served for this to prove anything")
	require.Greater(t, runs, 300*count, "too few statements of tenants for this to prove anything")
	require.Greater(t, denials, 10*count, "too few denials for this to prove anything")
	require.Greater(t, removed, 8*count, "too few keys were revoked for this to prove anything")
	t.Logf("%d simulations, %d statements served, %d keys taken away, %d denials", count, served, removed, denials)
}

func TestSimulationIsDeterministic(t *testing.T) {
	type result struct {
		report         string
		served, events int
	}
	for _, build := range []func(uint64, int, int) *simulation{newSimulation, newClusterSimulation, newSimulationWithTenants} {
		for seed := range uint64(4) {
			run := func() result {
				sim := build(seed+11, 3, 9)
				sim.run()
				return result{sim.report(), sim.served, sim.LastSerial}
			}
			require.Equal(t, run(), run())
		}
	}
}

// A promotion that an earlier leader asked for, and that takes effect only after the next planned move, loses acknowledged writes.
func TestLateRequestOfAnEarlierLeaderDoesNotPromoteAgain(t *testing.T) {
	const seed = 3732
	sim := newClusterSimulation(seed, 3, 9)
	sim.run()
	require.Empty(t, sim.Violations, sim.report())
}
