package control

import (
	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/statemachine"
)

// Server is one member of the control plane. All its methods but MayAct must be called by one goroutine; they don't block. Only
// its Counters may be read and changed by others.
type Server struct {
	settings    *settings.Settings
	log         hclog.Logger
	clock       eventloop.MonotonicClock
	id          consensus.ID
	environment Environment

	protocolVersion uint32 // that this process speaks: rpc.ProtocolVersion, or an older one in tests

	consensus     *consensus.Node
	state         *statemachine.State
	committed     []consensus.Committed // not applied yet
	applying      bool                  // the loop that applies committed entries is on the stack
	diverged      bool                  // state is not what the log builds; the leader's was requested
	loggedMembers []consensus.ID        // what the last log line on membership showed

	lease            leaderLease           // what MayAct reads
	leading          bool                  // this member acts as the leader; set by updateLeadership
	grantor          *lease.Grantor        // of proxies' leases in the present term; nil before the first
	coordinator      *failover.Coordinator // of fail-over in the present term; nil before the first
	quota            tenantQuota           // in the present term
	ledTimeOffsetMs  int64                 // from the clock to leader time (statemachine.Change.LeaderTimeMs), while leading
	pendingProposals map[uint64]pendingProposal
	pendingUpdates   pendingUpdates
	digests          stateDigests
	addressChecks    map[failover.HostQuery]addressCheck
	peerVersions     map[consensus.ID]uint32 // that other members speak, as last heard
	lastCallSeq      map[string]int64        // CallSeq of the last heartbeat, by host

	proxies         servedProxies
	proxiesAccepted uint64 // number of ProxyConns since the start
	transfers       snapshotTransfers
	forwarder       forwarder

	leaveDeadlineMs int64 // until when a shutdown waits for this member's voting membership to be transferred

	Counters
}

// Environment is how a Server acts on the outside. Its functions must not wait for the network, a host or the disk, since the
// event loop would stand still meanwhile. Run connects them to sockets and a disk, tests to a simulation.
type Environment struct {
	// Send sends a frame to the member at an IP address. It may be lost.
	Send func(ip string, frame *rpc.Frame)
	// QueryHost sends a command to a host; Server.QueryFinished gets the result. A command that changes the host may be written
	// only while Server.MayAct is true for the query's LeaderTerm.
	QueryHost func(query failover.HostQuery, host statemachine.Host)
	// Promote asks the platform to promote a host; Server.PromotionFinished gets the outcome. The call may be written only while
	// Server.MayAct is true for the promotion's LeaderTerm.
	Promote func(promotion failover.Promotion)
	// Persist writes to the write-ahead log in the order of its calls; Server.Persisted is called once a write is synced. The
	// consensus node bounds how many writes wait.
	Persist func(writes []consensus.Write)
	// DroppedFrames is the number of frames that Send could not send. It may be nil.
	DroppedFrames func() int64
	// RefusedFrames is the number of frames that their receivers refused. It may be nil.
	RefusedFrames func() int64
}

// New makes a member from what its data directory holds. SetEnvironment must follow before any other call. random returns
// numbers in [0, 1). incarnation must differ at each start of the process; it tells forwarded calls of one from another's.
func New(settings *settings.Settings, log hclog.Logger, clock eventloop.MonotonicClock, identity storage.Identity,
	restored consensus.RestoredState, random func() float64, incarnation uint64,
) (*Server, error) {
	state, err := statemachine.Restore(restored.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	config := consensus.DefaultConfig(settings.FaultBudget.Machines)
	return &Server{
		settings:         settings,
		log:              log,
		clock:            clock,
		id:               identity.ID,
		consensus:        consensus.New(identity.ID, config, restored, identity.Founders, random, clock.Now()),
		state:            state,
		pendingProposals: map[uint64]pendingProposal{},
		addressChecks:    map[failover.HostQuery]addressCheck{},
		peerVersions:     map[consensus.ID]uint32{},
		lastCallSeq:      map[string]int64{},
		protocolVersion:  rpc.ProtocolVersion,
		proxies:          newServedProxies(),
		forwarder:        newForwarder(incarnation),
	}, nil
}

// SetEnvironment connects a new Server to the outside.
func (s *Server) SetEnvironment(environment Environment) { s.environment = environment }

// Tick advances all timers. It must be called at least every 50 ms, and three times as often while it returns true: then a
// fail-over is under way.
func (s *Server) Tick() (busy bool) {
	now := s.clock.Now()
	s.carryOut(s.consensus.Tick(now))
	s.tickFailover()
	s.tickLending(now)
	s.expireForwarded(now)
	s.tickDigests(now)
	return s.leading && s.coordinator.Active(s.state)
}

// Persisted reports that all writes up to a sequence number are synced to disk.
func (s *Server) Persisted(sequence uint64) {
	s.carryOut(s.consensus.Persisted(sequence, s.clock.Now()))
}

// HandleFrame processes a frame of another member. from is the IP address that its connection comes from.
func (s *Server) HandleFrame(from string, frame *rpc.Frame) {
	switch {
	case frame.Consensus != nil && frame.Consensus.From.Address() != from:
		s.discard(messageWrongSender)
	case frame.Consensus != nil:
		s.peerVersions[frame.Consensus.From] = rpc.PeerVersion(frame.Version)
		if frame.Consensus.Type == consensus.MsgSnapshotRequest && s.leading {
			s.refreshSnapshot()
		}
		s.carryOut(s.consensus.Step(*frame.Consensus, s.clock.Now()))
	case frame.ForwardRequest != nil:
		s.handleForwardRequest(from, frame.ForwardRequest)
	case frame.ForwardResponse != nil:
		s.handleForwardResponse(from, frame.ForwardResponse)
	case frame.StateDigests != nil:
		s.handleStateDigests(from, frame.StateDigests)
	case frame.StateRejected != nil:
		s.handleStateRejected(from, frame.StateRejected)
	default:
		s.discard(frameUnknown)
	}
}

// send sends a frame to the member at an address, in the version that this process speaks.
func (s *Server) send(ip string, frame *rpc.Frame) {
	frame.Version = s.protocolVersion
	s.environment.Send(ip, frame)
}

// leastVersion is the version that all members speak of which this one has heard, itself included.
func (s *Server) leastVersion() uint32 {
	least := s.protocolVersion
	for _, id := range s.consensus.Members() {
		if version, heard := s.peerVersions[id]; heard {
			least = min(least, version)
		}
	}
	return least
}

// holdsLease reports whether this member acts as the leader and no other member can be leader now.
func (s *Server) holdsLease() bool {
	return s.leading && !s.diverged && s.consensus.HoldsLease(s.clock.Now())
}
