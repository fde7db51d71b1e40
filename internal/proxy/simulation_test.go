package proxy

import (
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/simulation/scheduler"
	"ferrypitch/internal/statemachine"
)

// A simulation consists of complete proxies without sockets, hosts that replicate, a control plane that performs failovers and
// grants leases, and clients. It runs in one thread and is deterministic for a seed. After each statement it checks the guarantees
// of the wire protocol: no stale read, no write applied twice, no acknowledged write lost, no effect of a statement that was
// answered as having none, and each statement on the connection of its transaction with the settings of its client.
type simulation struct {
	*scheduler.Scheduler
	epoch         time.Time
	maxClockDrift int64 // maximum clock drift of any process, in thousandths

	database    *database.Group
	frozenUntil map[string]int64 // time until which a host is frozen, by host
	resetOneIn  int              // the connection is reset at one in resetOneIn writes to a host; 0: never

	control *reliableControl // the control plane, if it never fails; otherwise nil
	cluster *controlCluster  // the control plane, if its members may fail; otherwise nil
	proxies []*proxyProcess
	clients []*client
	checker *checker.Checker
	tenants *simulatedTenants // nil: clients do not authenticate

	writersStopped      bool  // writers send nothing
	maxTransactionPause int64 // longest pause of a client inside a transaction

	served          int   // statements answered without an error
	dials           int   // connection attempts of proxies to hosts
	lastWriteAt     int64 // when the last write was acknowledged
	longestWriteGap int64 // longest time between two acknowledged writes
}

// Durations in simulated time, in the scheduler's units of 100 µs.
const (
	millisecond = 10
	second      = 1000 * millisecond
)

// unitDuration is the scheduler's unit as a duration.
const unitDuration = 100 * time.Microsecond

const (
	faultsEnd          = 8 * second // no fault is injected later
	simulationLength   = 16 * second
	clusterExtraLength = 6 * second // the delays of a host that is down for six seconds and of a slow platform can add up
)

// newSimulation returns a simulation whose control plane never fails.
func newSimulation(seed uint64, proxies, clients int) *simulation {
	sim := newBareSimulation(seed)
	sim.control = newReliableControl(sim)
	sim.addHosts()
	sim.control.start()
	sim.addProxiesAndClients(proxies, clients)
	return sim
}

func newBareSimulation(seed uint64) *simulation {
	sim := &simulation{
		Scheduler:   scheduler.New(seed, 1<<40, millisecond),
		epoch:       time.Unix(1e9, 0),
		frozenUntil: map[string]int64{},

		maxTransactionPause: 60 * millisecond,
	}
	sim.database = &database.Group{
		Scheduler:          sim.Scheduler,
		Logf:               sim.LogFault,
		OnRead:             sim.checkFreshness,
		LostAnswerOneIn:    300,
		RejectedWriteOneIn: 60,
		OnHeartbeat:        sim.heartbeat,
	}
	sim.checker = &checker.Checker{
		Bounds:          map[string]int64{"bound": 600 * millisecond, "own": 900 * millisecond},
		ReadYourWrites:  map[string]bool{"own": true},
		Group:           sim.database,
		RecordViolation: sim.RecordViolation,
	}
	return sim
}

func (sim *simulation) addHosts() {
	for i := range 3 {
		sim.database.Add(fmt.Sprintf("h%d", i))
	}
}

func (sim *simulation) addProxiesAndClients(proxies, clients int) {
	for i := range proxies {
		proxy := &proxyProcess{sim: sim, name: fmt.Sprintf("r%d", i), clockDrift: sim.drawClockDrift()}
		sim.proxies = append(sim.proxies, proxy)
		proxy.start()
	}
	for i := range clients {
		c := &client{sim: sim, index: i, routeKind: []string{"lead", "bound", "own"}[i%3]}
		sim.clients = append(sim.clients, c)
		sim.After(sim.Between(600*millisecond, 900*millisecond), c.connect)
	}
}

// run runs the simulation and checks the final state. A panic is a violation.
func (sim *simulation) run() {
	sim.After(second, sim.injectFaults)
	if sim.cluster != nil {
		sim.After(sim.Between(second, 3*second), sim.cluster.injectFaults)
	}
	defer func() {
		if cause := recover(); cause != nil {
			sim.RecordViolation("a panic: %v\n%s", cause, debug.Stack())
		}
	}()
	sim.RunFor(simulationLength)
	if sim.cluster != nil {
		sim.RunFor(clusterExtraLength)
	}
	sim.checker.CheckFinalLog()
	if sim.cluster == nil {
		return
	}
	sim.cluster.checkNoDivergence()
	if sim.cluster.operator != nil {
		sim.cluster.operator.checkFinalConfig()
	}
	for _, host := range sim.database.Hosts {
		if host.Up && !host.IsPrimary && host.PausedTimeline > 0 {
			sim.RecordViolation("PAUSED: %s was never told to go on", host.ID)
		}
	}
}

// report returns the violations, followed by the faults that were injected.
func (sim *simulation) report() string {
	return strings.Join(sim.Violations, "\n") + "\nafter\n" + strings.Join(sim.FaultLog, "\n")
}

// heartbeat sends a host's heartbeat to the control plane.
func (sim *simulation) heartbeat(host *database.Host) {
	isPrimary := host.IsPrimary
	if sim.cluster != nil {
		sim.cluster.sendHeartbeat(host)
		return
	}
	sim.After(sim.Between(1*millisecond, 4*millisecond), func() {
		control := sim.control
		control.coordinator.Heartbeat(host.ID, isPrimary, control.nowMs())
		if known := control.state.Hosts[host.ID]; known.Missing {
			known.Missing = false
			control.apply(statemachine.Change{AddHost: &known})
		}
	})
}

// clock returns a monotonic clock that drifts by the given thousandths.
func (sim *simulation) clock(drift int64) func() time.Time {
	return func() time.Time {
		return sim.time().Add(time.Duration((sim.Now-sim.StartTime)*drift/1000) * unitDuration)
	}
}

// drawClockDrift returns a random drift for the clock of a process, in thousandths.
func (sim *simulation) drawClockDrift() int64 {
	if sim.maxClockDrift == 0 {
		return 0
	}
	return sim.Between(-sim.maxClockDrift, sim.maxClockDrift)
}

func (sim *simulation) time() time.Time {
	return sim.epoch.Add(time.Duration(sim.Now) * unitDuration)
}

// checkFreshness checks that a read includes all writes that it must see.
func (sim *simulation) checkFreshness(host *database.Host, _ *database.Conn, requestID string) {
	if c, present := sim.ownerOf(requestID); c != nil && present && c.beganAt > 0 {
		sim.checker.CheckRead(host, checker.Reader{Kind: c.routeKind, Session: c.sessionName(), BeganAt: c.beganAt})
	}
}
