package proxy

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/memberdisk"
	"ferrypitch/internal/simulation/memberprocess"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// platformTimeout is how long a member waits for a response of the platform.
const platformTimeout = 900 * millisecond

// member is a control-plane member without sockets, across the incarnations of its process.
type member struct {
	memberprocess.Process

	cluster    *controlCluster
	ip         string
	identity   storage.Identity
	server     *control.Server
	clockDrift int64
	diskFactor int64 // factor by which the disk is slower than the fastest; 0: not chosen yet
	disk       memberdisk.Disk

	// Network faults.
	partitioned      bool // cut off from the other members
	receivesNothing  bool // frames from other members are lost
	sendsNothing     bool // frames to other members are lost
	hostsUnreachable bool // hosts and the platform are unreachable
	resetCount       int  // resets of its connections to members; each loses the frames in flight

	conns       map[*memberConn]bool // connections from proxies
	lastArrival map[string]int64     // arrival time of the last frame, by destination member; frames arrive in order

	// faultEndsAt is when the effects of the last fault are over; 0: there was no fault.
	faultEndsAt int64
}

func (m *member) start() {
	sim := m.cluster.sim
	m.StartIncarnation()
	m.healNetwork()
	m.conns, m.lastArrival = map[*memberConn]bool{}, map[string]int64{}
	cfg := &settings.Settings{Node: "n" + m.ip, Ip: m.ip, Zone: "z", BeatMs: heartbeatMs, Bounds: simulatedBounds}
	cfg.FaultBudget.Machines = 1
	cfg.Listen.Control = m.ip + ":8080"
	for _, other := range m.cluster.members {
		cfg.SeedPeers = append(cfg.SeedPeers, other.ip+":8080")
	}
	log := hclog.NewNullLogger()
	if *onlySeed >= 0 {
		log = hclog.New(&hclog.LoggerOptions{Output: faultLogWriter{sim, m.ip}, DisableTime: true})
	}
	server, err := control.New(cfg, log, eventloop.NewMonotonicClock(sim.clock(m.clockDrift)), m.identity, m.disk.Restart(),
		sim.Rand.Float64, uint64(m.Incarnation()))
	if err != nil {
		panic(err)
	}
	incarnation := m.Incarnation()
	m.server = server
	server.SetEnvironment(control.Environment{
		Send:      m.send,
		Persist:   func(writes []consensus.Write) { m.persist(incarnation, writes) },
		QueryHost: func(query failover.HostQuery, _ statemachine.Host) { m.queryHost(incarnation, query) },
		Promote:   func(promotion failover.Promotion) { m.promote(incarnation, promotion) },
	})
	m.tick(incarnation)
}

func (m *member) tick(incarnation int) {
	m.Run(incarnation, func() {
		next := int64(50 * millisecond)
		if m.server.Tick() {
			next = 17 * millisecond
		}
		m.cluster.sim.After(next, func() { m.tick(incarnation) })
	})
}

// send sends a frame to another member.
func (m *member) send(ip string, frame *rpc.Frame) {
	sim, to := m.cluster.sim, m.cluster.memberByAddress[ip]
	if to == nil || to == m {
		return
	}
	m.lastArrival[ip] = max(m.lastArrival[ip]+1, sim.Now+sim.Between(millisecond/2, 3*millisecond))
	incarnation, resets, resetsThere := to.Incarnation(), m.resetCount, to.resetCount
	sim.After(m.lastArrival[ip]-sim.Now, func() {
		reset := m.resetCount != resets || to.resetCount != resetsThere
		if reset || m.partitioned || m.sendsNothing || to.partitioned || to.receivesNothing {
			return
		}
		to.Run(incarnation, func() { to.server.HandleFrame(m.ip, frame) })
	})
}

// persist writes to the disk and, after a random delay, syncs it.
func (m *member) persist(incarnation int, writes []consensus.Write) {
	sim := m.cluster.sim
	m.disk.Write(writes)
	lastSeq := writes[len(writes)-1].Seq
	if m.diskFactor == 0 {
		m.diskFactor = sim.Between(1, 4)
	}
	took := sim.Between(millisecond/2, 3*millisecond) * m.diskFactor
	if sim.OneIn(100) {
		took = sim.Between(50*millisecond, 600*millisecond)
	}
	sim.After(took, func() {
		m.Run(incarnation, func() {
			m.disk.Sync(lastSeq)
			m.server.Persisted(lastSeq)
		})
	})
}

