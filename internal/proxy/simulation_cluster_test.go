package proxy

import (
	"encoding/json"
	"fmt"
	"net/http"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/rpc"
)

const (
	clusterSize = 3

	// clockDriftThousandths is how far the clock of any process in a cluster simulation may drift.
	clockDriftThousandths = 10

	// callAttempts is how often a host sends a call again that is not acknowledged.
	callAttempts = 4
)

// controlCluster is the control plane with its members: their log, disks that lose what was not synced, fail-over, and the
// platform. The platform is slow, refuses, or gives no clear answer; where it checks fencing tokens, it refuses older ones.
type controlCluster struct {
	sim          *simulation
	members      []*member          // that callers and proxies know of
	memberAt     map[string]*member // every member, by address
	machineCount int                // disks and machines that came after the first
	connCount    int                // connections of proxies to members
	faultCounts  [memberFaultKinds]int
	operator     *operator
	struckAt     int64  // when the closing fault came; 0: not yet
	proxyVersion uint32 // of the protocol that proxies speak

	// Tenants.
	tenants    string  // of the configuration; empty: clients are not counted
	operations []int64 // when hosts ran one

	// Hosts.
	lastCallSeq   int64
	draining      map[string]bool
	replacedHosts int
	leaveFirst    bool // hosts leave without draining first, and serve on
	leaving       map[string]bool
	lateCalls     bool // now and then a host's call arrives seconds late, after later ones

	// The platform.
	promotions     int
	platformFences bool // it checks fencing tokens
	highestToken   map[string]uint64
	tokenOwners    map[uint64]string
	promotionTime  func() int64 // nil: by chance

	// Safeguards that a test may remove.
	fakeAnswer    func(failover.HostQuery, *database.Host) bool // the host is not asked, and its answer made up
	hostAddress   func(hostID string) string
	lateOneIn     int  // one command to hosts and the platform in so many is written late
	ignoresLease  bool // a member writes what it decided although its lease is over
	losesLog      bool // a new host lacks the log of the one that was at its address
	keepsIdentity bool // a member whose disk is lost keeps its vote
}

