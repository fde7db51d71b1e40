package control

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/scheduler"
)

// A mill is three members on links and disks that take their time by the byte, and an operator who changes one route
// after another.
type byteCostCluster struct {
	*scheduler.Scheduler
	members          []*byteCostMember
	routes           int
	acknowledged     int64  // the newest that was acknowledged
	acknowledgedBody []byte // of it
	pendingBody      []byte // under way
	updateIntervalMs int64
	paddingBytes     int  // bytes that are new in each version
	stopped          bool // no more changes
	bytesPerMs       int64
}

type byteCostMember struct {
	cluster      *byteCostCluster
	server       *Server
	up           bool
	isolated     bool
	incarnation  int
	identity     storage.Identity
	disk         consensus.RestoredState
	unsynced     []consensus.Write
	diskSlowdown int64 // how many times as long its disk takes
	diskFreeAt   int64 // when its disk is done with what it was given
	linkFreeAt   map[string]int64
	sentBytes    int64 // sent, without calls that were passed on

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
	m.incarnation++
	m.up, m.unsynced, m.linkFreeAt, m.diskFreeAt = true, nil, map[string]int64{}, 0
	nodeSettings := &settings.Settings{Node: "n" + m.ip(), Ip: m.ip(), BeatMs: 1200, SeedPeers: []string{"10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"}}
	nodeSettings.FaultBudget.Machines = 1
	nodeSettings.Listen.Control = m.ip() + ":8080"
	restored := m.disk
	restored.Entries = slices.Clone(restored.Entries)
	clock := eventloop.NewSteadyClock(func() time.Time { return time.UnixMilli(c.Now) })
	server, err := New(nodeSettings, hclog.NewNullLogger(), clock, m.identity, restored, c.Rand.Float64, uint64(m.incarnation))
	if err != nil {
		panic(err)
	}
	m.server = server
	incarnation := m.incarnation
	server.SetEnvironment(Environment{Send: m.send, Persist: func(x []consensus.Write) { m.persist(incarnation, x) }, QueryHost: func(failover.HostQuery, statemachine.Host) {}, Promote: func(failover.Promotion) {}})
	m.tick(incarnation)
}

func (m *byteCostMember) tick(incarnation int) {
	m.run(incarnation, func() {
		m.server.Tick()
		if l := m.cluster.leader(); l == m && m.server.state.Generation < m.cluster.acknowledged {
			m.cluster.Violate("%s leads with version %d, %d was acknowledged", m.identity.ID, m.server.state.Generation, m.cluster.acknowledged)
		}
		m.cluster.After(50, func() { m.tick(incarnation) })
	})
}

func (m *byteCostMember) run(incarnation int, what func()) {
	if m.up && m.incarnation == incarnation {
		what()
	}
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
			incarnation := to.incarnation
			c.After(m.linkFreeAt[ip]-c.Now+c.Between(1, 4), func() {
				if !m.isolated && !to.isolated {
					to.run(incarnation, func() { to.server.HandleFrame(m.ip(), frame) })
				}
			})
		}
	}
}

func (m *byteCostMember) persist(incarnation int, writes []consensus.Write) {
	c, size := m.cluster, 0
	for _, one := range writes {
		for _, e := range one.Entries {
			size += len(e.Data)
		}
		if one.Snapshot != nil {
			size += len(one.Snapshot.Data)
		}
	}
	m.storedBytes, m.syncs = m.storedBytes+int64(size), m.syncs+1
	m.unsynced = append(m.unsynced, writes...)
	sequence := writes[len(writes)-1].Seq
	m.diskFreeAt = max(m.diskFreeAt, c.Now) + (1+int64(size)/100_000)*m.diskSlowdown
	c.After(m.diskFreeAt-c.Now, func() {
		m.run(incarnation, func() {
			for len(m.unsynced) > 0 && m.unsynced[0].Seq <= sequence {
				m.disk.ApplyWrite(m.unsynced[0])
				m.unsynced = m.unsynced[1:]
			}
			m.server.Persisted(sequence)
		})
	})
}

// configuration is that of a version: one route is changed in each.
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

