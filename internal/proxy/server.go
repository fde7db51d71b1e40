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
	eventQueueLength = 2048 // capacity of the event loop's queue for commands of clients

	// assumedProxyCount is how many proxies are assumed to share the hosts' connections until the first lease states the number.
	assumedProxyCount = 12
)

// leaderLink sends requests to the leader of the control plane. Requests made while no leader is connected are dropped.
type leaderLink interface {
	// reportSuspect reports a primary that can't be reached.
	reportSuspect(report *rpc.SuspectReport)
	// renewLease requests a lease immediately. The request also reports the index up to which the log has been applied.
	renewLease()
	// requestQuota requests rate-limit tokens for tenants.
	requestQuota(request *quota.Request)
}

// Server is one proxy. Its fields belong to the event loop unless noted otherwise.
type Server struct {
	// Set before the event loop starts and read-only afterwards; any goroutine may read them.
	settings    *settings.Settings
	log         hclog.Logger
	clock       eventloop.MonotonicClock
	queue       *eventloop.Queue
	ctx         context.Context // canceled when the process stops
	tasks       sync.WaitGroup  // goroutines that end after ctx is canceled
	incarnation uint64
	secret      tenancy.Secret // key for hashing clients' API keys

	// Event loop.
	timers      eventloop.Timers[func()]
	deferred    actionQueue
	nextSweepAt time.Time

	// Placement of statements.
	placement
	admission
	statements map[string]*statement // statements submitted to the policy, by commandID
	sessions   sessionTable
	lastID     uint64 // last number assigned by nextID

	// State received from the control plane.
	replica              stateReplica
	config               *config.Config // configuration in force; nil until the first one arrives
	tenants              tenancy.Index  // tenants of config, by key hash
	reconciledServices   *config.Config // the configuration whose services were applied last
	lease                proxyLease
	revocationUnreported bool // a revocation was applied and has not been reported to the leader
	leader               leaderLink

	// Other proxies.
	membership   *gossip.Membership // nil: gossip is disabled
	gossipConn   net.PacketConn
	nextGossipAt int64 // time of the next gossip tick, in milliseconds of clock
	aliveProxies int   // number of live proxies at the last sweep, this one included; 0: gossip is disabled

	// dial opens a connection in the background; hostPool.connOpened receives the result in the event loop.
	dial func(*hostConn)

	shutdown shutdownState
	ready    atomic.Bool // read by the readiness server
	counters counters
}

// newServer returns a proxy without sockets. seed determines the incarnation and seeds the policy's random choices; secret is the
// key for hashing clients' API keys.
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

// newMembership returns the gossip state of this proxy. Its incarnation number is taken from the wall clock, so that it is greater
// than that of the previous incarnation.
func (s *Server) newMembership() *gossip.Membership {
	return gossip.New(s.settings.Node, s.settings.PeerAddress(s.settings.Ip), uint64(time.Now().UnixNano()),
		gossip.DefaultConfig(), rand.IntN, s.clock.Now())
}

// configCurrent reports whether the configuration is known to be in force.
func (s *Server) configCurrent() bool { return s.config != nil && s.leaseValid() }

func (s *Server) leaseValid() bool { return s.lease.holder.Valid(s.clock.Now()) }

// connShare returns this proxy's share of a host's connections.
func (s *Server) connShare(pool *hostPool) connlimit.Share {
	share := connlimit.ShareOf(pool.service.maxConns, max(s.lease.proxyCount, s.aliveProxies))
	if s.clock.Elapsed().Milliseconds() < connlimit.WarmUpMs {
		share = share.Halved()
	}
	return share
}

// nextID returns the next number of the sequence that sessions, statements and connections share.
func (s *Server) nextID() uint64 {
	s.lastID++
	return s.lastID
}
