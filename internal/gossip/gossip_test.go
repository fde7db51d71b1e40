package gossip

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/scheduler"
)

// cluster is a set of proxies on a simulated network that loses datagrams.
type cluster struct {
	*scheduler.Scheduler
	nodes       map[string]*node
	names       []string
	partitioned func(from, to string) bool // whether messages between two proxies are lost
	sent        int                        // messages sent by all proxies, including lost ones
}

type node struct {
	cluster     *cluster
	name        string
	membership  *Membership
	incarnation int
	up          bool
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{Scheduler: scheduler.New(seed, 1<<30, 1), nodes: map[string]*node{}, partitioned: func(string, string) bool { return false }}
	for i := range size {
		name := fmt.Sprintf("r%02d", i)
		c.names = append(c.names, name)
		c.nodes[name] = &node{cluster: c, name: name}
		c.nodes[name].start()
	}
	return c
}

func (n *node) start() {
	n.incarnation++
	n.up = true
	n.membership = New(n.name, n.name, uint64(n.incarnation)<<32, DefaultConfig(), n.cluster.Rand.IntN, n.cluster.Now)
	n.send(n.membership.AddSeeds([]string{"r00", "r01"}, n.cluster.Now))
	n.tick(n.incarnation)
}

func (n *node) tick(incarnation int) {
	if n.up && n.incarnation == incarnation {
		n.send(n.membership.Tick(n.cluster.Now))
		n.cluster.After(max(1, n.membership.NextTick()-n.cluster.Now), func() { n.tick(incarnation) })
	}
}

func (n *node) send(messages []Outgoing) {
	c := n.cluster
	for _, o := range messages {
		c.sent++
		to := c.nodes[o.To]
		if c.OneIn(20) || to == nil || c.partitioned(n.name, o.To) {
			continue
		}
		c.After(c.Between(1, 5), func() {
			if to.up {
				to.send(to.membership.HandleMessage(o.Message, c.Now))
			}
		})
	}
}

func (c *cluster) requireAlive(t *testing.T, want []string) {
	t.Helper()
	for _, name := range c.names {
		if n := c.nodes[name]; n.up {
			require.Equal(t, want, n.membership.AliveNames(), "at %s", name)
			require.Equal(t, len(want), n.membership.AliveCount(), "at %s", name)
		}
	}
}

func TestAllLearnOfAllDespiteLostDatagrams(t *testing.T) {
	for seed := range 60 {
		c := newCluster(uint64(seed), 12)
		c.RunFor(25000)
		c.requireAlive(t, c.names)
	}
}

func TestDeadProxyIsRemovedEverywhereAndRejoins(t *testing.T) {
	for seed := range 60 {
		c := newCluster(uint64(seed), 9)
		c.RunFor(20000)
		dead := c.nodes["r05"]
		dead.up = false
		left := slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return n == "r05" })
		c.RunFor(20000)
		c.requireAlive(t, left)
		dead.start()
		c.RunFor(25000)
		c.requireAlive(t, c.names)
	}
}

func TestIndirectProbesKeepAProxyThatOnlySomeCannotReach(t *testing.T) {
	removed := int64(0)
	for seed := range 40 {
		c := newCluster(uint64(seed), 8)
		c.RunFor(15000)
		before := int64(0)
		for _, n := range c.nodes {
			before += n.membership.DeclaredDead
		}
		c.partitioned = func(from, to string) bool { // one pair of proxies, in both directions
			return from == "r02" && to == "r06" || from == "r06" && to == "r02"
		}
		c.RunFor(20000)
		for _, n := range c.nodes {
			removed += n.membership.DeclaredDead
		}
		removed -= before
		c.requireAlive(t, c.names)
	}
	require.Zero(t, removed, "proxies that others can reach were declared dead")
}

func TestMessagesPerProxyDoNotGrowWithTheirNumber(t *testing.T) {
	rate := func(size int) float64 {
		c := newCluster(1, size)
		c.RunFor(20000)
		before := c.sent
		c.RunFor(20000)
		return float64(c.sent-before) / float64(size) / 20
	}
	rateOf9, rateOf120 := rate(9), rate(120)
	require.Less(t, rateOf120, 1.5*rateOf9, "%.2f messages a second with 9 proxies, %.2f with 120", rateOf9, rateOf120)
}

func TestLatestControlMembersPrevail(t *testing.T) {
	c := newCluster(7, 6)
	c.RunFor(5000)
	c.nodes["r03"].membership.SetControlMembers([]string{"a", "b", "c"}, 7)
	c.nodes["r04"].membership.SetControlMembers([]string{"old"}, 3)
	c.RunFor(20000)
	for _, n := range c.nodes {
		members, version := n.membership.ControlMembers()
		require.EqualValues(t, 7, version)
		require.Equal(t, []string{"a", "b", "c"}, members)
	}
}
