package cluster

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"ferrypitch/internal/simulation/program"
)

const (
	// upgradePause is the pause between two processes, so that each takes part in the system again before the next one stops.
	upgradePause = 500 * time.Millisecond
	// readyPollInterval is the interval between readiness checks of a process.
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 10 * time.Second
)

// Upgrade describes the restart of a process with the program of another release.
type Upgrade struct {
	Process string
	ToNew   bool          // false for a downgrade to the older release
	Stopped time.Duration // from SIGTERM to the exit
	Ready   time.Duration // from the start until the process was ready
}

// olderBinaries returns the programs of the older release.
func (c *cluster) olderBinaries() Binaries {
	older := Binaries{}
	for _, name := range []string{proxyProgram, controlProgram} {
		older[name] = filepath.Join(c.UpgradeFrom, name)
	}
	return older
}

// upgradeAndDowngrade upgrades all processes one after another, members before proxies, and then downgrades them in the same
// order. The configuration is changed after each member, so also while two releases run at the same time.
func (c *cluster) upgradeAndDowngrade(ctx context.Context) error {
	version := 1
	for _, toNew := range []bool{true, false} {
		binaries := c.olderBinaries()
		if toNew {
			binaries = c.binaries
		}
		for i, member := range c.members {
			step := Upgrade{Process: fmt.Sprint(controlProgram, i), ToNew: toNew}
			if err := c.upgrade(ctx, member, binaries[controlProgram], c.memberReady(i), step); err != nil {
				return err
			}
			if err := c.replaceConfig(ctx, version, version+1); err != nil {
				return fmt.Errorf("after %s: %w", step.Process, err)
			}
			version++
		}
		for i, proxy := range c.proxies {
			step := Upgrade{Process: fmt.Sprint(proxyProgram, i), ToNew: toNew}
			if err := c.upgrade(ctx, proxy, binaries[proxyProgram], c.proxyReady(i), step); err != nil {
				return err
			}
		}
	}
	return nil
}

// upgrade restarts a process with another binary and waits until it is ready.
func (c *cluster) upgrade(ctx context.Context, process *program.Process, binary, readyURL string, step Upgrade) error {
	began := time.Now()
	process.Stop()
	step.Stopped = time.Since(began)
	process.SetBinary(binary)
	began = time.Now()
	if err := process.Restart(); err != nil {
		return err
	}
	if err := waitForStatusOK(ctx, readyURL); err != nil {
		return fmt.Errorf("%s: %w", step.Process, err)
	}
	step.Ready = time.Since(began)
	c.Logf("%s runs %s, stopped in %v, ready in %v", step.Process, binary, step.Stopped.Round(time.Millisecond), step.Ready.Round(time.Millisecond))
	c.mu.Lock()
	c.result.Upgrades = append(c.result.Upgrades, step)
	c.mu.Unlock()
	return sleep(ctx, upgradePause)
}

// memberReady returns a URL that a member answers with 200 once it is the leader or can forward to the leader.
func (c *cluster) memberReady(i int) string {
	return "http://" + c.network.address(firstMember+i, controlPort) + "/Config.Read"
}

// proxyReady returns a URL that a proxy answers with 200 once it accepts clients.
func (c *cluster) proxyReady(i int) string {
	return "http://" + c.network.address(firstProxy+i, readinessPort) + "/readiness"
}

// waitForStatusOK polls a URL until it is answered with 200.
func waitForStatusOK(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if sleep(ctx, readyPollInterval) != nil {
			return fmt.Errorf("not ready after %v", readyTimeout)
		}
	}
}
