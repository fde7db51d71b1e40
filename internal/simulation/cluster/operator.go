package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	operatorTimeout  = 2 * time.Second // for a call to a member
	readinessTimeout = time.Second     // for a readiness check of a proxy
	retryInterval    = 100 * time.Millisecond
	maxAttempts      = 100
)

// MaxConns of the service: the connections that a host accepts from all proxies together.
const (
	minConns      = 60
	connsPerProxy = 6
)

// Staleness bounds of the routes, in milliseconds.
const (
	boundedStalenessMs = 1000
	ownedStalenessMs   = 1500
)

// serviceConfig is the configuration in the JSON format of the control plane.
type serviceConfig struct {
	Generation int
	Routes     []routeConfig
	Services   []databaseConfig
	Limits     limitsConfig
}

type routeConfig struct {
	Name, Host, PathPrefix, Kind string
	DeadlineMs, TargetMs         int
	Priority                     int
	Service                      string
	MaxTries                     int
	StalenessMs                  int
}

type databaseConfig struct {
	Name         string
	MaxConns     int
	SyncReplicas int
}

type limitsConfig struct {
	TxnIdleMs int
}

// configOf returns the configuration of a generation. The deadlines depend on the generation, so that each change has an effect.
func (c *cluster) configOf(generation int) serviceConfig {
	route := func(name, host, kind string, deadlineMs, targetMs, stalenessMs int) routeConfig {
		return routeConfig{
			Name:        name,
			Host:        host,
			PathPrefix:  "/",
			Kind:        kind,
			DeadlineMs:  deadlineMs + generation,
			TargetMs:    targetMs,
			Priority:    1,
			Service:     service,
			MaxTries:    2,
			StalenessMs: stalenessMs,
		}
	}
	return serviceConfig{
		Generation: generation,
		Routes: []routeConfig{
			route("a", kindLeader, "leader", 1000, 200, 0),
			route("b", kindBounded, "bounded_staleness", 2000, 400, boundedStalenessMs),
			route("c", kindOwned, "owned", 1000, 200, ownedStalenessMs),
		},
		Services: []databaseConfig{{Name: service, MaxConns: max(minConns, c.size.proxies*connsPerProxy), SyncReplicas: 1}},
		Limits:   limitsConfig{TxnIdleMs: 3000},
	}
}

// replaceConfig replaces the configuration like an operator: it sends a version to the members in turn until one accepts it,
// and reads it back from the next member.
func (c *cluster) replaceConfig(ctx context.Context, base, generation int) error {
	body, err := json.Marshal(c.configOf(generation))
	if err != nil {
		return err
	}
	members := c.memberAddresses()
	for attempt := range maxAttempts {
		if err = sendConfig(ctx, members[attempt%len(members)], base, body); err == nil {
			return c.readConfigBack(ctx, rotated(members, (attempt+1)%len(members)), body)
		}
		if waitErr := sleep(ctx, retryInterval); waitErr != nil {
			return waitErr
		}
	}
	return fmt.Errorf("configuration %d after %d attempts: %w", generation, maxAttempts, err)
}

// sendConfig sends a version to one member. It returns an error unless the member accepts it.
func sendConfig(ctx context.Context, member string, base int, body []byte) error {
	status, text, err := postConfig(ctx, member, replacePath, base, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%d: %s", status, text)
	}
	return err
}

// Paths of the calls that change the configuration.
const (
	replacePath = "/Config.Replace"
	amendPath   = "/Config.Amend"
)

// postConfig sends a configuration change to one member and returns the status and body of the response.
func postConfig(ctx context.Context, member, path string, base int, body []byte) (status int, text string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+member+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("X-Base-Version", strconv.Itoa(base))
	return doRequest(request)
}

// readConfig requests the configuration from a member and returns the status and body of the response.
func readConfig(ctx context.Context, member string) (status int, text string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member+"/Config.Read", nil)
	if err != nil {
		return 0, "", err
	}
	return doRequest(request)
}

func doRequest(request *http.Request) (status int, text string, err error) {
	response, err := (&http.Client{Timeout: operatorTimeout}).Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// readConfigBack reads the configuration from the members in turn until one answers, and checks that it is the version that
// was just accepted.
func (c *cluster) readConfigBack(ctx context.Context, members []string, want []byte) error {
	status, got, err := 0, "", error(nil)
	for attempt := 0; attempt < maxAttempts && status != http.StatusOK; attempt++ {
		if status, got, err = readConfig(ctx, members[attempt%len(members)]); status != http.StatusOK {
			_ = sleep(ctx, retryInterval) // the loop is bounded
		}
	}
	if err != nil {
		return err
	}
	if got != string(want) {
		c.violate("CONFIG: what is read back is not what was acknowledged: %.80q", got)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.ConfigVersions++
	return nil
}

// waitReady waits until all proxies report that they are ready.
func (c *cluster) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: readinessTimeout}
	for i, address := range c.network.addresses(firstProxy, c.size.proxies, readinessPort) {
		for attempt := 0; !isReady(ctx, client, address); attempt++ {
			if attempt >= maxAttempts {
				return fmt.Errorf("proxy %d is not ready after %v", i, maxAttempts*retryInterval)
			}
			if err := sleep(ctx, retryInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readiness", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sleep waits for a span. It returns the context's error if ctx ends first.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
