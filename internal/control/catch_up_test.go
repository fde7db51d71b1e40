package control

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

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

// byteCostCluster simulates three members on networks and disks whose delays depend on the number of bytes, and an operator that
// changes one route after another. One unit of time is 1 ms.
type byteCostCluster struct {
	*scheduler.Scheduler
	members          []*byteCostMember
	routes           int
	acknowledged     int64  // the newest acknowledged version
	acknowledgedBody []byte // body of that version
	pendingBody      []byte // body of the update that is not acknowledged yet
	updateIntervalMs int64
	paddingBytes     int  // random bytes added to each version
	stopped          bool // whether the operator has stopped making updates
	bytesPerMs       int64
}

type byteCostMember struct {
	memberprocess.Process

	cluster      *byteCostCluster
	server       *Server
	isolated     bool
	identity     storage.Identity
	disk         memberdisk.Disk
	diskSlowdown int64            // factor by which disk writes take longer
	diskFreeAt   int64            // time at which all writes are done
	linkFreeAt   map[string]int64 // by receiver address: time at which all frames to it are sent
	sentBytes    int64            // excluding forwarded calls

	storedBytes, syncs int64
}

func newByteCostCluster(seed uint64, routes int, updateIntervalMs int64) *byteCostCluster {
	c := &byteCostCluster{Scheduler: scheduler.New(seed, 0, 1), routes: routes, updateIntervalMs: updateIntervalMs, bytesPerMs: 12500} // 100 Mbit/s
	var founders []consensus.ID
	for i := range 3 {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for _, id := range founders {
		m := &byteCostMember{cluster: c, identity: storage.Identity{ID: id, Founders: founders}, diskSlowdown: 1}
		c.members = append(c.members, m)
		m.start()
	}
	c.After(1500, c.update)
	return c
}

func (m *byteCostMember) ip() string { return m.identity.ID.Address() }

func (m *byteCostMember) start() {
	c := m.cluster
	m.StartIncarnation()
	m.linkFreeAt, m.diskFreeAt = map[string]int64{}, 0
	clock := eventloop.NewMonotonicClock(func() time.Time { return time.UnixMilli(c.Now) })
	server, err := New(settingsAt(m.ip()), hclog.NewNullLogger(), clock, m.identity, m.disk.Restart(), c.Rand.Float64, uint64(m.Incarnation()))
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
	m.tick(incarnation)
}

func (m *byteCostMember) tick(incarnation int) {
	m.Run(incarnation, func() {
		m.server.Tick()
		if currentLeader := m.cluster.leader(); currentLeader == m && m.server.state.Generation < m.cluster.acknowledged {
			m.cluster.RecordViolation("%s leads with version %d, %d was acknowledged", m.identity.ID, m.server.state.Generation, m.cluster.acknowledged)
		}
		m.cluster.After(50, func() { m.tick(incarnation) })
	})
}

func (m *byteCostMember) send(ip string, frame *rpc.Frame) {
	c, size := m.cluster, int64(200)
	if frame.Consensus != nil {
		for _, e := range frame.Consensus.Entries {
			size += int64(len(e.Data))
		}
		if frame.Consensus.Chunk != nil {
			size += int64(len(frame.Consensus.Chunk.Data))
		}
	}
	if m.sentBytes += size; frame.ForwardRequest != nil {
		size += int64(len(frame.ForwardRequest.Body))
	}
	m.linkFreeAt[ip] = max(m.linkFreeAt[ip], c.Now) + size/c.bytesPerMs
	for _, to := range c.members {
		if to.ip() == ip && to != m {
			incarnation := to.Incarnation()
			c.After(m.linkFreeAt[ip]-c.Now+c.Between(1, 4), func() {
				if !m.isolated && !to.isolated {
					to.Run(incarnation, func() { to.server.HandleFrame(m.ip(), frame) })
				}
			})
		}
	}
}

func (m *byteCostMember) persist(incarnation int, writes []consensus.Write) {
	c, size := m.cluster, 0
	for _, write := range writes {
		for _, e := range write.Entries {
			size += len(e.Data)
		}
		if write.Snapshot != nil {
			size += len(write.Snapshot.Data)
		}
	}
	m.storedBytes, m.syncs = m.storedBytes+int64(size), m.syncs+1
	m.disk.Write(writes)
	sequence := writes[len(writes)-1].Seq
	m.diskFreeAt = max(m.diskFreeAt, c.Now) + (1+int64(size)/100_000)*m.diskSlowdown
	c.After(m.diskFreeAt-c.Now, func() {
		m.Run(incarnation, func() {
			m.disk.Sync(sequence)
			m.server.Persisted(sequence)
		})
	})
}

// configuration returns the body of a version. Each version changes one route.
func (c *byteCostCluster) configuration(version int64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Generation":%d,"Routes":[`, version)
	for i := range c.routes {
		deadline := 800
		if int64(i) == version%int64(c.routes) {
			deadline = int(version)
		}
		fmt.Fprintf(&b, `%s{"Name":"r%d","Host":"db%d","PathPrefix":"/","Kind":"leader","DeadlineMs":%d,"TargetMs":150,"Priority":1,"Service":"s","MaxTries":2}`,
			[]string{"", ","}[min(i, 1)], i, i, deadline)
	}
	b.WriteString(`],"Services":[{"Name":"s","MaxConns":57}],"More":"`)
	for range c.paddingBytes {
		b.WriteByte(byte('a' + c.Rand.IntN(26)))
	}
	b.WriteString(`"}`)
	return b.Bytes()
}

// update sends an update to random members until it is acknowledged, and then makes the next one.
func (c *byteCostCluster) update() {
	if c.stopped {
		return
	}
	next := c.acknowledged + 1
	c.pendingBody = c.configuration(next)
	body, done := c.pendingBody, false
	var try func()
	try = func() {
		if done {
			return
		}
		m := c.members[c.Rand.IntN(3)]
		if currentLeader := c.leader(); currentLeader != nil && !c.OneIn(4) {
			m = currentLeader
		}
		m.Run(m.Incarnation(), func() {
			m.server.HandleCall(http.MethodPost, "/Config.Replace", fmt.Sprint(next-1), body, func(status int, response []byte) {
				switch {
				case status == http.StatusOK && !done:
					done, c.acknowledged, c.acknowledgedBody = true, next, body
					c.After(c.updateIntervalMs, c.update)
				case status < 500 && status != http.StatusOK:
					c.RecordViolation("version %d is rejected: %d %s", next, status, response)
				}
			})
		})
		c.After(300, try)
	}
	try()
}

func (c *byteCostCluster) leader() *byteCostMember {
	for _, m := range c.members {
		if m.Up() && !m.isolated && m.server.leading && m.server.consensus.HoldsLease(m.server.clock.Now()) {
			return m
		}
	}
	return nil
}

// checkAgreement asserts that members at the same index have the same state.
func (c *byteCostCluster) checkAgreement() {
	for i, a := range c.members {
		for _, b := range c.members[:i] {
			if a.Up() && b.Up() && !a.server.diverged && !b.server.diverged && a.server.state.Index == b.server.state.Index && a.server.state.Checksum() != b.server.state.Checksum() {
				c.RecordViolation("%s and %s differ at %d", a.ip(), b.ip(), a.server.state.Index)
			}
		}
	}
}

// outage is the reason why a member misses changes.
type outage int

const (
	diskLost outage = iota
	restarted
	isolated
	restoredFromOldFile
	outageKinds
)

func (a outage) String() string {
	return [...]string{"lost its disk", "restarted", "isolated", "restored from an older file"}[a]
}

// simulateOutage makes a member miss changes for a random time. It returns with a disk that may be slow.
func (m *byteCostMember) simulateOutage(seed int, kind outage) {
	c := m.cluster
	old := m.disk.Copy()
	if kind == restoredFromOldFile {
		c.RunFor(c.Between(500, 6000))
	}
	if kind == isolated {
		m.isolated = true
	} else {
		m.End()
		m.disk.Crash(func() bool { return false })
	}
	c.RunFor(c.Between(100, 9000))
	if m.diskSlowdown = 1; c.OneIn(2) {
		m.diskSlowdown = 25
	}
	switch kind {
	case diskLost:
		m.identity, m.disk = storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%d", m.ip(), seed))}, memberdisk.Disk{}
		m.start()
	case restarted:
		m.start()
	case restoredFromOldFile:
		m.disk = old
		m.start()
	}
	m.isolated = false
}

// checkCatchUp asserts that a member that was unavailable has everything that was acknowledged so far within 4 s. It returns the
// time until then in milliseconds.
func (m *byteCostMember) checkCatchUp(kind outage) (caughtUpAfter int64) {
	c := m.cluster
	acknowledged := c.acknowledged
	caughtUp := func() bool { return m.server.state.Generation >= acknowledged && !m.server.diverged }
	caughtUpAfter = -1
	for after := int64(20); after <= 4000; after += 20 {
		if c.RunFor(20); caughtUpAfter < 0 && caughtUp() {
			caughtUpAfter = after
		}
	}
	if !caughtUp() {
		c.RecordViolation("%s (%s, disk %d times slow) has version %d, %d was acknowledged before it came back", m.identity.ID, kind, m.diskSlowdown,
			m.server.state.Generation, acknowledged)
	}
	c.checkAgreement()
	return caughtUpAfter
}

// checkPowerLoss crashes all members, restarts them within 400 ms, and asserts that 2 s after the last start the leader serves
// everything that was acknowledged, and that all members have it 1.5 s later.
func (c *byteCostCluster) checkPowerLoss() {
	for _, m := range c.members {
		m.End()
		m.diskSlowdown = 1
	}
	acknowledged, body, pending := c.acknowledged, c.acknowledgedBody, c.pendingBody
	c.stopped = true
	for _, m := range c.members {
		c.After(c.Between(0, 400), m.start)
	}
	c.RunFor(400 + 2000)
	if leader := c.leader(); leader == nil {
		c.RecordViolation("no leader 2 s after the last start")
	} else if state := leader.server.state; state.Generation < acknowledged || !bytes.Equal(state.ConfigBody, body) && !bytes.Equal(state.ConfigBody, pending) {
		c.RecordViolation("version %d is served, %d was acknowledged", state.Generation, acknowledged)
	}
	c.RunFor(1500)
	c.checkAgreement()
	for _, m := range c.members {
		if m.server.state.Generation < acknowledged || m.server.StateDivergences.Load() > 0 {
			c.RecordViolation("%s has version %d of %d, diverged %d times", m.identity.ID, m.server.state.Generation, acknowledged, m.server.StateDivergences.Load())
		}
	}
}

// A member that missed any number of changes catches up within CatchupS while changes continue, on a slow disk and with up to
// 2,000 routes. After a power loss of all members, everything that was acknowledged is served within 2 s of the last start.
func TestCatchUpUnderLoadAndRecoveryFromPowerLoss(t *testing.T) {
	seeds := 12
	if testing.Short() {
		seeds = 5
	}
	snapshots := int64(0)
	for seed := range seeds {
		c := newByteCostCluster(uint64(seed), []int{10, 300, 40, 100, 10, 2000, 20, 10, 40, 900, 20, 10}[seed%12], []int64{60, 20, 5}[seed%3])
		c.RunFor(4000)
		for before := int64(c.Rand.IntN(900)); c.acknowledged < before && c.routes < 900 && c.Now < 60_000; {
			c.RunFor(500)
		}
		m := c.members[c.Rand.IntN(3)]
		if currentLeader := c.leader(); currentLeader != nil && c.OneIn(2) {
			m = currentLeader
		}
		kind := outage(c.Rand.IntN(int(outageKinds)))
		m.simulateOutage(seed, kind)
		behind := c.acknowledged - m.server.state.Generation
		after := m.checkCatchUp(kind)
		t.Logf("%s, %d routes, %d changes behind, a disk %d times as slow: caught up after %d ms", kind, c.routes, behind, m.diskSlowdown, after)
		snapshots += m.server.consensus.SnapshotsInstalled
		acknowledged := c.acknowledged
		c.checkPowerLoss()
		require.Empty(t, c.Violations, "seed %d, %d routes, %d changes", seed, c.routes, acknowledged)
		require.Greater(t, acknowledged, int64(20), "seed %d", seed)
	}
	require.Positive(t, snapshots, "snapshots")
}

// With large changes the log is compacted by its size in bytes, so that disk and memory hold only a few of the changes.
func TestLogIsCompactedByItsBytes(t *testing.T) {
	c := newByteCostCluster(3, 10, 20)
	c.paddingBytes = 50_000
	for c.acknowledged < 60 && c.Now < 60_000 {
		c.RunFor(500)
		for _, m := range c.members {
			bytes := 0
			for _, e := range m.disk.Durable().Entries {
				bytes += len(e.Data)
			}
			require.Less(t, bytes, minLogBytes+5*c.paddingBytes)
		}
	}
	require.GreaterOrEqual(t, c.acknowledged, int64(60))
	c.checkAgreement()
	require.Empty(t, c.Violations)
}

// divergedState returns a state with the same index and version as another but a different configuration.
func divergedState(t *testing.T, state *statemachine.State) *statemachine.State {
	diverged, err := statemachine.Restore(state.Snapshot())
	require.NoError(t, err)
	diverged.Generation--
	diverged.Index--
	diverged.AppliedUpdates = diverged.AppliedUpdates[:len(diverged.AppliedUpdates)-1] // a base version has one update
	body := bytes.Replace(diverged.ConfigBody, []byte(`"TargetMs":150`), []byte(`"TargetMs":151`), 1)
	require.NoError(t, diverged.Apply(diverged.Index+1, statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{BaseVersion: diverged.Generation, Body: body}}))
	return diverged
}

