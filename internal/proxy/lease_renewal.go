package proxy

import (
	"context"
	"sync"
	"time"

	"ferrypitch/internal/rpc"
)

// maxPendingLeaseRequests is how many lease requests without a response are remembered; older ones are removed.
const maxPendingLeaseRequests = 64

// leaseRequestTimes records when lease requests without a response were sent, in milliseconds of the server's clock. The
// goroutines that send requests and receive responses share it.
type leaseRequestTimes struct {
	mu     sync.Mutex
	sentAt map[uint64]int64 // keyed by serial number of the request
}

func newLeaseRequestTimes() *leaseRequestTimes { return &leaseRequestTimes{sentAt: map[uint64]int64{}} }

func (r *leaseRequestTimes) record(serial uint64, sentAt int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt[serial] = sentAt
	delete(r.sentAt, serial-maxPendingLeaseRequests)
}

// take returns the time at which a request was sent and removes it. It returns 0 if the request is not known.
func (r *leaseRequestTimes) take(serial uint64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sentAt := r.sentAt[serial]
	delete(r.sentAt, serial)
	return sentAt
}

// renewLeases requests leases and sends reports until ctx is canceled or the connection fails. It records the time of a request
// before sending it, since the lease is valid from that time.
func (l *controlLink) renewLeases(ctx context.Context, conn *rpc.Conn, requests *leaseRequestTimes) {
	s := l.server
	renewal := time.NewTicker(leaseRenewInterval)
	defer renewal.Stop()
	for serial := uint64(1); ; serial++ {
		request, ok := query(s.queue, func() *rpc.LeaseRequest {
			return s.newLeaseRequest(serial)
		})
		if !ok {
			return
		}
		requests.record(serial, s.clock.Now())
		s.counters.leaseRequests.Add(1)
		if conn.Send(&rpc.Frame{LeaseRequest: request}, controlSendTimeout) != nil {
			closeControlConn(conn)
			return
		}
		if !l.sendReports(ctx, conn, renewal) {
			return
		}
	}
}

func (s *Server) newLeaseRequest(serial uint64) *rpc.LeaseRequest {
	return &rpc.LeaseRequest{
		Serial:       serial,
		AppliedIndex: s.replica.state.Index,
		Sessions:     len(s.sessions.open),
		Acknowledged: s.acknowledgedPositions(),
	}
}

// frame returns the frame that a command sends. The command must not be a lease request.
func (c linkCommand) frame() *rpc.Frame {
	if c.quota != nil {
		return &rpc.Frame{Version: rpc.ProtocolVersion, NeedsVersion: rpc.VersionQuotas, QuotaRequest: c.quota}
	}
	return &rpc.Frame{SuspectReport: c.suspect}
}

// sendReports sends reports and requests for tokens until the next lease request is due. It returns false if ctx was canceled or
// the connection failed.
func (l *controlLink) sendReports(ctx context.Context, conn *rpc.Conn, renewal *time.Ticker) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-renewal.C:
			return true
		case command := <-l.commands:
			if command.renewLease {
				return true
			}
			if conn.Send(command.frame(), controlSendTimeout) != nil {
				closeControlConn(conn)
				return false
			}
		}
	}
}

// handleLeaseGrant extends the lease once the log is applied up to the leader's commit index at the time of the grant. requestedAt
// is the send time of the lease request, in milliseconds of the server's clock, or 0 if it is not known.
func (s *Server) handleLeaseGrant(granted *rpc.LeaseResponse, requestedAt int64) {
	if requestedAt == 0 {
		return
	}
	s.counters.leasesGranted.Add(1)
	s.lease.addPending(pendingGrant{requestedAt, granted.CommitIndex, granted.ProxyCount})
	s.applyPendingLeases()
}

// applyPendingLeases extends the lease by the pending grants whose commit index has been applied.
func (s *Server) applyPendingLeases() {
	if s.lease.applyPending(s.replica.state.Index) {
		s.sweep(s.clock.Time())
	}
}

// reportRevocationApplied tells the leader immediately, by a lease request, that a revocation was applied here: the next primary is
// appointed only after all proxies have applied it.
func (s *Server) reportRevocationApplied() {
	if s.revocationUnreported {
		s.revocationUnreported = false
		s.leader.renewLease()
	}
}
