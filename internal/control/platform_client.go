package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/rpc"
)

const (
	promotionTimeout       = 900 * time.Millisecond // for a call to the platform, starting at the decision
	platformConnectTimeout = 600 * time.Millisecond
)

// platformClient calls the platform that runs the database hosts.
type platformClient struct {
	localIP    string
	log        hclog.Logger
	holdsLease func(leaderTerm uint64) bool // whether this member still holds the leader lease of a term
}

// promotionBody is the JSON body of a promotion request.
type promotionBody struct {
	ID      string `json:"Id"`
	Service string
}

// requestPromotion asks the platform to promote a host to primary of its service. The platform rejects a fencing token that is
// lower than one it has already seen.
func (c *platformClient) requestPromotion(ctx context.Context, address string, promotion failover.Promotion) failover.PromotionOutcome {
	body, _ := json.Marshal(promotionBody{ID: promotion.Host, Service: promotion.Service}) // strings only: cannot fail
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/promotion", address), bytes.NewReader(body))
	if err != nil {
		return failover.PromotionNotExecuted
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Duty-Holder", promotion.Owner)
	request.Header.Set("X-Fence-Token", strconv.FormatUint(promotion.FencingToken, 10))
	var written atomic.Bool // atomic because the transport's writing goroutine may outlive the call
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := rpc.Dial(ctx, c.localIP, address, platformConnectTimeout)
			if err != nil {
				return nil, err
			}
			return &leaseCheckedConn{Conn: conn, holdsLease: func() bool { return c.holdsLease(promotion.LeaderTerm) }, written: &written}, nil
		},
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		c.log.Info("promotion got no response", "host", promotion.Host, "error", err)
		progress := retry.NotSent
		if written.Load() {
			progress = retry.Sent
		}
		if retry.Decide(retry.Promotion, progress) == retry.RetryNow {
			return failover.PromotionNotExecuted
		}
		return failover.PromotionUnknown
	}
	response.Body.Close()
	c.log.Info("promotion got a response", "host", promotion.Host, "status", response.StatusCode)
	return promotionOutcome(response.StatusCode)
}

// leaseCheckedConn is a connection that writes only while the lease under which the promotion was decided is held.
type leaseCheckedConn struct {
	net.Conn
	holdsLease func() bool
	written    *atomic.Bool // set before the first write
}

// Write implements net.Conn. Once the lease is no longer held, it returns errLeaseExpired and writes nothing.
func (c *leaseCheckedConn) Write(data []byte) (int, error) {
	if !c.holdsLease() {
		return 0, errLeaseExpired
	}
	c.written.Store(true)
	return c.Conn.Write(data)
}

func promotionOutcome(status int) failover.PromotionOutcome {
	switch {
	case status < http.StatusMultipleChoices:
		return failover.PromotionSucceeded
	case status == http.StatusConflict:
		return failover.PromotionRejected
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return failover.PromotionNotExecuted
	}
	return failover.PromotionUnknown
}