// writeUnderLease calls write for a command that was decided in a term, or withhold if the member's lease has expired by then, since
// the goroutine that writes may be delayed. It checks that no command is sent while another member is the leader.
func (m *member) writeUnderLease(incarnation int, term uint64, command string, write, withhold func()) {
	sim, c := m.cluster.sim, m.cluster
	delay := int64(0)
	if c.promotionTime == nil && sim.OneIn(c.lateOneIn) {
		delay = sim.Between(1*millisecond, platformTimeout)
	}
	server := m.server
	sim.After(delay, func() {
		m.Run(incarnation, func() {
			if !c.ignoresLease && !server.HoldsLeaseInTerm(term) {
				withhold()
				return
			}
			for _, other := range c.members {
				if other != m && other.Up() && other.isLeader() {
					sim.RecordViolation("LEASE: %s sends %s while %s leads", m.ip, command, other.ip)
				}
			}
			write()
		})
	})
}

// queryHost sends a command to a host. Only commands that change the host need the lease.
func (m *member) queryHost(incarnation int, query failover.HostQuery) {
	if query.Command == failover.Stat {
		m.sendQuery(incarnation, query)
		return
	}
	m.writeUnderLease(incarnation, query.LeaderTerm, query.Command.Text(), func() { m.sendQuery(incarnation, query) }, func() {
		m.server.QueryFinished(failover.QueryResult{Query: query, TimedOut: true})
	})
}

func (m *member) sendQuery(incarnation int, query failover.HostQuery) {
	sim := m.cluster.sim
	sim.After(sim.Between(1*millisecond, 4*millisecond), func() {
		responseDelay := sim.Between(1*millisecond, 4*millisecond)
		result := m.execute(query)
		if result.TimedOut {
			responseDelay = queryTimeout
		}
		sim.After(responseDelay, func() { m.Run(incarnation, func() { m.server.QueryFinished(result) }) })
	})
}

// execute has a host execute a command, and returns the result that the member receives.
func (m *member) execute(query failover.HostQuery) failover.QueryResult {
	sim, host := m.cluster.sim, m.cluster.sim.database.Host(query.Host)
	result := failover.QueryResult{Query: query}
	switch {
	case host == nil:
		return m.resultOfReplacedHost(query)
	case !host.Up && !host.Unreachable && !m.hostsUnreachable:
		result.ConnectionRefused = true
	case !m.reaches(host):
		result.TimedOut = true
		if host.Up && !host.Unreachable && !m.hostsUnreachable {
			sim.executeAfterFreeze(query, host)
		}
	case m.cluster.fakeAnswer != nil && m.cluster.fakeAnswer(query, host):
		result.Status = wire.HostStatus{Timeline: host.Timeline, ReceivedPosition: host.PositionAt(len(host.Log))}
	default:
		result.Status = host.Control(query.Command.Text(), query.Term)
	}
	return result
}

// resultOfReplacedHost returns the result of a command for a host whose address another host uses.
func (m *member) resultOfReplacedHost(query failover.HostQuery) failover.QueryResult {
	successor := m.cluster.hostAt(query.Host)
	switch {
	case successor == nil || m.cluster.hidesHosts || !successor.Up && !successor.Unreachable && !m.hostsUnreachable:
		return failover.QueryResult{Query: query, ConnectionRefused: true}
	case !m.reaches(successor):
		return failover.QueryResult{Query: query, TimedOut: true}
	}
	return failover.QueryResult{Query: query, Replaced: true, Code: wire.CodeWrongNode}
}

// reaches reports whether a host answers the member.
func (m *member) reaches(host *database.Host) bool {
	return host.Up && !host.Unreachable && !m.hostsUnreachable && m.cluster.sim.Now >= m.cluster.sim.frozenUntil[host.ID]
}

// promote sends a promotion to the platform, if the lease is still valid.
func (m *member) promote(incarnation int, promotion failover.Promotion) {
	m.writeUnderLease(incarnation, promotion.LeaderTerm, "a promotion", func() { m.sendPromotion(incarnation, promotion) }, func() {
		m.server.PromotionFinished(promotion, failover.PromotionNotExecuted)
	})
}

