package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/simulation/memberdisk"
	"ferrypitch/internal/simulation/memberprocess"
	"ferrypitch/internal/simulation/scheduler"
	"ferrypitch/internal/statemachine"
)

// safeguard is a mechanism that a test removes to verify that the simulation detects its absence.
type safeguard string

const (
	noSafeguard        safeguard = ""
	leaderLeaseCheck   safeguard = "leader lease check" // before an API call is processed
	clockDriftBound    safeguard = "clock drift bound"
	heartbeatSendTimes safeguard = "heartbeat send times" // the leader lease starts when the heartbeats were sent
	leaderStickiness   safeguard = "leader stickiness"    // members grant no votes while they receive heartbeats from a leader
)

// blockMode is the effect of a partition on frames.
type blockMode string

const (
	dropFrames  blockMode = "frames dropped"
	delayFrames blockMode = "frames delayed" // most frames arrive when the partition ends
)

// partitionCluster simulates members whose clocks drift apart, on a network with partitions in one or both directions that drop
// or delay frames for many seconds; operators that update the configuration, retry calls without a response, and read; and
// proxies that renew leases. The number of faults is not limited. At all times, at most one member may hold the leader lease,
// each response must be correct, and no proxy may hold a lease longer than the leader assumes. One unit of time is 1 ms.
type partitionCluster struct {
	*scheduler.Scheduler
	members           []*partitionMember
	proxies           []*partitionProxy
	operators         []*partitionOperator
	drift             float64
	removedSafeguard  safeguard
	faultsDisabled    bool
	operatorsStopped  bool
	delayedDeliveries []func()   // deliveries that wait for the end of a partition
	seedRand          *rand.Rand // draws the SeedPeers of each start

	applied          []appliedVersion // all versions in order of application; the first represents the empty configuration
	confirmed        int              // number of confirmed updates
	conflicts        int              // number of responses with status 412
	reads            int
	delayedResponses int // responses of members that were suspended between processing a call and responding
	leases           int
}

// appliedVersion is a version of the configuration that at least one member has applied.
type appliedVersion struct {
	generation     int64
	digest         [16]byte
	appliedAt      int64 // time at which it was first seen on a member
	acknowledgedAt int64 // time of the first response that confirmed or returned it; 0 if there was none
}

type partitionMember struct {
	memberprocess.Process

	cluster      *partitionCluster
	ip           string
	server       *Server
	clockRate    float64
	startedAt    int64
	identity     storage.Identity
	disk         memberdisk.Disk
	checkedIndex uint64               // index of the state that checkApplied checked last
	blocked      map[string]blockMode // by receiver address
	links        []*partitionLink     // open connections of proxies, the oldest first
}

func newPartitionCluster(seed uint64, size, proxies int, drift float64, removedSafeguard safeguard) *partitionCluster {
	c := &partitionCluster{Scheduler: scheduler.New(seed, 1<<30, 1), drift: drift, removedSafeguard: removedSafeguard, applied: []appliedVersion{{acknowledgedAt: 1}}}
	c.seedRand = rand.New(rand.NewPCG(seed, seedPeersStream))
	var founders []consensus.ID
	for i := range size {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for i := range size {
		m := &partitionMember{cluster: c, ip: string(founders[i]), identity: storage.Identity{ID: founders[i], Founders: founders}, blocked: map[string]blockMode{}}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.start()
	}
	for i := range proxies {
		p := &partitionProxy{cluster: c, name: fmt.Sprintf("r%d", i), clockRate: c.clockRate()}
		c.proxies = append(c.proxies, p)
		p.start()
	}
	for i := range 3 {
		o := &partitionOperator{cluster: c, number: i}
		c.operators = append(c.operators, o)
		c.After(c.Between(300, 900), o.next)
	}
	return c
}

// seedPeersStream is the stream of the random generator that draws SeedPeers.
const seedPeersStream = 3

// drawSeeds returns SeedPeers for the start of a process: three addresses of members, the process itself perhaps among them, and
// one that is gone.
func (c *partitionCluster) drawSeeds() []string {
	addresses := []string{"10.0.0.99:8080"}
	for _, m := range c.members {
		addresses = append(addresses, m.ip+":8080")
	}
	c.seedRand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:3]
}

func (c *partitionCluster) clockRate() float64 { return 1 + c.drift*(2*c.Rand.Float64()-1) }

