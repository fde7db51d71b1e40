package cluster

import (
	"context"
	"sync"
	"time"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/simulation/program"
)

// settleTime is how long a run waits after the last statement, so that all hosts can apply the acknowledged writes.
const settleTime = 300 * time.Millisecond

// runLoad has clients send statements. The configuration changes after an eighth of the time, and the primary crashes a quarter
// of the time after that. With UpgradeFrom, the system is upgraded and downgraded instead.
func (c *cluster) runLoad(ctx context.Context) (*Result, error) {
	sending, stop := context.WithTimeout(ctx, c.For)
	defer stop()
	var clients sync.WaitGroup
	for proxy := range c.size.proxies {
		for i := range c.Sessions {
			clients.Go(func() { c.runClient(sending, proxy, i) })
		}
	}
	if c.UpgradeFrom != "" {
		err := c.upgradeAndDowngrade(sending)
		stop()
		clients.Wait()
		if err != nil {
			return nil, err
		}
		time.Sleep(settleTime)
		return c.collect(), nil
	}
	var configErr error
	if sleep(sending, c.For/8) == nil {
		configErr = c.replaceConfig(ctx, 1, 2)
	}
	if sleep(sending, c.For/4) == nil {
		c.crashPrimary()
	}
	clients.Wait()
	if configErr != nil {
		return nil, configErr
	}
	time.Sleep(settleTime)
	return c.collect(), nil
}

// crashPrimary crashes the primary, which stays down for a quarter of the run.
func (c *cluster) crashPrimary() {
	c.scheduler.Lock()
	defer c.scheduler.Unlock()
	primary := c.hosts.Primary()
	if primary == nil {
		return
	}
	primary.Crash(false, int64(c.For/4/database.TimeUnit))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashedAt = time.Now()
}

// collect checks the final log and returns the completed result.
func (c *cluster) collect() *Result {
	processes := map[string][]*program.Process{proxyProgram: c.proxies, controlProgram: c.members}
	for name, all := range processes {
		for _, process := range all {
			c.result.PeakRSSKB[name] = max(c.result.PeakRSSKB[name], process.Usage().ResidentKB)
		}
	}
	c.withChecker(func(checker *checker.Checker) {
		checker.CheckFinalLog()
		c.result.AcknowledgedWrites = checker.AcknowledgedWrites()
		c.result.Promotions = c.hosts.Promotions
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range routeKinds {
		for _, operation := range operations {
			if outcomes := c.outcomes[outcomeKey{kind, operation}]; outcomes != nil {
				c.result.Outcomes = append(c.result.Outcomes, *outcomes)
			}
		}
	}
	return &c.result
}
