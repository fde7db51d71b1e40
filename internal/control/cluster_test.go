package control

import (
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/memberdisk"
	"ferrypitch/internal/simulation/memberprocess"
	"ferrypitch/internal/simulation/scheduler"
	"ferrypitch/internal/statemachine"
)

const (
	unitsPerMs     = int64(10) // units of simulated time
	unitsPerSecond = 1000 * unitsPerMs
)

// cluster simulates the members of a control plane without hosts and proxies. Disks lose unsynced writes, and the network can be
// partitioned in one direction.
type cluster struct {
	*scheduler.Scheduler
	members     []*clusterMember
	blocked     map[[2]string]bool // by sender and receiver address
	faultsEndAt int64              // end of the last fault
}

type clusterMember struct {
	memberprocess.Process

	cluster   *cluster
	ip        string
	server    *Server
	identity  storage.Identity
	seeds     []string // nil for the seeds of settingsAt
	disk      memberdisk.Disk
	arrivesAt map[string]int64 // arrival time of the last frame, by receiver address

	// Machines differ in the speed of their disks, timers and clocks.
	diskFactor int64 // duration of disk writes relative to the fastest disk
	tickPeriod int64 // time between ticks
	clockRate  float64
}

func newCluster(seed uint64, members int) *cluster {
	c := &cluster{Scheduler: scheduler.New(seed, unitsPerSecond, unitsPerMs), blocked: map[[2]string]bool{}}
	var founders []consensus.ID
	for i := range 3 {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for i := range members {
		m := &clusterMember{
			cluster: c, ip: fmt.Sprintf("10.0.0.%d", i+1),
			diskFactor: c.Between(1, 4), tickPeriod: c.Between(35*unitsPerMs, 50*unitsPerMs), clockRate: 0.97 + 0.06*c.Rand.Float64(),
		}
		m.identity = storage.Identity{ID: consensus.ID(m.ip + "+0")}
		if i < len(founders) {
			m.identity = storage.Identity{ID: founders[i], Founders: founders}
		}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.start()
	}
	return c
}

// settingsAt returns the settings of a member at an address. The seeds are 10.0.0.1 to 10.0.0.3.
func settingsAt(ip string) *settings.Settings {
	nodeSettings := &settings.Settings{
		Node:      "n" + ip,
		Ip:        ip,
		Zone:      "z",
		BeatMs:    1200,
		SeedPeers: []string{"10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"},
	}
	nodeSettings.FaultBudget.Machines = 1
	nodeSettings.Listen.Control = ip + ":8080"
	return nodeSettings
}

func (m *clusterMember) start() {
	c := m.cluster
	m.StartIncarnation()
	m.arrivesAt = map[string]int64{}
	nodeSettings := settingsAt(m.ip)
	if m.seeds != nil {
		nodeSettings.SeedPeers = m.seeds
	}
	server, err := New(nodeSettings, hclog.NewNullLogger(), eventloop.NewMonotonicClock(m.time), m.identity, m.disk.Restart(), c.Rand.Float64, uint64(m.Incarnation()))
	if err != nil {
		panic(err)
	}
	m.server = server
	incarnation := m.Incarnation()
	server.SetEnvironment(Environment{
		Send:      m.send,
		Persist:   func(writes []consensus.Write) { m.persist(incarnation, writes) },
		QueryHost: func(failover.HostQuery, statemachine.Host) {},
		Promote:   func(failover.Promotion) {},
	})
	m.tickFrom(incarnation)
}

// time returns the time on the member's own clock.
func (m *clusterMember) time() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(m.cluster.Now) * m.clockRate * float64(time.Millisecond) / float64(unitsPerMs)))
}

func (m *clusterMember) tickFrom(incarnation int) {
	m.Run(incarnation, func() {
		m.server.Tick()
		m.cluster.After(m.tickPeriod, func() { m.tickFrom(incarnation) })
	})
}

func (m *clusterMember) send(ip string, frame *rpc.Frame) {
	c := m.cluster
	for _, to := range c.members {
		if to.ip != ip || to == m {
			continue
		}
		m.arrivesAt[ip] = max(m.arrivesAt[ip]+1, c.Now+c.Between(unitsPerMs/2, 3*unitsPerMs))
		incarnation := to.Incarnation()
		c.After(m.arrivesAt[ip]-c.Now, func() {
			if !c.blocked[[2]string{m.ip, ip}] {
				to.Run(incarnation, func() { to.server.HandleFrame(m.ip, frame) })
			}
		})
	}
}

func (m *clusterMember) persist(incarnation int, writes []consensus.Write) {
	c := m.cluster
	m.disk.Write(writes)
	sequence := writes[len(writes)-1].Seq
	duration := c.Between(unitsPerMs/2, 3*unitsPerMs) * m.diskFactor
	if c.OneIn(100) {
		duration = c.Between(50*unitsPerMs, 600*unitsPerMs)
	}
	c.After(duration, func() {
		m.Run(incarnation, func() {
			m.disk.Sync(sequence)
			m.server.Persisted(sequence)
		})
	})
}