func (m *partitionMember) start() {
	c := m.cluster
	m.StartIncarnation()
	m.links = nil
	m.clockRate, m.startedAt, m.checkedIndex = c.clockRate(), c.Now, 0
	nodeSettings := settingsAt(m.ip)
	nodeSettings.FaultBudget.Machines = len(c.members) / 2
	nodeSettings.SeedPeers = c.drawSeeds()
	server, err := New(nodeSettings, hclog.NewNullLogger(), eventloop.NewMonotonicClock(m.time), m.identity, m.disk.Restart(), c.Rand.Float64, uint64(m.Incarnation()))
	if err != nil {
		panic(err)
	}
	incarnation := m.Incarnation()
	m.server = server
	server.SetEnvironment(Environment{
		Send:      m.send,
		Persist:   func(writes []consensus.Write) { m.persist(incarnation, writes) },
		QueryHost: func(failover.HostQuery, statemachine.Host) {},
		Promote:   func(failover.Promotion) {},
	})
	m.tick(incarnation)
}

// time returns the time on the member's monotonic clock.
func (m *partitionMember) time() time.Time {
	return time.Unix(1e9, 0).Add(time.Duration(float64(m.cluster.Now-m.startedAt) * m.clockRate * 1e6))
}

func (m *partitionMember) run(incarnation int, step func()) {
	m.Run(incarnation, func() {
		step()
		m.cluster.checkInvariants()
	})
}

func (m *partitionMember) tick(incarnation int) {
	c := m.cluster
	after := int64(50 / m.clockRate)
	if c.OneIn(40) {
		after += c.Between(0, 150) // late timer
	}
	c.After(after, func() {
		m.run(incarnation, func() {
			m.server.Tick()
			m.tick(incarnation)
		})
	})
}

func (m *partitionMember) send(ip string, frame *rpc.Frame) {
	for _, to := range m.cluster.members {
		if to.ip == ip && to != m {
			m.cluster.deliver(m, to, frame)
		}
	}
}

func (c *partitionCluster) deliver(from, to *partitionMember, frame *rpc.Frame) {
	latency := c.Between(1, 4)
	if !c.faultsDisabled && c.OneIn(60) {
		latency = c.Between(5, 900)
	}
	if !c.faultsDisabled && c.OneIn(150) {
		latency = c.Between(900, 20000) // later than the timeout of the call that it responds to
	}
	arrive := func() {
		received := c.removeSafeguard(frame)
		to.run(to.Incarnation(), func() { to.server.HandleFrame(from.ip, received) })
	}
	mode, blocked := from.blocked[to.ip]
	switch {
	case mode == delayFrames && !c.OneIn(3):
		c.delayedDeliveries = append(c.delayedDeliveries, arrive)
	case blocked:
	default:
		c.After(latency, arrive)
	}
}

// removeSafeguard modifies consensus messages to disable a safeguard.
func (c *partitionCluster) removeSafeguard(frame *rpc.Frame) *rpc.Frame {
	if frame.Consensus == nil {
		return frame
	}
	message := *frame.Consensus
	switch {
	case c.removedSafeguard == heartbeatSendTimes && message.Type == consensus.MsgHeartbeatResponse: // the lease starts at the response
		message.SentAtMs = 1 << 60
	case c.removedSafeguard == leaderStickiness && message.Type == consensus.MsgVoteRequest:
		message.LeadershipTransfer = true
	default:
		return frame
	}
	return &rpc.Frame{Consensus: &message}
}

func (m *partitionMember) persist(incarnation int, writes []consensus.Write) {
	c := m.cluster
	m.disk.Write(writes)
	sequence := writes[len(writes)-1].Seq
	duration := c.Between(0, 5)
	if !c.faultsDisabled && c.OneIn(80) {
		duration = c.Between(50, 600)
	}
	c.After(duration, func() {
		m.run(incarnation, func() {
			m.disk.Sync(sequence)
			m.server.Persisted(sequence)
		})
	})
}

func (m *partitionMember) crash(powerLoss bool) {
	m.End()
	m.disk.Crash(func() bool { return !powerLoss && !m.cluster.OneIn(2) })
	for _, link := range slices.Clone(m.links) { // closing a link removes it
		link.close()
	}
}

func (m *partitionMember) suspendFor(span int64) {
	c, incarnation := m.cluster, m.Incarnation()
	if m.Suspended() || !m.Up() {
		return
	}
	m.Suspend()
	c.After(span, func() { m.Resume(incarnation) })
}

// call makes an API call to a member. The member may be suspended after processing the call, which delays the response.
func (m *partitionMember) call(method, path, base string, body []byte, respond Responder) {
	c, incarnation := m.cluster, m.Incarnation()
	delayedRespond := func(status int, response []byte) {
		if !c.faultsDisabled && c.OneIn(60) {
			c.delayedResponses++
			m.suspendFor(c.Between(20, 3000))
		}
		m.run(incarnation, func() { c.After(c.Between(1, 4), func() { respond(status, response) }) })
	}
	c.After(c.Between(1, 4), func() {
		m.run(incarnation, func() {
			if c.removedSafeguard == leaderLeaseCheck && m.server.leading { // a former leader processes the call too
				target, id, _ := findEndpoint(method, path)
				target.handle(m.server, id, apiCall{method, path, base, body}, delayedRespond)
				return
			}
			m.server.HandleCall(method, path, base, body, delayedRespond)
		})
	})
}

