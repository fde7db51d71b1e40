package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/rpc"
)

const (
	leaseRenewInterval = 300 * time.Millisecond

	// controlSilenceTimeout is how long the leader may send nothing before the link to it is closed.
	controlSilenceTimeout = 700 * time.Millisecond

	// welcomeTimeout bounds the wait for the first frame: the kernel accepts connections even for a process that is suspended.
	welcomeTimeout = 400 * time.Millisecond

	controlSendTimeout = time.Second
	controlDialTimeout = 200 * time.Millisecond

	// firstControlRetryMs and maxControlRetryMs bound the backoff between connections to members. Thousands of proxies may lose
	// the leader at once, and must not keep connecting to the other members until a new leader is elected.
	firstControlRetryMs = 30
	maxControlRetryMs   = 400

	// maxLinkCommands is the capacity of the link's command queue; further commands are dropped.
	maxLinkCommands = 256
)

var (
	errNotLeader     = errors.New("the member is not the leader")
	errLeaseRejected = errors.New("the member rejected the lease request")
	errNoWelcome     = errors.New("the first frame is not a welcome")
	errShuttingDown  = errors.New("the proxy is shutting down")
)

// linkCommand is a message that the link must send to the leader. Exactly one field is set.
type linkCommand struct {
	quota      *quota.Request
	suspect    *rpc.SuspectReport
	renewLease bool
}

// controlLink connects the proxy to the control plane: it finds the member that is the leader, receives its log updates and renews
// the lease. It is the Server's leaderLink. Except for commands, its fields belong to the goroutine of run.
type controlLink struct {
	server      *Server
	commands    chan linkCommand
	members     []string      // addresses of the members, as last received from one of them
	leaderHint  string        // address of the leader according to another member; empty: members are tried round-robin
	memberIndex int           // incremented to choose the next member round-robin
	backoff     retry.Backoff // delays between connection attempts; reset when a lease is granted
}

func newControlLink(s *Server) *controlLink {
	return &controlLink{
		server:   s,
		commands: make(chan linkCommand, maxLinkCommands),
		backoff:  retry.Backoff{FirstMs: firstControlRetryMs, MaxMs: maxControlRetryMs},
	}
}

func (l *controlLink) reportSuspect(report *rpc.SuspectReport) {
	l.enqueue(linkCommand{suspect: report})
}

func (l *controlLink) requestQuota(request *quota.Request) { l.enqueue(linkCommand{quota: request}) }

func (l *controlLink) renewLease() { l.enqueue(linkCommand{renewLease: true}) }

func (l *controlLink) enqueue(command linkCommand) {
	select {
	case l.commands <- command:
	default: // dropped, since the event loop must not block
	}
}

// run connects to one member after another until the server's context is canceled.
func (l *controlLink) run() {
	ctx := l.server.ctx
	for ctx.Err() == nil {
		if address := l.chooseMember(); address != "" {
			_ = l.follow(address) // the next member is tried whatever the error
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(l.backoff.NextMs(rand.Float64())) * time.Millisecond):
		}
	}
}

