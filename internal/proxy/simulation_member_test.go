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
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/memberdisk"
	"ferrypitch/internal/simulation/memberprocess"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// platformTimeout is how long a member waits for the platform's answer.
const platformTimeout = 900 * millisecond

// member is a process of the control plane without its sockets, through its incarnations.
type member struct {
	memberprocess.Process

	cluster    *controlCluster
	ip         string
	identity   storage.Identity
	server     *control.Server
	clockDrift int64
	diskFactor int64 // how many times as long as the fastest its disk takes; 0: not drawn yet
	disk       memberdisk.Disk

	// Faults of its network.
	partitioned      bool // from the other members
	receivesNothing  bool // of the other members
	sendsNothing     bool // that reaches the other members
	hostsUnreachable bool // and the platform
	resetCount       int  // of its connections to members: what was in flight is lost

	conns       map[*memberConn]bool // of proxies
	lastArrival map[string]int64     // what goes to one member keeps its order

	// faultEndsAt is when its last fault ended, and what was lost by it is repaired; 0: it had none.
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

// send brings a frame to another member.
func (m *member) send(ip string, frame *rpc.Frame) {
	sim, to := m.cluster.sim, m.cluster.memberAt[ip]
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

// persist syncs writes to the disk.
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

// writeUnderLease writes what was decided in a term, unless the lease is over by then: the goroutine that writes may be late. It
// checks that nothing goes out while another member acts as the leader.
func (m *member) writeUnderLease(incarnation int, term uint64, what string, write, withhold func()) {
	sim, c := m.cluster.sim, m.cluster
	late := int64(0)
	if c.promotionTime == nil && sim.OneIn(c.lateOneIn) {
		late = sim.Between(1*millisecond, platformTimeout)
	}
	server := m.server
	sim.After(late, func() {
		m.Run(incarnation, func() {
			if !c.ignoresLease && !server.HoldsLeaseInTerm(term) {
				withhold()
				return
			}
			for _, other := range c.members {
				if other != m && other.Up() && other.isLeader() {
					sim.Violate("LEASE: %s sends %s while %s leads", m.ip, what, other.ip)
				}
			}
			write()
		})
	})
}

// queryHost sends a command to a host. Only those that change the host need the lease.
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
		result := failover.QueryResult{Query: query}
		wayBack := sim.Between(1*millisecond, 4*millisecond)
		switch host := sim.database.Host(query.Host); {
		case host == nil || !host.Up && !host.Unreachable && !m.hostsUnreachable:
			result.ConnectionRefused = true
		case !host.Up || host.Unreachable || m.hostsUnreachable || sim.Now < sim.frozenUntil[host.ID]:
			result.TimedOut, wayBack = true, queryTimeout
			if host.Up && !host.Unreachable && !m.hostsUnreachable {
				sim.executeAfterFreeze(query, host)
			}
		case m.cluster.fakeAnswer != nil && m.cluster.fakeAnswer(query, host):
			result.Status = wire.HostStatus{Timeline: host.Timeline, Received: host.PositionAt(len(host.Log))}
		default:
			result.Status = host.Control(query.Command.Text(), query.Term)
		}
		sim.After(wayBack, func() { m.Run(incarnation, func() { m.server.QueryFinished(result) }) })
	})
}

// promote calls the platform.
func (m *member) promote(incarnation int, promotion failover.Promotion) {
	m.writeUnderLease(incarnation, promotion.LeaderTerm, "a promotion", func() { m.sendPromotion(incarnation, promotion) }, func() {
		m.server.PromotionFinished(promotion, failover.PromotionNotExecuted)
	})
}

// sendPromotion is a call of the platform that goes out now. It checks that a fencing token has one owner.
func (m *member) sendPromotion(incarnation int, promotion failover.Promotion) {
	sim, c := m.cluster.sim, m.cluster
	c.promotions++
	sim.LogFault("%s nominates %s to the platform, fencing token %d", m.ip, promotion.Host, promotion.FencingToken)
	if owner := c.tokenOwners[promotion.FencingToken]; owner != "" && owner != promotion.Owner {
		sim.Violate("a fencing token of %s is used by %s", owner, promotion.Owner)
	}
	c.tokenOwners[promotion.FencingToken] = promotion.Owner
	way := sim.Between(2*millisecond, 20*millisecond)
	if c.promotionTime == nil && sim.OneIn(6) {
		way = sim.Between(100*millisecond, 2*second) // it is slow
	}
	finish := func(outcome failover.PromotionOutcome) {
		m.Run(incarnation, func() { m.server.PromotionFinished(promotion, outcome) })
	}
	if m.hostsUnreachable {
		sim.After(600*millisecond, func() { finish(failover.PromotionNotExecuted) })
		return
	}
	sim.After(way, func() {
		outcome := c.executePromotion(promotion)
		if way <= platformTimeout {
			sim.After(sim.Between(2*millisecond, 8*millisecond), func() { finish(outcome) })
		}
	})
	if way > platformTimeout {
		sim.After(platformTimeout, func() { finish(failover.PromotionUnknown) })
	}
}

// checkStates checks that no member and no proxy has found its state to differ from that of a majority: no fault of a simulation
// changes memory.
func (c *controlCluster) checkStates() {
	for _, m := range c.members {
		if diverged := m.server.StateDivergences.Load(); diverged > 0 {
			c.sim.Violate("STATE: the state of %s has diverged %d times", m.ip, diverged)
		}
	}
	for _, proxy := range c.sim.proxies {
		if diverged := proxy.server.counters.stateDiverged.Load(); diverged > 0 {
			c.sim.Violate("STATE: the state of %s has diverged %d times", proxy.name, diverged)
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

// crash ends the process. Without a loss of power, the disk may still take some of what was not synced.
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

// shutDown is SIGTERM: the member serves on until it says that it may stop, or for 6 s.
func (m *member) shutDown(then func()) {
	sim, incarnation := m.cluster.sim, m.Incarnation()
	until := sim.Now + 6*second
	complete := false
	m.Run(incarnation, func() { m.server.BeginShutdown() })
	var poll func()
	poll = func() {
		if !m.Is(incarnation) || complete {
			return
		}
		m.Run(incarnation, func() { complete = complete || m.server.ShutdownComplete() })
		if !complete && sim.Now < until {
			sim.After(50*millisecond, poll)
			return
		}
		complete = true
		sim.After(100*millisecond, func() {
			if m.Is(incarnation) {
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

// heal ends faults of the network, if the incarnation has not ended.
func (m *member) heal(incarnation int) {
	if m.Incarnation() == incarnation {
		m.healNetwork()
	}
}

// connsByAge are the connections of proxies, the oldest first.
func (m *member) connsByAge() []*memberConn {
	return slices.SortedFunc(maps.Keys(m.conns), func(a, b *memberConn) int { return cmp.Compare(a.id, b.id) })
}

// faultLogWriter puts what a member logs among the faults, when one seed is looked at.
type faultLogWriter struct {
	sim *simulation
	ip  string
}

func (w faultLogWriter) Write(line []byte) (int, error) {
	w.sim.LogFault("%s: %s", w.ip, strings.TrimSpace(string(line)))
	return len(line), nil
}