// run injects faults for a time, ends them, and asserts that the members serve updates again and that no acknowledged update is
// lost.
func (c *partitionCluster) run(span int64, unlimited bool) {
	c.After(1500, func() { c.injectFault(unlimited) })
	c.RunFor(span)
	c.faultsDisabled = true
	for _, m := range c.members {
		clear(m.blocked)
	}
	c.RunFor(6000)
	before := c.confirmed
	c.RunFor(4000)
	if c.confirmed < before+3 {
		c.RecordViolation("%d updates are confirmed in 4 s without faults", c.confirmed-before)
	}
	c.checkNothingLost()
}

// checkNothingLost asserts that the state of the leader includes the latest acknowledged versions.
func (c *partitionCluster) checkNothingLost() {
	for i, version := range c.applied {
		if version.acknowledgedAt == 0 || i == 0 || i <= len(c.applied)-100 {
			continue
		}
		for _, m := range c.members {
			if m.Up() && m.server.leading && !slices.ContainsFunc(m.server.state.AppliedUpdates, func(update statemachine.AppliedUpdate) bool { return update.Digest == version.digest }) {
				c.RecordViolation("LOST: version %d was acknowledged and is gone", version.generation)
			}
		}
	}
}

func (c *partitionCluster) report() string {
	return strings.Join(c.Violations, "\n") + "\nafter\n" + strings.Join(c.FaultLog, "\n")
}

// checkInvariants asserts after each step that all members have applied the same sequence of versions, at most one member holds
// the leader lease, and each proxy with a lease has applied the index that the leader assumes all proxies have applied.
func (c *partitionCluster) checkInvariants() {
	var holder *partitionMember
	for _, m := range c.members {
		if !m.Up() {
			continue
		}
		c.checkApplied(m)
		if m.server.consensus.HoldsLease(m.server.clock.Now()) { // including a suspended member, which may resume at any time
			if holder != nil {
				c.RecordViolation("%s and %s both hold the leader lease", holder.ip, m.ip)
			}
			holder = m
		}
	}
	if holder == nil || !holder.server.leading {
		return
	}
	server := holder.server
	now, index := server.clock.Now(), server.state.Index
	for _, p := range c.proxies {
		if p.applied < index && p.hasLease() && server.grantor.AllCaughtUp(index, server.state.ProxyNames(), now) {
			c.RecordViolation("%s has applied %d and holds a lease, leader %s assumes that all have applied %d", p.name, p.applied, holder.ip, index)
		}
	}
}

func (c *partitionCluster) checkApplied(m *partitionMember) {
	if m.checkedIndex == m.server.state.Index {
		return
	}
	m.checkedIndex = m.server.state.Index
	updates := m.server.state.AppliedUpdates
	if len(updates) == 0 {
		return
	}
	first := max(1, c.indexOf(updates[0].Digest)) // the state does not retain older updates
	for i, update := range updates {
		generation := m.server.state.Generation // equals the base version of the next update
		if i+1 < len(updates) {
			generation = updates[i+1].BaseVersion
		}
		switch position := first + i; {
		case position >= len(c.applied):
			c.applied = append(c.applied, appliedVersion{generation: generation, digest: update.Digest, appliedAt: c.Now})
		case c.applied[position].generation != generation || c.applied[position].digest != update.Digest:
			c.RecordViolation("%s applied version %d as number %d, where %d was", m.ip, generation, position, c.applied[position].generation)
		}
	}
}

// indexOf returns the position in applied of the version with the given digest, or -1.
func (c *partitionCluster) indexOf(digest [16]byte) int {
	return slices.IndexFunc(c.applied, func(version appliedVersion) bool { return version.digest == digest })
}

// newestAcknowledged returns the position in applied of the newest version that was acknowledged no later than a given time.
func (c *partitionCluster) newestAcknowledged(latest int64) int {
	for i := len(c.applied) - 1; i > 0; i-- {
		if at := c.applied[i].acknowledgedAt; at > 0 && at <= latest {
			return i
		}
	}
	return 0
}

func (c *partitionCluster) acknowledge(position int) {
	if c.applied[position].acknowledgedAt == 0 {
		c.applied[position].acknowledgedAt = c.Now
	}
}
