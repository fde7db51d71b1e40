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
	operatorTimeout  = 2 * time.Second // of a call to a member
	readinessTimeout = time.Second     // of a question to a proxy
	retryInterval    = 100 * time.Millisecond
	maxAttempts      = 100
)

// Staleness bounds of the routes, in milliseconds.
const (
	boundedStalenessMs = 1000
	ownedStalenessMs   = 1500
)

// serviceConfig is the configuration by the names that the control plane reads.
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

// configBody is the configuration of a generation. Each has other deadlines, so that a change has an effect.
func configBody(generation int) ([]byte, error) {
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
	return json.Marshal(serviceConfig{
		Generation: generation,
		Routes: []routeConfig{
			route("a", kindLeader, "leader", 1000, 200, 0),
			route("b", kindBounded, "bounded_staleness", 2000, 400, boundedStalenessMs),
			route("c", kindOwned, "owned", 1000, 200, ownedStalenessMs),
		},
		Services: []databaseConfig{{Name: service, MaxConns: 60, SyncReplicas: 1}},
		Limits:   limitsConfig{TxnIdleMs: 3000},
	})
}

// replaceConfig plays the operator: it sends a version to one member after another until one accepts it, and reads it back
// from the next one.
func (c *cluster) replaceConfig(ctx context.Context, base, generation int) error {
	body, err := configBody(generation)
	if err != nil {
		return err
	}
	members := c.memberAddresses()
	for attempt := range maxAttempts {
		if err = sendConfig(ctx, members[attempt%memberCount], base, body); err == nil {
			return c.readConfigBack(ctx, members[(attempt+1)%memberCount], body)
		}
		if waitErr := sleep(ctx, retryInterval); waitErr != nil {
			return waitErr
		}
	}
	return fmt.Errorf("configuration %d after %d attempts: %w", generation, maxAttempts, err)
}

// sendConfig sends a version to one member.
func sendConfig(ctx context.Context, member string, base int, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+member+"/Config.Replace", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("X-Base-Version", strconv.Itoa(base))
	response, err := (&http.Client{Timeout: operatorTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%s: %w", response.Status, err)
	}
	return fmt.Errorf("%s: %s", response.Status, text)
}

// readConfigBack checks that a member has the version that was just accepted.
func (c *cluster) readConfigBack(ctx context.Context, member string, want []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member+"/Config.Read", nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: operatorTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		c.violate("CONFIG: what is read back is not what was acknowledged: %.80q", got)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.ConfigVersions++
	return nil
}

// waitReady waits until all proxies say that they are ready.
func (c *cluster) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: readinessTimeout}
	for i, address := range c.network.addresses(firstProxy, proxyCount, readinessPort) {
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

// sleep waits for a time, or returns the context's error when it ends before.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
