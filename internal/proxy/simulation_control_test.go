package proxy

import (
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/statemachine"
)

// reliableControl is a control plane of one member that never fails. Its messages may be delayed or lost.
type reliableControl struct {
	sim         *simulation
	state       *statemachine.State
	log         [][]byte
	grantor     *lease.Grantor
	coordinator *failover.Coordinator

	// Safeguards that a test may disable.
	allCaughtUp func(index uint64) bool
	alterResult func(failover.HostQuery, *failover.QueryResult)
}

const initialConfig = `{"Generation":1,"Routes":[
{"Name":"a","Host":"lead","PathPrefix":"/","Kind":"leader","DeadlineMs":1000,"TargetMs":150,"Priority":1,"Service":"db","MaxTries":2},
{"Name":"b","Host":"bound","PathPrefix":"/","Kind":"bounded_staleness","DeadlineMs":2000,"TargetMs":300,"Priority":2,"Service":"db","MaxTries":2,"StalenessMs":600},
{"Name":"c","Host":"own","PathPrefix":"/","Kind":"owned","DeadlineMs":1000,"TargetMs":150,"Priority":2,"Service":"db","MaxTries":2,"StalenessMs":900}],
"Services":[{"Name":"db","MaxConns":60,"SyncReplicas":1}],"Limits":{"TxnIdleMs":2000}}`

// heartbeatMs is the interval between heartbeats of a host, in milliseconds.
const heartbeatMs = 1200

func newReliableControl(sim *simulation) *reliableControl {
	c := &reliableControl{sim: sim, state: &statemachine.State{}}
	c.grantor = lease.NewGrantor(c.nowMs() - 10*lease.DurationMs) // no lease of another member can be valid
	c.coordinator = failover.New("control", 1, heartbeatMs, c.nowMs())
	c.coordinator.OnEvent = func(event failover.Event) { sim.LogFault("%s", event) }
	c.allCaughtUp = func(index uint64) bool { return c.grantor.AllCaughtUp(index, c.state.ProxyNames(), c.nowMs()) }
	return c
}

func (c *reliableControl) nowMs() int64 { return c.sim.Now / millisecond }

func (c *reliableControl) start() {
	for _, host := range c.sim.database.Hosts {
		c.apply(statemachine.Change{AddHost: &statemachine.Host{ID: host.ID, Service: "db", Address: host.ID}})
	}
	c.apply(statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{Body: []byte(initialConfig)}})
	c.tick()
}

// apply appends a change to the log, applies it, and sends it to the proxies.
func (c *reliableControl) apply(change statemachine.Change) {
	c.log = append(c.log, statemachine.EncodeChange(change))
	if err := c.state.Apply(uint64(len(c.log)), change); err != nil {
		panic(err)
	}
	switch {
	case change.RevokePrimary != nil, change.MarkMissing != "", change.ReplicationResumed != "":
		c.coordinator.ChangeApplied("db")
	case change.NominatePrimary != nil:
		c.sim.LogFault("nominated in the log: %s", change.NominatePrimary.Host)
		c.coordinator.ChangeApplied("db")
	case change.AppointPrimary != nil:
		c.coordinator.ChangeApplied("db")
		c.sim.LogFault("%s is the primary by the log, term %d", change.AppointPrimary.Host, change.AppointPrimary.Term)
	}
	for _, proxy := range c.sim.proxies {
		proxy.sendLogUpdates()
	}
}

func (c *reliableControl) tick() {
	c.sim.After(20*millisecond, c.tick)
	c.evaluate()
}

// evaluate executes the actions that the coordinator requests.
func (c *reliableControl) evaluate() {
	sim := c.sim
	actions := c.coordinator.Tick(c.state, c.allCaughtUp, c.nowMs())
	for _, change := range actions.Proposals {
		sim.After(sim.Between(2*millisecond, 12*millisecond), func() { c.apply(change) })
	}
	for _, query := range actions.Queries {
		c.queryHost(query)
	}
	for _, promotion := range actions.Promotions {
		sim.LogFault("%s is nominated to the platform", promotion.Host)
		sim.After(sim.Between(2*millisecond, 20*millisecond), func() { c.promote(promotion) })
	}
}

// promote calls the platform, which may reject the promotion, fail, or answer ambiguously.
func (c *reliableControl) promote(promotion failover.Promotion) {
	sim := c.sim
	outcome, host := failover.PromotionSucceeded, sim.database.Host(promotion.Host)
	switch {
	case !host.Up:
		outcome = failover.PromotionRejected
	case sim.OneIn(10):
		outcome = failover.PromotionNotExecuted
	default:
		sim.After(sim.Between(80*millisecond, 400*millisecond), func() { host.Promote() })
		if sim.OneIn(5) {
			outcome = failover.PromotionUnknown
		}
	}
	sim.After(sim.Between(2*millisecond, 8*millisecond), func() {
		c.coordinator.PromotionFinished(promotion, outcome, c.nowMs())
	})
}

func (c *reliableControl) queryHost(query failover.HostQuery) {
	sim, host := c.sim, c.sim.database.Host(query.Host)
	sim.After(sim.Between(1*millisecond, 4*millisecond), func() {
		result := failover.QueryResult{Query: query}
		responseDelay := sim.Between(1*millisecond, 4*millisecond)
		switch {
		case !host.Up && !host.Unreachable:
			result.ConnectionRefused = true
		case !host.Up || host.Unreachable || sim.Now < sim.frozenUntil[host.ID]:
			result.TimedOut, responseDelay = true, queryTimeout
			if host.Up && !host.Unreachable {
				sim.executeAfterFreeze(query, host)
			}
		default:
			result.Status = host.Control(query.Command.Text(), query.Term)
			if c.alterResult != nil {
				c.alterResult(query, &result)
			}
		}
		sim.After(responseDelay, func() {
			c.coordinator.QueryFinished(result, c.nowMs())
			c.evaluate()
		})
	})
}

// queryTimeout is how long the control plane waits for a host's answer.
const queryTimeout = 350 * millisecond
