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

	// controlSilenceTimeout is how long a member may send nothing before the link to it is ended.
	controlSilenceTimeout = 700 * time.Millisecond

	// welcomeTimeout bounds the wait for the first frame. The kernel of a process that stands still accepts connections.
	welcomeTimeout = 400 * time.Millisecond

	controlSendTimeout = time.Second
	controlDialTimeout = 200 * time.Millisecond

	// firstControlRetryMs and maxControlRetryMs bound the wait after a member that was left. Thousands of proxies that lose a
	// leader at once must not connect to the others all the time until one of these leads.
	firstControlRetryMs = 30
	maxControlRetryMs   = 400

	// maxLinkCommands may wait for the link; more are lost.
	maxLinkCommands = 256
)

var (
	errNotLeader     = errors.New("the member is not the leader")
	errLeaseRejected = errors.New("the member grants no lease")
	errNoWelcome     = errors.New("the first frame is not a welcome")
	errStopped       = errors.New("this proxy stops")
)

// linkCommand is what the event loop has the link send: one of these.
type linkCommand struct {
	quota      *quota.Request
	suspect    *rpc.SuspectReport
	renewLease bool
}

// controlLink follows the control plane: it finds the member that is the leader, receives its log updates and renews the lease.
// All but commands belongs to the goroutine of run. It is the Server's leaderLink.
type controlLink struct {
	server      *Server
	commands    chan linkCommand
	members     []string // addresses, as last received
	nextAddress string   // the leader, as a member has named it; empty: members are tried in turn
	turn        int
	backoff     retry.Backoff // of connecting; it begins anew with a lease
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
	default: // lost; the event loop must not block
	}
}

// run follows one member after another until ctx ends.
func (l *controlLink) run() {
	ctx := l.server.ctx
	for ctx.Err() == nil {
		if address := l.chooseMember(); address != "" {
			_ = l.follow(address) // whatever the reason, the next member is tried
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(l.backoff.NextMs(rand.Float64())) * time.Millisecond):
		}
	}
}

// chooseMember returns the address of the member to follow next; empty: none is known.
func (l *controlLink) chooseMember() string {
	if address := l.nextAddress; address != "" {
		l.nextAddress = ""
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
	l.turn++
	return addresses[l.turn%len(addresses)]
}

// controlAddresses are addresses of members of the control plane, as other proxies and the settings name them. Other proxies
// come first: they may know of a change since the settings were written.
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

// follow connects to a member and, if it is the leader, stays with it until the connection ends. The error says why the member
// was left.
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

	welcome, version, err := l.greetMember(conn)
	if err != nil {
		return err
	}
	if !welcome.IsLeader {
		if welcome.Leader != address {
			l.nextAddress = welcome.Leader
		}
		return errNotLeader
	}
	s.counters.controlLinks.Add(1)
	s.queue.Put(eventloop.PriorityControl, func() {
		s.tickGossip(welcome.Proxies)
		s.lenderFound(version)
	})
	defer s.queue.Put(eventloop.PriorityControl, s.lenderLost)
	err = l.followLeader(ctx, cancel, conn)
	l.reportLinkEnd(address, err)
	return err
}

// reportLinkEnd tells an operator why the link to a leader has ended: whether this side heard nothing for too long, or the other
// side broke it off.
func (l *controlLink) reportLinkEnd(address string, reason error) {
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

// closeControlConn closes a connection, also one that is closed.
func closeControlConn(conn *rpc.Conn) {
	_ = conn.Close() // fails only if it was closed before
}

// greetMember says up to where this proxy has applied the log, and returns the member's welcome and the
// version of the protocol that the member speaks.
func (l *controlLink) greetMember(conn *rpc.Conn) (welcome *rpc.ProxyWelcome, version uint32, err error) {
	s := l.server
	index, ok := query(s.queue, s.replica.resumeIndex)
	if !ok {
		return nil, 0, errStopped
	}
	hello := &rpc.ProxyHello{Node: s.settings.Node, Incarnation: s.incarnation, Zone: s.settings.Zone, AppliedIndex: index, Version: rpc.ProtocolVersion}
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

// followLeader receives log updates and leases until the connection ends. A second goroutine requests the leases; it has ended
// when followLeader returns.
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
			s.queue.Put(eventloop.PriorityControl, func() { s.quotaAnswered(frame.QuotaResponse) })
		case frame.LeaseResponse != nil:
			if err := l.handleLeaseResponse(conn, frame.LeaseResponse, requests); err != nil {
				return err
			}
		}
	}
}

// handleLogUpdate has the event loop apply a log update. If it does not fit, the link is made anew, and the leader sends what
// is missing.
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

// handleSnapshotChunk has the event loop take in a part of a snapshot, and acknowledges it.
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
		s.log.Error("snapshot was not taken", "error", err)
		closeControlConn(conn)
	}
}

func (l *controlLink) handleLeaseResponse(conn *rpc.Conn, response *rpc.LeaseResponse, requests *leaseRequestTimes) error {
	if len(response.Members) > 0 {
		l.members = response.Members
	}
	if response.Postponed { // the answer to the same request follows
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
		s.leaseGranted(response, requestedAt)
	})
	return nil
}
