package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/config"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/gossip"
	"ferrypitch/internal/proxy/connlimit"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/policy"
)

const (
	eventQueueLength = 2048 // commands of clients that may wait for the event loop

	// assumedProxyCount is how many proxies share the hosts' connections until the first lease says how many there are.
	assumedProxyCount = 12
)

// leaderLink is the way to the leader of the control plane. What is sent while no leader is known is lost.
type leaderLink interface {
	// reportSuspect reports a primary that can't be reached.
	reportSuspect(report *rpc.SuspectReport)
	// renewLease requests a lease at once. The request also says up to where the log has been applied.
	renewLease()
	// requestQuota asks for tokens of tenants.
	requestQuota(request *quota.Request)
}

// Server is one proxy. Its fields belong to the event loop, unless they say otherwise.
type Server struct {
	// Set before the event loop starts and then only read, from any goroutine.
	settings    *settings.Settings
	log         hclog.Logger
	clock       eventloop.MonotonicClock
	queue       *eventloop.Queue
	ctx         context.Context // ends with the process
	tasks       sync.WaitGroup  // goroutines that end after ctx
	incarnation uint64
	secret      tenancy.Secret // of the hashes of clients' keys

	// The event loop.
	timers      eventloop.Timers[func()]
	deferred    actionQueue
	nextSweepAt time.Time

	// Placement of statements.
	placement
	admission
	statements map[string]*statement // those that the policy knows, by commandID
	sessions   sessionTable
	lastID     uint64 // of sessions, statements and connections

	// What the control plane says.
	replica              stateReplica
	config               *config.Config // in force; nil: none yet
	tenants              tenancy.Index  // of config
	servicesOf           *config.Config // whose services were taken in last
	lease                proxyLease
	revocationUnreported bool // a revocation was applied and the leader does not know it yet
	leader               leaderLink

	// Other proxies.
	membership   *gossip.Membership // nil: other proxies are not looked for
	gossipConn   net.PacketConn
	nextGossipAt int64 // milliseconds of clock
	aliveProxies int   // this one included, as of the last sweep; 0: other proxies are not looked for

	// dial connects in the background; hostPool.connOpened receives the result in the event loop.
	dial func(*hostConn)

	shutdown shutdownState
	ready    atomic.Bool // read by the readiness server
	counters counters
}

// newServer makes a proxy without its sockets. seed is the incarnation and the source of the policy's random choices; secret keys
// the hashes of clients' keys.
func newServer(cfg *settings.Settings, log hclog.Logger, clock eventloop.MonotonicClock, seed uint64, secret tenancy.Secret) *Server {
	s := &Server{
		settings:    cfg,
		log:         log,
		clock:       clock,
		queue:       eventloop.NewQueue(eventQueueLength),
		incarnation: seed | 1, // never 0
		secret:      secret,
		placement:   newPlacement(),
		admission:   newAdmission(),
		statements:  map[string]*statement{},
		sessions:    newSessionTable(),
		replica:     newStateReplica(),
		lease:       proxyLease{proxyCount: assumedProxyCount},
	}
	s.policy = policy.New(policyCaller{s}, deployment(cfg.Zone, uint32(seed)), s.refreshPolicyTime())
	return s
}

// newMembership starts the gossip with other proxies. The wall clock makes each incarnation's number greater than the last.
func (s *Server) newMembership() *gossip.Membership {
	return gossip.New(s.settings.Node, s.settings.PeerAddress(s.settings.Ip), uint64(time.Now().UnixNano()),
		gossip.DefaultConfig(), rand.IntN, s.clock.Now())
}

// configCurrent says that the configuration is known to be in force.
func (s *Server) configCurrent() bool { return s.config != nil && s.leaseValid() }

func (s *Server) leaseValid() bool { return s.lease.holder.Valid(s.clock.Now()) }

// connShare is this proxy's share of a host's connections.
func (s *Server) connShare(pool *hostPool) connlimit.Share {
	share := connlimit.ShareOf(pool.service.maxConns, max(s.lease.proxyCount, s.aliveProxies))
	if s.clock.Elapsed().Milliseconds() < connlimit.WarmUpMs {
		share = share.Halved()
	}
	return share
}

// nextID numbers sessions, statements and connections, in one sequence.
func (s *Server) nextID() uint64 {
	s.lastID++
	return s.lastID
}
