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

// Server is one member of the control plane. All methods except HoldsLeaseInTerm must be called from a single goroutine; they do
// not block. Other goroutines may read and change only the Counters.
type Server struct {
	settings    *settings.Settings
	log         hclog.Logger
	clock       eventloop.MonotonicClock
	id          consensus.ID
	environment Environment

	protocolVersion uint32 // version that this process speaks: rpc.ProtocolVersion, or an older one in tests

	consensus     *consensus.Node
	state         *statemachine.State
	committed     []consensus.Committed // committed entries that are not applied yet
	applying      bool                  // processReady is applying committed entries further up the call stack
	diverged      bool                  // state differs from the one that the log produces; a snapshot was requested from the leader
	loggedMembers []consensus.ID        // members in the last log line about a membership change

	lease              leaderLease           // read by HoldsLeaseInTerm
	leading            bool                  // whether this member acts as the leader; set by updateLeadership
	grantor            *lease.Grantor        // grants proxy leases in the term led last; nil before the first
	coordinator        *failover.Coordinator // failover coordinator of the term led last; nil before the first
	quota              tenantQuota           // of the term led last
	leaderTimeOffsetMs int64                 // leader time (statemachine.Change.LeaderTimeMs) minus the clock, while leading
	pendingProposals   map[uint64]pendingProposal
	pendingUpdates     pendingUpdates
	digests            stateDigests
	addressChecks      map[failover.HostQuery]addressCheck
	peerVersions       map[consensus.ID]uint32 // protocol versions that other members last announced
	lastCallSeq        map[string]int64        // highest CallSeq of heartbeats, by host
	nominations        recentNominations
	leaderless         conditionReport            // this process hears from no leader
	misattributed      map[misattributed]struct{} // discarded messages that were logged

	proxies         servedProxies
	proxiesAccepted uint64 // number of proxy connections accepted since the process started
	transfers       snapshotTransfers
	forwarder       forwarder

	shutdownDeadlineMs int64 // when a shutdown stops waiting for the transfer of this member's voting membership

	Counters
}

// Environment performs the I/O of a Server. Its functions must not wait for the network, a host or the disk, because that would
// block the event loop. Run connects them to sockets and a disk, tests to a simulation.
type Environment struct {
	// Send sends a frame to the member at an IP address. The frame may be lost.
	Send func(ip string, frame *rpc.Frame)
	// QueryHost sends a command to a host and reports the result to Server.QueryFinished. A command that changes the host may be
	// written only while Server.HoldsLeaseInTerm returns true for the query's LeaderTerm.
	QueryHost func(query failover.HostQuery, host statemachine.Host)
	// Promote asks the platform to promote a host and reports the outcome to Server.PromotionFinished. The request may be written
	// only while Server.HoldsLeaseInTerm returns true for the promotion's LeaderTerm.
	Promote func(promotion failover.Promotion)
	// Persist writes to the write-ahead log in the order of the calls and calls Server.Persisted once a write is synced. The
	// consensus node limits the number of pending writes.
	Persist func(writes []consensus.Write)
	// DroppedFrames returns the number of frames that Send could not send. It may be nil.
	DroppedFrames func() int64
	// RefusedFrames returns the number of frames that their receivers refused. It may be nil.
	RefusedFrames func() int64
}

// New creates a member from the contents of its data directory. SetEnvironment must be called before any other method. random
// returns numbers in [0, 1). incarnation must differ at each start of the process; it distinguishes the forwarded calls of one
// incarnation from those of another.
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
		nominations:      newRecentNominations(),
		protocolVersion:  rpc.ProtocolVersion,
		proxies:          newServedProxies(),
		forwarder:        newForwarder(incarnation),
		misattributed:    map[misattributed]struct{}{},
	}, nil
}

// SetEnvironment sets the functions through which a new Server performs I/O.
func (s *Server) SetEnvironment(environment Environment) { s.environment = environment }

// Tick advances all timers. It must be called at least every 50 ms, and three times as often while it returns true, which means
// that a failover is in progress.
func (s *Server) Tick() (busy bool) {
	now := s.clock.Now()
	s.processReady(s.consensus.Tick(now))
	s.tickFailover()
	s.tickLender(now)
	s.expireForwarded(now)
	s.tickDigests(now)
	s.reportLeaderless(now)
	return s.leading && s.coordinator.Active(s.state)
}

// Persisted reports that all writes up to a sequence number are synced to disk.
func (s *Server) Persisted(sequence uint64) {
	s.processReady(s.consensus.Persisted(sequence, s.clock.Now()))
}

// HandleFrame processes a frame from another member. from is the remote IP address of the connection.
func (s *Server) HandleFrame(from string, frame *rpc.Frame) {
	switch {
	case frame.Consensus != nil && frame.Consensus.From.Address() != from:
		s.discardMisattributed(from, frame.Consensus)
	case frame.Consensus != nil:
		s.peerVersions[frame.Consensus.From] = rpc.PeerVersion(frame.Version)
		s.handleConsensus(frame.Consensus)
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

// handleConsensus passes a message from another member or a learner to the consensus node.
func (s *Server) handleConsensus(message *consensus.Message) {
	if message.Type == consensus.MsgSnapshotRequest && s.leading {
		s.refreshSnapshot()
	}
	learners := s.consensus.LearnersAdded
	s.processReady(s.consensus.Step(*message, s.clock.Now()))
	if s.consensus.LearnersAdded > learners {
		s.log.Info("replicating to a new learner", "learners", s.consensus.Status(s.clock.Now()).Learners)
	}
}

// send sends a frame to the member at an IP address, with the protocol version that this process speaks.
func (s *Server) send(ip string, frame *rpc.Frame) {
	frame.Version = s.protocolVersion
	s.environment.Send(ip, frame)
}

// leastVersion returns the lowest protocol version among this member and the members whose version is known.
func (s *Server) leastVersion() uint32 {
	least := s.protocolVersion
	for _, id := range s.consensus.Members() {
		if version, heard := s.peerVersions[id]; heard {
			least = min(least, version)
		}
	}
	return least
}

// holdsLease reports whether this member acts as the leader and holds the leader lease, so that no other member can lead now.
func (s *Server) holdsLease() bool {
	return s.leading && !s.diverged && s.consensus.HoldsLease(s.clock.Now())
}