// chooseMember returns the address of the member to connect to next, or "" if none is known.
func (l *controlLink) chooseMember() string {
	if address := l.leaderHint; address != "" {
		l.leaderHint = ""
		return address
	}
	addresses := slices.Clone(l.members)
	for _, address := range l.server.controlAddresses() {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	l.memberIndex++
	return addresses[l.memberIndex%len(addresses)]
}

// controlAddresses returns the addresses of control-plane members known from other proxies and from the settings. Those from
// other proxies come first, since the membership may have changed after the settings were written.
func (s *Server) controlAddresses() []string {
	addresses, _ := query(s.queue, func() []string {
		seeds := s.settings.SeedHosts()
		if s.membership == nil {
			return seeds
		}
		members, _ := s.membership.ControlMembers()
		return append(slices.Clone(members), seeds...)
	})
	return addresses
}

// follow connects to a member and, if it is the leader, stays connected until the connection fails. The error says why the
// connection ended.
func (l *controlLink) follow(address string) error {
	s := l.server
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	socket, err := rpc.DialHedged(ctx, s.settings.Ip, s.settings.PeerAddress(address), controlDialTimeout)
	if err != nil {
		return err
	}
	conn := rpc.NewConn(socket)
	defer closeControlConn(conn)
	stop := context.AfterFunc(ctx, func() { closeControlConn(conn) })
	defer stop()

	welcome, version, err := l.handshake(conn)
	if err != nil {
		return err
	}
	if !welcome.IsLeader {
		if welcome.Leader != address {
			l.leaderHint = welcome.Leader
		}
		return errNotLeader
	}
	s.counters.controlLinks.Add(1)
	s.queue.Put(eventloop.PriorityControl, func() {
		s.tickGossip(welcome.Proxies)
		s.setLender(version)
	})
	defer s.queue.Put(eventloop.PriorityControl, s.clearLender)
	err = l.followLeader(ctx, cancel, conn)
	l.logLinkEnd(address, err)
	return err
}

// logLinkEnd counts and logs why the link to a leader ended: either the leader sent nothing for controlSilenceTimeout, or the
// connection was closed or failed.
func (l *controlLink) logLinkEnd(address string, reason error) {
	s := l.server
	if s.ctx.Err() != nil {
		return
	}
	silent := errors.Is(reason, os.ErrDeadlineExceeded)
	if silent {
		s.counters.leaderSilences.Add(1)
	}
	s.log.Info("link to the leader ended", "leader", address, "silent", silent, "reason", reason)
}

// closeControlConn closes a connection. It may be called more than once.
func closeControlConn(conn *rpc.Conn) {
	_ = conn.Close() // fails only if it is already closed
}

// handshake sends the index up to which this proxy has applied the log, and returns the member's welcome and the protocol version
// that the member speaks.
func (l *controlLink) handshake(conn *rpc.Conn) (welcome *rpc.ProxyWelcome, version uint32, err error) {
	s := l.server
	hello, ok := query(s.queue, s.newHello)
	if !ok {
		return nil, 0, errShuttingDown
	}
	if err := conn.Send(&rpc.Frame{Version: rpc.ProtocolVersion, ProxyHello: hello}, controlSendTimeout); err != nil {
		return nil, 0, fmt.Errorf("hello: %w", err)
	}
	frame, err := conn.Receive(welcomeTimeout)
	if err != nil {
		return nil, 0, fmt.Errorf("welcome: %w", err)
	}
	welcome = frame.ProxyWelcome
	if welcome == nil {
		return nil, 0, errNoWelcome
	}
	if len(welcome.Members) > 0 {
		l.members = welcome.Members
	}
	return welcome, rpc.PeerVersion(frame.Version), nil
}

func (s *Server) newHello() *rpc.ProxyHello {
	return &rpc.ProxyHello{
		Node:         s.settings.Node,
		Incarnation:  s.incarnation,
		Zone:         s.settings.Zone,
		AppliedIndex: s.replica.resumeIndex(),
		Version:      rpc.ProtocolVersion,
		Acknowledged: s.acknowledgedPositions(),
	}
}

// followLeader receives log updates and lease responses until the connection fails. A second goroutine requests the leases; it
// has ended when followLeader returns.
func (l *controlLink) followLeader(ctx context.Context, cancel context.CancelFunc, conn *rpc.Conn) error {
	requests := newLeaseRequestTimes()
	renewalEnded := make(chan struct{})
	go func() {
		defer close(renewalEnded)
		l.renewLeases(ctx, conn, requests)
	}()
	defer func() {
		cancel()
		<-renewalEnded
	}()
	for {
		frame, err := conn.Receive(controlSilenceTimeout)
		if err != nil {
			return err
		}
		switch {
		case frame.LogUpdate != nil:
			l.handleLogUpdate(conn, frame.LogUpdate)
		case frame.SnapshotChunk != nil:
			l.handleSnapshotChunk(conn, frame.SnapshotChunk)
		case frame.QuotaResponse != nil:
			s := l.server
			s.queue.Put(eventloop.PriorityControl, func() { s.handleQuotaResponse(frame.QuotaResponse) })
		case frame.LeaseResponse != nil:
			if err := l.handleLeaseResponse(conn, frame.LeaseResponse, requests); err != nil {
				return err
			}
		}
	}
}

// handleLogUpdate has the event loop apply a log update. If the update does not fit the state, the connection is closed; the leader
// sends what is missing on the next one.
func (l *controlLink) handleLogUpdate(conn *rpc.Conn, update *rpc.LogUpdate) {
	s := l.server
	l.members = update.Members
	s.queue.Put(eventloop.PriorityControl, func() {
		if err := s.applyLogUpdate(update); err != nil {
			closeControlConn(conn)
			return
		}
		if s.membership != nil {
			s.membership.SetControlMembers(update.Members, update.LastIndex)
		}
		s.reportRevocationApplied()
	})
}

// handleSnapshotChunk has the event loop add a chunk to the incoming snapshot, and acknowledges it. If the chunk is rejected, the
// connection is closed.
func (l *controlLink) handleSnapshotChunk(conn *rpc.Conn, chunk *rpc.SnapshotChunk) {
	s := l.server
	l.members = chunk.Members
	var err error
	ack, ok := query(s.queue, func() (ack *rpc.ChunkAck) {
		ack, err = s.handleSnapshotChunk(chunk)
		return ack
	})
	if ok && err == nil {
		err = conn.Send(&rpc.Frame{Version: rpc.ProtocolVersion, ChunkAck: ack}, controlSendTimeout)
	}
	if err != nil {
		s.log.Error("snapshot chunk not applied; closing the link to the leader", "error", err)
		closeControlConn(conn)
	}
}

func (l *controlLink) handleLeaseResponse(conn *rpc.Conn, response *rpc.LeaseResponse, requests *leaseRequestTimes) error {
	if len(response.Members) > 0 {
		l.members = response.Members
	}
	if response.Postponed { // another response to the same request follows
		return nil
	}
	requestedAt := requests.take(response.Serial)
	if !response.Granted {
		return errLeaseRejected
	}
	l.backoff.Reset()
	s := l.server
	s.queue.Put(eventloop.PriorityControl, func() {
		if s.checkDigest(response) != nil {
			closeControlConn(conn)
			return
		}
		s.handleLeaseGrant(response, requestedAt)
	})
	return nil
}