// sendPromotion sends a promotion to the platform immediately. It checks that each fencing token has only one owner.
func (m *member) sendPromotion(incarnation int, promotion failover.Promotion) {
	sim, c := m.cluster.sim, m.cluster
	c.promotions++
	sim.LogFault("%s nominates %s to the platform, fencing token %d", m.ip, promotion.Host, promotion.FencingToken)
	if owner := c.tokenOwners[promotion.FencingToken]; owner != "" && owner != promotion.Owner {
		sim.RecordViolation("a fencing token of %s is used by %s", owner, promotion.Owner)
	}
	c.tokenOwners[promotion.FencingToken] = promotion.Owner
	requestDelay := sim.Between(2*millisecond, 20*millisecond)
	if c.promotionTime == nil && sim.OneIn(6) {
		requestDelay = sim.Between(100*millisecond, 2*second) // the platform is slow
	}
	finish := func(outcome failover.PromotionOutcome) {
		m.Run(incarnation, func() { m.server.PromotionFinished(promotion, outcome) })
	}
	if m.hostsUnreachable {
		sim.After(600*millisecond, func() { finish(failover.PromotionNotExecuted) })
		return
	}
	sim.After(requestDelay, func() {
		outcome := c.executePromotion(promotion)
		if requestDelay <= platformTimeout {
			sim.After(sim.Between(2*millisecond, 8*millisecond), func() { finish(outcome) })
		}
	})
	if requestDelay > platformTimeout {
		sim.After(platformTimeout, func() { finish(failover.PromotionUnknown) })
	}
}

// checkNoDivergence checks that no member and no proxy has detected a state that differs from that of a majority, since no simulated fault
// corrupts memory.
func (c *controlCluster) checkNoDivergence() {
	for _, m := range c.members {
		if diverged := m.server.StateDivergences.Load(); diverged > 0 {
			c.sim.RecordViolation("STATE: the state of %s has diverged %d times", m.ip, diverged)
		}
	}
	for _, proxy := range c.sim.proxies {
		if diverged := proxy.server.counters.stateDivergences.Load(); diverged > 0 {
			c.sim.RecordViolation("STATE: the state of %s has diverged %d times", proxy.name, diverged)
		}
	}
}

func (m *member) isLeader() (leads bool) {
	if m.Suspended() {
		return false
	}
	m.server.HandleCall(http.MethodGet, "/Member.Status", "", nil, func(_ int, body []byte) {
		var status control.Status
		if json.Unmarshal(body, &status) == nil {
			leads = status.Consensus.HoldsLease
		}
	})
	return leads
}

// crash ends the process. Unless power is lost, the disk may still keep some of the unsynced writes.
func (m *member) crash(powerLost bool) {
	sim := m.cluster.sim
	m.End()
	m.disk.Crash(func() bool { return !powerLost && !sim.OneIn(2) })
	if !powerLost {
		for _, conn := range m.connsByAge() {
			conn.close()
		}
	}
}

// shutDown simulates SIGTERM: the member keeps serving until it reports that its shutdown is complete, for at most 6 s.
func (m *member) shutDown(then func()) {
	sim, incarnation := m.cluster.sim, m.Incarnation()
	until := sim.Now + 6*second
	complete := false
	m.Run(incarnation, func() { m.server.BeginShutdown() })
	var poll func()
	poll = func() {
		if !m.IsIncarnation(incarnation) || complete {
			return
		}
		m.Run(incarnation, func() { complete = complete || m.server.ShutdownComplete() })
		if !complete && sim.Now < until {
			sim.After(50*millisecond, poll)
			return
		}
		complete = true
		sim.After(100*millisecond, func() {
			if m.IsIncarnation(incarnation) {
				sim.LogFault("member %s stops", m.ip)
				m.crash(false)
				then()
			}
		})
	}
	sim.After(50*millisecond, poll)
}

func (m *member) healNetwork() {
	m.partitioned, m.receivesNothing, m.sendsNothing, m.hostsUnreachable = false, false, false, false
}

// heal ends network faults, unless the incarnation has ended.
func (m *member) heal(incarnation int) {
	if m.Incarnation() == incarnation {
		m.healNetwork()
	}
}

// connsByAge returns the connections from proxies, oldest first.
func (m *member) connsByAge() []*memberConn {
	return slices.SortedFunc(maps.Keys(m.conns), func(a, b *memberConn) int { return cmp.Compare(a.id, b.id) })
}

// faultLogWriter adds the log output of a member to the fault log, when only one seed is run.
type faultLogWriter struct {
	sim *simulation
	ip  string
}

func (w faultLogWriter) Write(line []byte) (int, error) {
	w.sim.LogFault("%s: %s", w.ip, strings.TrimSpace(string(line)))
	return len(line), nil
}
