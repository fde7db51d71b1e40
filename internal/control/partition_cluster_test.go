package control

import (
	"fmt"
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

// safeguard is one of the mechanisms that a test takes out, to see that the simulation detects it.
type safeguard string

const (
	noSafeguard        safeguard = ""
	leaderLeaseCheck   safeguard = "leader lease check" // before an API call is processed
	clockDriftBound    safeguard = "clock drift bound"
	heartbeatSendTimes safeguard = "heartbeat send times" // the leader's lease counts from when its heartbeats were sent
	leaderStickiness   safeguard = "leader stickiness"    // no votes while a leader is heard of
)

// blockMode is what becomes of frames on a partitioned connection.
type blockMode string

const (
	dropFrames  blockMode = "frames dropped"
	delayFrames blockMode = "frames delayed" // most come once the partition ends
)

// partitionCluster simulates members whose clocks drift apart on a network with partitions, one way or both, that drop or
// delay frames for many seconds; operators that update the configuration, repeat calls without a response, and read; and
// proxies that renew leases. Faults have no budget: whatever happens, at most one member may hold the leader's lease, each
// response must be correct, and no proxy may hold a lease longer than the leader accounts for. One unit of time is 1 ms.
type partitionCluster struct {
	*scheduler.Scheduler
	members          []*partitionMember
	proxies          []*partitionProxy
	operators        []*partitionOperator
	drift            float64
	removedSafeguard safeguard
	calm             bool
	operatorsStopped bool
	delayed          []func() // deliveries that wait for the end of a partition

	applied          []appliedVersion // all versions in their order; the first stands for none
	confirmed        int              // updates
	conflicts        int              // responses with status 412
	reads            int
	delayedResponses int // of members that were suspended between processing a call and responding
	leases           int
}

// appliedVersion is a version of the configuration that some member has applied.
type appliedVersion struct {
	generation     int64
	digest         [16]byte
	appliedAt      int64 // when it was first seen at a member
	acknowledgedAt int64 // when a caller first got it in a response; 0: not yet
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
	checkedIndex uint64               // up to which checkApplied has looked
	blocked      map[string]blockMode // by the address of the receiver
	links        map[*partitionLink]bool
}

func newPartitionCluster(seed uint64, size, proxies int, drift float64, removedSafeguard safeguard) *partitionCluster {
	c := &partitionCluster{Scheduler: scheduler.New(seed, 1<<30, 1), drift: drift, removedSafeguard: removedSafeguard, applied: []appliedVersion{{acknowledgedAt: 1}}}
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

func (c *partitionCluster) clockRate() float64 { return 1 + c.drift*(2*c.Rand.Float64()-1) }

func (m *partitionMember) start() {
	c := m.cluster
	m.StartIncarnation()
	m.links = map[*partitionLink]bool{}
	m.clockRate, m.startedAt, m.checkedIndex = c.clockRate(), c.Now, 0
	nodeSettings := settingsAt(m.ip)
	nodeSettings.FaultBudget.Machines = len(c.members) / 2
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

// time is the member's monotonic clock.
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
		after += c.Between(0, 150) // timers are late
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
	if !c.calm && c.OneIn(60) {
		latency = c.Between(5, 900)
	}
	if !c.calm && c.OneIn(150) {
		latency = c.Between(900, 20000) // long after what it responds to
	}
	arrive := func() {
		received := c.tamper(frame)
		to.run(to.Incarnation(), func() { to.server.HandleFrame(from.ip, received) })
	}
	mode, blocked := from.blocked[to.ip]
	switch {
	case mode == delayFrames && !c.OneIn(3):
		c.delayed = append(c.delayed, arrive)
	case blocked:
	default:
		c.After(latency, arrive)
	}
}

// tamper takes out a safeguard of the consensus messages.
func (c *partitionCluster) tamper(frame *rpc.Frame) *rpc.Frame {
	if frame.Consensus == nil {
		return frame
	}
	message := *frame.Consensus
	switch {
	case c.removedSafeguard == heartbeatSendTimes && message.Type == consensus.MsgHeartbeatResponse: // counted from the response
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
	if !c.calm && c.OneIn(80) {
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
	for link := range m.links {
		link.close()
	}
}

func (m *partitionMember) freeze(span int64) {
	c, incarnation := m.cluster, m.Incarnation()
	if m.Suspended() || !m.Up() {
		return
	}
	m.Suspend()
	c.After(span, func() { m.Resume(incarnation) })
}

// call makes an API call at a member. The response may be delayed by a suspension of the process after it was decided.
func (m *partitionMember) call(method, path, base string, body []byte, respond Responder) {
	c, incarnation := m.cluster, m.Incarnation()
	delayedRespond := func(status int, response []byte) {
		if !c.calm && c.OneIn(60) {
			c.delayedResponses++
			m.freeze(c.Between(20, 3000))
		}
		m.run(incarnation, func() { c.After(c.Between(1, 4), func() { respond(status, response) }) })
	}
	c.After(c.Between(1, 4), func() {
		m.run(incarnation, func() {
			if c.removedSafeguard == leaderLeaseCheck && m.server.leading { // whoever was the last leader processes it
				target, id, _ := findEndpoint(method, path)
				target.handle(m.server, id, apiCall{method, path, base, body}, delayedRespond)
				return
			}
			m.server.HandleCall(method, path, base, body, delayedRespond)
		})
	})
}

func (c *partitionCluster) run(span int64, wild bool) {
	c.After(1500, func() { c.injectFault(wild) })
	c.RunFor(span)
	c.calm = true
	for _, m := range c.members {
		clear(m.blocked)
	}
	c.RunFor(6000)
	before := c.confirmed
	c.RunFor(4000)
	if c.confirmed < before+3 {
		c.Violate("%d updates are confirmed in 4 s without faults", c.confirmed-before)
	}
	c.checkNothingLost()
}

// checkNothingLost asserts that the leader knows the latest acknowledged versions.
func (c *partitionCluster) checkNothingLost() {
	for i, version := range c.applied {
		if version.acknowledgedAt == 0 || i == 0 || i <= len(c.applied)-100 {
			continue
		}
		for _, m := range c.members {
			if m.Up() && m.server.leading && !slices.ContainsFunc(m.server.state.AppliedUpdates, func(update statemachine.AppliedUpdate) bool { return update.Digest == version.digest }) {
				c.Violate("LOST: version %d was acknowledged and is gone", version.generation)
			}
		}
	}
}

func (c *partitionCluster) report() string {
	return strings.Join(c.Violations, "\n") + "\nafter\n" + strings.Join(c.FaultLog, "\n")
}

// checkInvariants is called after each step: all members have applied the same sequence of versions, at most one member holds
// the leader's lease, and no proxy under a lease is behind what the leader assumes that all proxies have applied.
func (c *partitionCluster) checkInvariants() {
	var holder *partitionMember
	for _, m := range c.members {
		if !m.Up() {
			continue
		}
		c.checkApplied(m)
		if m.server.consensus.HoldsLease(m.server.clock.Now()) { // a suspended one counts: it may resume at any moment
			if holder != nil {
				c.Violate("%s and %s both hold the leader lease", holder.ip, m.ip)
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
			c.Violate("%s has applied %d and holds a lease, leader %s assumes that all have applied %d", p.name, p.applied, holder.ip, index)
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
	first := max(1, c.indexOf(updates[0].Digest)) // older ones are no longer remembered
	for i, update := range updates {
		generation := m.server.state.Generation // the base of the next one
		if i+1 < len(updates) {
			generation = updates[i+1].BaseVersion
		}
		switch position := first + i; {
		case position >= len(c.applied):
			c.applied = append(c.applied, appliedVersion{generation: generation, digest: update.Digest, appliedAt: c.Now})
		case c.applied[position].generation != generation || c.applied[position].digest != update.Digest:
			c.Violate("%s applied version %d as number %d, where %d was", m.ip, generation, position, c.applied[position].generation)
		}
	}
}

// indexOf returns the position in applied of the version with a digest, or -1.
func (c *partitionCluster) indexOf(digest [16]byte) int {
	return slices.IndexFunc(c.applied, func(version appliedVersion) bool { return version.digest == digest })
}

// newestAcknowledged returns the position in applied of the newest version that a caller got in a response by a moment.
func (c *partitionCluster) newestAcknowledged(by int64) int {
	for i := len(c.applied) - 1; i > 0; i-- {
		if at := c.applied[i].acknowledgedAt; at > 0 && at <= by {
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
