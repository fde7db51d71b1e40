package proxy

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
)

const (
	simulatedKey  = "k7"
	limitedTenant = `"Tenants":[{"Name":"t7","ApiKeys":["` + simulatedKey + `"],"RatePerS":20,"Burst":5}],`
)

var (
	simulatedLimit  = quota.Limit{RatePerS: 20, Burst: 5}
	simulatedBounds = settings.Bounds{QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 5}
)

// configBody returns the initial configuration with the tenants of the simulation.
func (c *controlCluster) configBody() string {
	return strings.Replace(initialConfig, `"Services":`, c.tenants+`"Services":`, 1)
}

// recordOperation records an operation that a host executes for a client: a statement outside transactions, or a BEGIN.
func (c *simulatedHostConn) recordOperation(verb string) {
	sim := c.proxy.sim
	if sim.cluster == nil || sim.cluster.tenants == "" || c.State == stateInTransaction || verb == "COMMIT" || verb == "ABORT" {
		return
	}
	sim.cluster.operations = append(sim.cluster.operations, sim.Now)
}

// maxOperationsInWindow returns the maximum number of operations in any window of five seconds, the window of the quota.
func (c *controlCluster) maxOperationsInWindow() (most int) {
	slices.Sort(c.operations)
	first := 0
	for i, at := range c.operations {
		for c.operations[first] <= at-5*second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func newQuotaSimulation(seed uint64) *simulation {
	sim := newClusterSimulation(seed, 3, 30)
	sim.cluster.tenants, sim.cluster.proxyVersion = limitedTenant, rpc.ProtocolVersion
	return sim
}

// While members, proxies, links and hosts fail and all clients belong to one tenant, no window has more operations than the tenant's
// quota allows.
func TestSimulationKeepsTheLimitOfATenant(t *testing.T) {
	tolerance := quota.Tolerance{WindowS: simulatedBounds.QuotaWindowS, Excess: simulatedBounds.QuotaExcess, Slack: simulatedBounds.QuotaSlack}
	allowed, count := tolerance.MaxInWindow(simulatedLimit), max(1, seedCount()/20)
	operations, refused, most := 0, int64(0), 0
	simulateAll(t, count, newQuotaSimulation, func(sim *simulation) {
		operations += len(sim.cluster.operations)
		most = max(most, sim.cluster.maxOperationsInWindow())
		for _, p := range sim.proxies {
			refused += p.server.counters.quotaRefused.Load()
		}
	})
	t.Logf("%d operations, at most %d in a window of %.1f allowed, %d refused", operations, most, allowed, refused)
	require.LessOrEqual(t, float64(most), allowed)
	require.Greater(t, operations, 100*count)
	require.Greater(t, refused, int64(count), "the limit was not reached")
}