// update has the operator send a change, to any member, until it is acknowledged.
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
		p := c.members[c.Rand.IntN(3)]
		if l := c.leader(); l != nil && !c.OneIn(4) {
			p = l
		}
		p.run(p.incarnation, func() {
			p.server.HandleCall(http.MethodPost, "/Config.Replace", fmt.Sprint(next-1), body, func(status int, answer []byte) {
				switch {
				case status == http.StatusOK && !done:
					done, c.acknowledged, c.acknowledgedBody = true, next, body
					c.After(c.updateIntervalMs, c.update)
				case status < 500 && status != http.StatusOK:
					c.Violate("version %d is refused: %d %s", next, status, answer)
				}
			})
		})
		c.After(300, try)
	}
	try()
}

func (c *byteCostCluster) leader() *byteCostMember {
	for _, p := range c.members {
		if p.up && !p.isolated && p.server.leading && p.server.consensus.HoldsLease(p.server.clock.Now()) {
			return p
		}
	}
	return nil
}

// checkAgreement asserts that members that stand at one place hold the same.
func (c *byteCostCluster) checkAgreement() {
	for i, a := range c.members {
		for _, b := range c.members[:i] {
			if a.up && b.up && !a.server.diverged && !b.server.diverged && a.server.state.Index == b.server.state.Index && a.server.state.Checksum() != b.server.state.Checksum() {
				c.Violate("%s and %s differ at %d", a.ip(), b.ip(), a.server.state.Index)
			}
		}
	}
}

// A member that was away, for any number of changes, is whole again within CatchupS while changes go on, on a slow disk and
// with up to 2,000 routes; and once all power is lost, what was acknowledged is served within 2 s of the last start.
func TestCatchUpUnderLoadAndRecoveryFromPowerLoss(t *testing.T) {
	seeds := 12
	if testing.Short() {
		seeds = 5
	}
	parts := int64(0)
	for seed := range seeds {
		w := newByteCostCluster(uint64(seed), []int{10, 300, 40, 100, 10, 2000, 20, 10, 40, 900, 20, 10}[seed%12], []int64{60, 20, 5}[seed%3])
		w.RunFor(4000)
		for before := int64(w.Rand.IntN(900)); w.acknowledged < before && w.routes < 900 && w.Now < 60_000; {
			w.RunFor(500)
		}
		p := w.members[w.Rand.IntN(3)]
		if l := w.leader(); l != nil && w.OneIn(2) {
			p = l
		}
		how := w.Rand.IntN(4)
		old := p.disk
		if how == 3 { // it comes back with a file of some time ago
			old.Entries = slices.Clone(old.Entries)
			w.RunFor(w.Between(500, 6000))
		}
		if how == 2 {
			p.isolated = true
		} else {
			p.up, p.unsynced = false, nil
		}
		w.RunFor(w.Between(100, 9000))
		if p.diskSlowdown = 1; w.OneIn(2) {
			p.diskSlowdown = 25
		}
		switch how {
		case 0:
			p.identity, p.disk = storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%d", p.ip(), seed))}, consensus.RestoredState{}
			p.start()
		case 1:
			p.start()
		case 3:
			p.disk = old
			p.start()
		}
		p.isolated = false
		was, behind, whole := w.acknowledged, w.acknowledged-p.server.state.Generation, int64(-1)
		for at := int64(20); at <= 4000; at += 20 {
			if w.RunFor(20); whole < 0 && p.server.state.Generation >= was && !p.server.diverged {
				whole = at
			}
		}
		t.Logf("%s, %d routes, %d changes behind, a disk %d times as slow: whole after %d ms",
			[]string{"empty", "restarted", "cut off", "put back to an older file"}[how], w.routes, behind, p.diskSlowdown, whole)
		if p.server.state.Generation < was || p.server.diverged {
			w.Violate("%s (how %d, %d times slow) stands at version %d, %d was before it came back", p.identity.ID, how, p.diskSlowdown, p.server.state.Generation, was)
		}
		w.checkAgreement()
		parts += p.server.consensus.SnapshotsInstalled
		for _, o := range w.members { // all power
			o.up, o.unsynced, o.diskSlowdown = false, nil, 1
		}
		acked, body, under := w.acknowledged, w.acknowledgedBody, w.pendingBody
		w.stopped = true
		for _, o := range w.members {
			w.After(w.Between(0, 400), o.start)
		}
		w.RunFor(400 + 2000)
		switch l := w.leader(); {
		case l == nil:
			w.Violate("nobody leads 2 s after the last start")
		case l.server.state.Generation < acked || !bytes.Equal(l.server.state.ConfigBody, body) && !bytes.Equal(l.server.state.ConfigBody, under):
			w.Violate("version %d is served, %d was acknowledged", l.server.state.Generation, acked)
		}
		w.RunFor(1500)
		w.checkAgreement()
		for _, o := range w.members {
			if o.server.state.Generation < acked || o.server.StateDivergences.Load() > 0 {
				w.Violate("%s stands at version %d of %d, diverged %d", o.identity.ID, o.server.state.Generation, acked, o.server.StateDivergences.Load())
			}
		}
		require.Empty(t, w.Violations, "seed %d, %d routes, %d changes", seed, w.routes, acked)
		require.Greater(t, acked, int64(20), "seed %d", seed)
	}
	require.Positive(t, parts, "snapshots")
}

