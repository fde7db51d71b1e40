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
	var connected atomic.Bool // the dialing goroutine may outlive the call
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := rpc.Dial(ctx, c.localIP, address, platformConnectTimeout)
			connected.Store(err == nil)
			return conn, err
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
		if connected.Load() {
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
