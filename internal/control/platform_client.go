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
	promotionTimeout       = 900 * time.Millisecond // for a call to the platform, from the decision on
	platformConnectTimeout = 600 * time.Millisecond
)

// platformClient calls the platform that runs the database hosts.
type platformClient struct {
	localIP string
	log     hclog.Logger
	mayAct  func(leaderTerm uint64) bool // whether what was decided in a term may still go out
}

// promotionBody is the JSON body of a call for a promotion.
type promotionBody struct {
	ID      string `json:"Id"`
	Service string
}

// requestPromotion asks the platform to make a host the primary of its service. The platform rejects a fencing token that is
// older than one it has seen.
func (c *platformClient) requestPromotion(ctx context.Context, address string, promotion failover.Promotion) failover.PromotionOutcome {
	body, _ := json.Marshal(promotionBody{ID: promotion.Host, Service: promotion.Service}) // strings: it can't fail
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/promotion", address), bytes.NewReader(body))
	if err != nil {
		return failover.PromotionNotExecuted
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Duty-Holder", promotion.Owner)
	request.Header.Set("X-Fence-Token", strconv.FormatUint(promotion.FencingToken, 10))
	var written atomic.Bool // the goroutine that writes may outlive the call
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := rpc.Dial(ctx, c.localIP, address, platformConnectTimeout)
			if err != nil {
				return nil, err
			}
			return &leaseCheckedConn{Conn: conn, mayAct: func() bool { return c.mayAct(promotion.LeaderTerm) }, written: &written}, nil
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

// leaseCheckedConn is a connection that writes only while the lease of the decision is held.
type leaseCheckedConn struct {
	net.Conn
	mayAct  func() bool
	written *atomic.Bool // something was written
}

// Write implements net.Conn. It returns errLeaseOver, and writes nothing, once the lease is over.
func (c *leaseCheckedConn) Write(data []byte) (int, error) {
	if !c.mayAct() {
		return 0, errLeaseOver
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