// Where changes are long, the log is trimmed by their bytes: neither disk nor memory holds more than a few of them.
func TestLogIsCompactedByItsBytes(t *testing.T) {
	w := newByteCostCluster(3, 10, 20)
	w.paddingBytes = 50_000
	for w.acknowledged < 60 && w.Now < 60_000 {
		w.RunFor(500)
		for _, p := range w.members {
			bytes := 0
			for _, e := range p.disk.Entries {
				bytes += len(e.Data)
			}
			require.Less(t, bytes, minLogBytes+5*w.paddingBytes)
		}
	}
	require.GreaterOrEqual(t, w.acknowledged, int64(60))
	w.checkAgreement()
	require.Empty(t, w.Violations)
}

// divergedState is a state at the same place and version as a member's, with another configuration.
func divergedState(t *testing.T, f *Server, s *statemachine.State) *statemachine.State {
	spoilt, err := statemachine.Restore(s.Snapshot())
	require.NoError(t, err)
	spoilt.Generation--
	spoilt.Index--
	spoilt.AppliedUpdates = spoilt.AppliedUpdates[:len(spoilt.AppliedUpdates)-1] // a base is built on once
	body := bytes.Replace(spoilt.ConfigBody, []byte(`"TargetMs":150`), []byte(`"TargetMs":151`), 1)
	require.NoError(t, spoilt.Apply(spoilt.Index+1, statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{BaseVersion: spoilt.Generation, Body: body}}))
	return spoilt
}

// A member whose state is not what the log builds does not go on with it: it builds it anew of its own log, or, where that
// has it wrong as well, takes the leader's.
func TestDivergedStateIsRebuiltOrFetched(t *testing.T) {
	for _, disk := range []bool{false, true} {
		w := newByteCostCluster(7, 20, 20)
		for w.leader() == nil || w.leader().server.consensus.LatestSnapshot().Index == 0 {
			w.RunFor(500)
		}
		w.RunFor(1000)
		var p *byteCostMember
		for _, o := range w.members {
			if o != w.leader() && len(o.disk.Snapshot.Data) > 0 {
				p = o
			}
		}
		if disk {
			p.up, p.unsynced = false, nil
			s, err := statemachine.Restore(p.disk.Snapshot.Data)
			require.NoError(t, err)
			s.Index = p.disk.Snapshot.Index
			p.disk.Snapshot.Data = divergedState(t, p.server, s).Snapshot()
			p.start()
		} else {
			p.server.state = divergedState(t, p.server, p.server.state)
		}
		w.RunFor(12000)
		require.Positive(t, p.server.StateDivergences.Load(), "disk %v", disk)
		require.Equal(t, disk, p.server.consensus.SnapshotsInstalled > 0)
		require.False(t, p.server.diverged)
		require.Greater(t, p.server.state.Generation+20, w.acknowledged)
		w.stopped = true
		w.RunFor(2000)
		w.checkAgreement()
		require.Equal(t, w.leader().server.state.Checksum(), p.server.state.Checksum(), "disk %v", disk)
		require.Empty(t, w.Violations)
	}
}