// crash ends the process. A power loss discards all unsynced writes; otherwise a random prefix of them is kept.
func (m *clusterMember) crash(powerLoss bool) {
	m.End()
	m.disk.Crash(func() bool { return !powerLoss && !m.cluster.OneIn(2) })
}

func (c *cluster) leader() *clusterMember {
	for _, m := range c.members {
		if m.Running() && m.server.leading && m.server.consensus.HoldsLease(m.server.clock.Now()) {
			return m
		}
	}
	return nil
}

// allVotersRunning reports whether there is a leader and every voting member is running.
func (c *cluster) allVotersRunning() bool {
	currentLeader := c.leader()
	if currentLeader == nil {
		return false
	}
	for _, id := range currentLeader.server.consensus.Members() {
		if !slices.ContainsFunc(c.members, func(m *clusterMember) bool { return m.Running() && m.identity.ID == id }) {
			return false
		}
	}
	return len(currentLeader.server.consensus.Members()) >= 3
}

// injectFault injects faults at random intervals. Faults may overlap, but a disk is lost only while there is no other fault.
func (c *cluster) injectFault(until int64) {
	if c.Now > until {
		return
	}
	c.After(c.Between(100*unitsPerMs, 2*unitsPerSecond), func() { c.injectFault(until) })
	m := c.members[c.Rand.IntN(len(c.members))]
	if currentLeader := c.leader(); currentLeader != nil && c.OneIn(2) {
		m = currentLeader
	}
	if !m.Running() {
		return
	}
	duration := c.Between(50*unitsPerMs, 3*unitsPerSecond)
	if c.OneIn(4) {
		duration = c.Between(unitsPerMs, 50*unitsPerMs) // frames in flight may outlast the fault
	}
	healthy := c.Now > c.faultsEndAt+3*unitsPerSecond
	c.faultsEndAt = max(c.faultsEndAt, c.Now+duration)
	m.randomFault(duration, healthy)
}

// randomFault injects a fault on one or all members. healthy is true if there was no other fault recently.
func (m *clusterMember) randomFault(duration int64, healthy bool) {
	c := m.cluster
	switch c.Rand.IntN(9) {
	case 0, 1:
		powerLoss := c.OneIn(2)
		c.LogFault("%s crashes, power loss %v, for %d ms", m.ip, powerLoss, duration/unitsPerMs)
		m.crash(powerLoss)
		c.After(duration, m.start)
	case 2:
		m.suspendFor(duration)
	case 3, 4:
		m.partition(duration)
	case 5:
		if c.OneIn(3) {
			c.losePower(duration)
		}
	case 6:
		c.LogFault("%s transfers its leadership", m.ip)
		m.server.processReady(m.server.consensus.TransferLeadership(m.server.clock.Now()))
	case 7:
		c.LogFault("%s takes a snapshot", m.ip)
		m.server.processReady(m.server.consensus.Compact(m.server.state.Index, m.server.state.Snapshot(), uint64(c.Rand.IntN(20)), m.server.clock.Now()))
	case 8:
		if healthy && c.allVotersRunning() {
			m.loseDisk(duration)
		}
	}
}

func (m *clusterMember) suspendFor(duration int64) {
	c, incarnation := m.cluster, m.Incarnation()
	c.LogFault("%s is suspended for %d ms", m.ip, duration/unitsPerMs)
	m.Suspend()
	c.After(duration, func() { m.Resume(incarnation) })
}

func (m *clusterMember) partition(duration int64) {
	c := m.cluster
	direction := c.Rand.IntN(3)
	c.LogFault("%s is partitioned for %d ms, direction %d", m.ip, duration/unitsPerMs, direction)
	for _, other := range c.members {
		if direction != 0 {
			c.block(m.ip, other.ip, duration)
		}
		if direction != 1 {
			c.block(other.ip, m.ip, duration)
		}
	}
}

func (c *cluster) losePower(duration int64) {
	c.LogFault("all members lose power for %d ms", duration/unitsPerMs)
	for _, m := range c.members {
		if m.Up() {
			m.crash(true)
			c.After(duration+c.Between(0, 300*unitsPerMs), m.start)
		}
	}
}

// loseDisk restarts a member without its data, under a new identity.
func (m *clusterMember) loseDisk(duration int64) {
	c := m.cluster
	c.LogFault("%s loses its disk, down for %d ms", m.ip, duration/unitsPerMs)
	m.crash(true)
	m.disk.Erase()
	m.identity = storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%d", m.ip, m.Incarnation()))}
	c.faultsEndAt += 3 * unitsPerSecond
	c.After(duration, m.start)
}

func (c *cluster) block(from, to string, duration int64) {
	c.blocked[[2]string{from, to}] = true
	c.After(duration, func() { delete(c.blocked, [2]string{from, to}) })
}

func (c *cluster) runGuarded(span int64) {
	defer func() {
		if p := recover(); p != nil {
			c.RecordViolation("panic: %v\n%s", p, debug.Stack())
		}
	}()
	c.RunFor(span)
}

func (c *cluster) report() string {
	return strings.Join(c.Violations, "\n") + "\nafter these faults:\n" + strings.Join(c.FaultLog, "\n")
}