// newClusterSimulation makes a simulation whose control plane has members that fail.
func newClusterSimulation(seed uint64, proxies, clients int) *simulation {
	sim := newBareSimulation(seed)
	c := &controlCluster{
		sim:            sim,
		memberAt:       map[string]*member{},
		draining:       map[string]bool{},
		leaving:        map[string]bool{},
		platformFences: sim.OneIn(2),
		lateOneIn:      20,
		proxyVersion:   proxyVersionOf(seed),
		highestToken:   map[string]uint64{},
		tokenOwners:    map[uint64]string{},
		hostAddress:    func(hostID string) string { return "10.1.0.1:100" + hostID[1:2] },
	}
	sim.cluster, sim.maxClockDrift = c, clockDriftThousandths
	var founders []consensus.ID
	for i := range clusterSize {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for _, id := range founders {
		m := &member{cluster: c, ip: string(id), identity: storage.Identity{ID: id, Founders: founders}, clockDrift: sim.drawClockDrift()}
		c.members, c.memberAt[m.ip] = append(c.members, m), m
		m.start()
	}
	sim.addHosts()
	c.installConfig(0)
	sim.addProxiesAndClients(proxies, clients)
	c.operator = newOperator(c)
	return sim
}

// proxyVersionOf is the version that proxies speak: for a quarter of the seeds the oldest, for an eighth the one before the newest.
func proxyVersionOf(seed uint64) uint32 {
	switch {
	case seed%4 == 3:
		return rpc.VersionUnnumbered
	case seed%8 == 2:
		return rpc.VersionDigestsAndChunks
	}
	return rpc.ProtocolVersion
}

// installConfig sends the first configuration to members in turn until one has applied it.
func (c *controlCluster) installConfig(turn int) {
	sim, applied := c.sim, false
	sim.After(100*millisecond, func() {
		m := c.members[turn%clusterSize]
		m.Run(m.Incarnation(), func() {
			m.server.HandleCall(http.MethodPost, "/Config.Replace", "0", []byte(c.configBody()), func(status int, _ []byte) {
				applied = applied || status == http.StatusOK
			})
		})
		sim.After(300*millisecond, func() {
			if !applied {
				c.installConfig(turn + 1)
			}
		})
	})
}

// sendHeartbeat is a host's: to members in turn, until one acknowledges it.
func (c *controlCluster) sendHeartbeat(host *database.Host) {
	c.lastCallSeq++
	request := control.HeartbeatRequest{
		Service:  "db",
		Address:  c.hostAddress(host.ID),
		Zone:     "z",
		Capacity: 5,
		State:    "serving",
		DBRole:   "follower",
		CallSeq:  c.lastCallSeq,
	}
	if host.IsPrimary {
		request.DBRole = "leader"
	}
	if c.draining[host.ID] {
		request.State = "draining"
	}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	c.callMember(host.ID, "/Instances.Heartbeat/"+host.ID, body, c.sim.Rand.IntN(clusterSize), callAttempts)
}

// callMember makes a host's call of a member, and of the next one if it is not acknowledged.
func (c *controlCluster) callMember(hostID, path string, body []byte, turn, retries int) {
	sim, acknowledged := c.sim, false
	delay := sim.Between(1*millisecond, 4*millisecond)
	if c.lateCalls && sim.OneIn(15) {
		delay = sim.Between(500*millisecond, 6*second)
	}
	sim.After(delay, func() {
		if host := sim.database.Host(hostID); host == nil || host.Unreachable {
			return
		}
		m := c.members[turn%clusterSize]
		m.Run(m.Incarnation(), func() {
			m.server.HandleCall(http.MethodPost, path, "", body, func(status int, _ []byte) {
				if !acknowledged && status == http.StatusOK {
					acknowledged = !sim.OneIn(10) // else the answer is lost
				}
			})
		})
		sim.After(sim.Between(200*millisecond, second), func() {
			if !acknowledged && retries > 0 {
				c.callMember(hostID, path, body, turn+1, retries-1)
			}
		})
	})
}

// drainHost has a host leave. A new host in its place takes over its log.
func (c *controlCluster) drainHost(host *database.Host) {
	sim := c.sim
	if host == nil || len(c.draining)+len(c.leaving) > 0 {
		return
	}
	left := host.ID
	if c.leaveFirst {
		sim.LogFault("%s leaves without draining first", left)
		c.leaving[left] = true
		c.sendLeave(left)
		c.leaveOnlyReplica(host)
		sim.After(3*second, func() { c.replaceHost(host) })
		return
	}
	sim.LogFault("%s drains", left)
	c.draining[left] = true
	c.sendHeartbeat(host)
	sim.After(3*second, func() {
		c.sendLeave(left)
		sim.After(100*millisecond, func() { c.replaceHost(host) })
	})
}

// leaveOnlyReplica has only the host that leaves receive the primary's log for a while, and the primary crash after that: what was
// acknowledged in between is on no other host that runs.
func (c *controlCluster) leaveOnlyReplica(leaving *database.Host) {
	sim := c.sim
	primary := sim.database.Primary()
	if primary == nil || leaving.IsPrimary {
		return
	}
	for _, other := range sim.database.Hosts {
		if other == leaving || other.IsPrimary || other.ReplicationStopped {
			continue
		}
		sim.After(sim.Between(500*millisecond, second), func() {
			sim.LogFault("%s receives nothing", other.ID)
			other.ReplicationStopped = true
		})
		sim.After(sim.Between(2300*millisecond, 2700*millisecond), func() { other.ReplicationStopped = false })
	}
	sim.After(sim.Between(1500*millisecond, 2200*millisecond), func() {
		if primary.IsPrimary && primary.Up {
			primary.Crash(sim.OneIn(2), sim.Between(500*millisecond, 4*second))
		}
	})
}

func (c *controlCluster) sendLeave(hostID string) {
	c.callMember(hostID, "/Instances.Leave/"+hostID, nil, c.sim.Rand.IntN(clusterSize), callAttempts)
}

// replaceHost ends the process of a host that has left, and begins another with its log under another ID.
func (c *controlCluster) replaceHost(host *database.Host) {
	left := host.ID
	host.Crash(false, c.sim.Between(200*millisecond, 900*millisecond))
	if c.losesLog {
		host.Log = nil
	}
	c.replacedHosts++
	delete(c.draining, left)
	delete(c.leaving, left)
	host.ID = fmt.Sprintf("%s.%d", left[:2], c.replacedHosts)
	c.sim.LogFault("%s replaces %s", host.ID, left)
}

// executePromotion is the platform's part of a promotion.
func (c *controlCluster) executePromotion(promotion failover.Promotion) failover.PromotionOutcome {
	sim, host := c.sim, c.sim.database.Host(promotion.Host)
	switch {
	case c.platformFences && promotion.FencingToken < c.highestToken[promotion.Service], host == nil || !host.Up:
		return failover.PromotionRejected
	case c.promotionTime == nil && sim.OneIn(10):
		return failover.PromotionNotExecuted
	}
	c.highestToken[promotion.Service] = max(c.highestToken[promotion.Service], promotion.FencingToken)
	took := sim.Between(80*millisecond, 400*millisecond)
	if c.promotionTime != nil {
		took = c.promotionTime()
	}
	sim.After(took, func() { host.Promote() })
	if c.promotionTime == nil && sim.OneIn(5) {
		return failover.PromotionUnknown
	}
	return failover.PromotionSucceeded
}