// A member whose state diverged from the log rebuilds it from its own snapshot and log, or, if its snapshot is wrong too, fetches
// the state from the leader.
func TestDivergedStateIsRebuiltOrFetched(t *testing.T) {
	for _, disk := range []bool{false, true} {
		c := newByteCostCluster(7, 20, 20)
		for c.leader() == nil || c.leader().server.consensus.LatestSnapshot().Index == 0 {
			c.RunFor(500)
		}
		c.RunFor(1000)
		var m *byteCostMember
		for _, other := range c.members {
			if other != c.leader() && len(other.disk.Durable().Snapshot.Data) > 0 {
				m = other
			}
		}
		if disk {
			m.End()
			m.disk.Crash(func() bool { return false })
			s, err := statemachine.Restore(m.disk.Durable().Snapshot.Data)
			require.NoError(t, err)
			s.Index = m.disk.Durable().Snapshot.Index
			m.disk.Durable().Snapshot.Data = divergedState(t, s).Snapshot()
			m.start()
		} else {
			m.server.state = divergedState(t, m.server.state)
		}
		c.RunFor(12000)
		require.Positive(t, m.server.StateDivergences.Load(), "disk %v", disk)
		require.Equal(t, disk, m.server.consensus.SnapshotsInstalled > 0)
		require.False(t, m.server.diverged)
		require.Greater(t, m.server.state.Generation+20, c.acknowledged)
		c.stopped = true
		c.RunFor(2000)
		c.checkAgreement()
		require.Equal(t, c.leader().server.state.Checksum(), m.server.state.Checksum(), "disk %v", disk)
		require.Empty(t, c.Violations)
	}
}
