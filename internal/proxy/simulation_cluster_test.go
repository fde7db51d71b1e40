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

	// clockDriftThousandths is the maximum clock drift of any process in a cluster simulation, in thousandths.
	clockDriftThousandths = 10

	// callAttempts is how often a host retries a call that is not acknowledged.
	callAttempts = 4
)

// controlCluster simulates the platform and a control plane of several members: their log, failover, and disks that lose unsynced
// writes. The platform may be slow, reject a call, or answer ambiguously. If it checks fencing tokens, it rejects older ones.
type controlCluster struct {
	sim             *simulation
	members         []*member          // members known to callers and proxies
	memberByAddress map[string]*member // all members, including replaced ones, by address
	machineCount    int                // disks and machines added after the initial ones
	connCount       int                // number of connections opened by proxies to members
	faultCounts     [memberFaultKinds]int
	operator        *operator
	closingFaultAt  int64  // when the closing fault was scheduled; 0: not yet
	proxyVersion    uint32 // protocol version of the proxies

	// Tenants.
	tenants    string  // tenants in the configuration, in JSON; empty: operations are not recorded
	operations []int64 // times at which hosts executed an operation

	// Hosts.
	lastCallSeq   int64
	draining      map[string]bool
	replacedHosts int
	leaveFirst    bool // hosts leave without draining first, and keep serving
	leaving       map[string]bool
	lateCalls     bool             // some calls of hosts arrive seconds late, after later calls
	newAddresses  bool             // hosts that return unheard have other addresses
	unheardUntil  map[string]int64 // by host: when its first heartbeat is sent

	// The platform.
	promotions     int
	platformFences bool // the platform checks fencing tokens
	highestToken   map[string]uint64
	tokenOwners    map[uint64]string
	promotionTime  func() int64 // duration of a promotion; nil: random

	// Safeguards that a test may disable.
	fakeAnswer    func(failover.HostQuery, *database.Host) bool // if it returns true, the host is not queried and its answer is forged
	hostAddress   func(hostID string) string
	lateOneIn     int  // one in lateOneIn commands to hosts and the platform is written late
	ignoresLease  bool // a member writes commands even after its lease has expired
	losesLog      bool // a replacement host starts without the log of the host it replaces
	keepsIdentity bool // a member whose disk was lost keeps its identity, and so its vote
	hidesHosts    bool // an address at which a host runs that is not heard yet refuses connections of members
}

// newClusterSimulation returns a simulation whose control plane has several members, which fail.
func newClusterSimulation(seed uint64, proxies, clients int) *simulation {
	sim := newBareSimulation(seed)
	c := &controlCluster{
		sim:             sim,
		memberByAddress: map[string]*member{},
		draining:        map[string]bool{},
		leaving:         map[string]bool{},
		unheardUntil:    map[string]int64{},
		platformFences:  sim.OneIn(2),
		lateOneIn:       20,
		proxyVersion:    proxyVersionOf(seed),
		highestToken:    map[string]uint64{},
		tokenOwners:     map[uint64]string{},
		hostAddress:     func(hostID string) string { return "10.1.0.1:100" + hostID[1:2] },
	}
	sim.cluster, sim.maxClockDrift = c, clockDriftThousandths
	var founders []consensus.ID
	for i := range clusterSize {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for _, id := range founders {
		m := &member{cluster: c, ip: string(id), identity: storage.Identity{ID: id, Founders: founders}, clockDrift: sim.drawClockDrift()}
		c.members, c.memberByAddress[m.ip] = append(c.members, m), m
		m.start()
	}
	sim.addHosts()
	c.installConfig(0)
	sim.addProxiesAndClients(proxies, clients)
	c.operator = newOperator(c)
	return sim
}

// proxyVersionOf returns the protocol version of the proxies: the oldest for a quarter of the seeds, and the second newest for an
// eighth.
func proxyVersionOf(seed uint64) uint32 {
	switch {
	case seed%4 == 3:
		return rpc.VersionUnnumbered
	case seed%8 == 2:
		return rpc.VersionDigestsAndChunks
	}
	return rpc.ProtocolVersion
}

// installConfig sends the first configuration to the members in turn until one has applied it.
func (c *controlCluster) installConfig(memberIndex int) {
	sim, applied := c.sim, false
	sim.After(100*millisecond, func() {
		m := c.members[memberIndex%clusterSize]
		m.Run(m.Incarnation(), func() {
			m.server.HandleCall(http.MethodPost, "/Config.Replace", "0", []byte(c.configBody()), func(status int, _ []byte) {
				applied = applied || status == http.StatusOK
			})
		})
		sim.After(300*millisecond, func() {
			if !applied {
				c.installConfig(memberIndex + 1)
			}
		})
	})
}

// sendHeartbeat sends a host's heartbeat to the members in turn, until one acknowledges it or the retries are used up.
func (c *controlCluster) sendHeartbeat(host *database.Host) {
	if c.sim.Now < c.unheardUntil[host.ID] {
		return
	}
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

// callMember sends a host's call to a member, and retries it at the next member if it is not acknowledged.
func (c *controlCluster) callMember(hostID, path string, body []byte, memberIndex, retries int) {
	sim, acknowledged := c.sim, false
	delay := sim.Between(1*millisecond, 4*millisecond)
	if c.lateCalls && sim.OneIn(15) {
		delay = sim.Between(500*millisecond, 6*second)
	}
	sim.After(delay, func() {
		if host := sim.database.Host(hostID); host == nil || host.Unreachable {
			return
		}
		m := c.members[memberIndex%clusterSize]
		m.Run(m.Incarnation(), func() {
			m.server.HandleCall(http.MethodPost, path, "", body, func(status int, _ []byte) {
				if !acknowledged && status == http.StatusOK {
					acknowledged = !sim.OneIn(10) // otherwise the answer is lost
				}
			})
		})
		sim.After(sim.Between(200*millisecond, second), func() {
			if !acknowledged && retries > 0 {
				c.callMember(hostID, path, body, memberIndex+1, retries-1)
			}
		})
	})
}

// drainHost makes a host drain and leave. A new host takes its place with its log.
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

// leaveOnlyReplica makes the leaving host the only replica that receives the primary's log for a while, and then crashes the
// primary: the writes acknowledged in between are on no other running host.
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

// replaceHost stops a host that has left, and starts another one with its log under a new ID.
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

// hostAt returns the host at the address of a host that may have been replaced, or nil.
func (c *controlCluster) hostAt(hostID string) *database.Host {
	for _, host := range c.sim.database.Hosts {
		if c.hostAddress(host.ID) == c.hostAddress(hostID) {
			return host
		}
	}
	return nil
}

// executePromotion executes a promotion as the platform does, and returns the outcome that the platform reports.
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
