// Package tiernet simulates planners and forwarders of the older router in one goroutine, on a network with seeded delays
// and faults. The cores of both programs and the decision module are the real ones, which take time as an argument; hosts and
// discovery are simulated. Nothing is measured in real time.
//
// A World schedules commands and faults. A command goes to a forwarder, whose decision module dispatches it to a host; the
// host's answer and its role and position go back to the module, and by reports to the planners. Planners probe hosts and
// send what they learn to the forwarders. On the way the world checks that
//   - each command has one final answer, within its client timeout,
//   - no write runs twice,
//   - no read misses what it must see,
//   - no command goes to a host that is drained or gone, and
//   - no cold host is overloaded.
//
// What breaks one of these is in World.Violations, with the faults before it in World.FaultLog.
package tiernet

import (
	"fmt"
	"slices"
	"strconv"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/simulation/scheduler"
	"ferrypitch/policy"
)

// Units of time.
const (
	millisecond = policy.TenthMs(10)
	second      = 1000 * millisecond
)

const (
	startTime = 1000 * second // when a world begins
	// loadDelay is when the first command comes.
	loadDelay = 500 * millisecond
	// settleTime is how long a world goes on after its last command, for which it is the longest client timeout and more.
	settleTime = 4 * second
)

// Size is what a world has.
type Size struct {
	Forwarders int
	Planners   int
	// Sets is how many replica sets there are, of Members hosts each.
	Sets    int
	Members int
	// Rate is the commands a second over all forwarders.
	Rate float64
	// For is how long commands come.
	For policy.TenthMs
	// Faults is how many faults are injected in the first three quarters of that.
	Faults int
}

// SinkFunc returns where an incarnation of a forwarder writes its trace.
type SinkFunc func(forwarder string, incarnation int, deployment policy.Deployment) record.Sink

// World is one simulation.
type World struct {
	Size
	*scheduler.Scheduler
	hosts       []*host
	sets        []*replicaSet
	planners    []*plannerProcess
	forwarders  []*forwarderProcess
	hostList    []view.Host               // as discovery has it
	listHistory [][]view.Host             // by revision, from 1 on
	executions  map[string]int            // of writes, by command
	lastCommits map[string]policy.TenthMs // the last commit that a client knows of, by session
	newSink     SinkFunc                  // nil: forwarders write no traces

	// Counts of commands, by their final answer.
	Received, Answered, Throttled, Failed int
	// Probes counts the health checks of planners.
	Probes int
	// FollowTimes is the times from an election to a forwarder's first write answered by the new primary.
	FollowTimes []policy.TenthMs
	// NamingTimes is the times from an election to the moment at which a forwarder's view names the new primary.
	NamingTimes []policy.TenthMs
}

// New returns the world of a seed, in which nothing has happened.
func New(seed uint64, size Size) *World { return NewCaptured(seed, size, nil) }

// NewCaptured returns a world whose forwarders write traces of what their decision modules do; without newSink, none.
func NewCaptured(seed uint64, size Size, newSink SinkFunc) *World {
	w := &World{
		Size:        size,
		Scheduler:   scheduler.New(seed, startTime, millisecond),
		executions:  map[string]int{},
		lastCommits: map[string]policy.TenthMs{},
		newSink:     newSink,
	}
	for i := range size.Sets {
		w.addSet(i)
	}
	w.publishList()
	for i := range size.Planners {
		planner := &plannerProcess{w: w, index: i}
		w.planners = append(w.planners, planner)
		planner.start()
	}
	for i := range size.Forwarders {
		forwarder := &forwarderProcess{w: w, name: "f" + strconv.Itoa(i), cutFrom: map[int]bool{}}
		w.forwarders = append(w.forwarders, forwarder)
		forwarder.start()
	}
	return w
}

// addSet adds a replica set, whose first host is the primary.
func (w *World) addSet(index int) {
	set := &replicaSet{w: w, id: int64(index + 1)}
	w.sets = append(w.sets, set)
	for i := range w.Members {
		h := &host{
			w:              w,
			name:           fmt.Sprintf("%d%c", set.id, 'a'+i),
			set:            set,
			up:             true,
			replicationLag: w.Between(minReplicationLag, maxReplicationLag),
		}
		set.hosts = append(set.hosts, h)
		w.hosts = append(w.hosts, h)
		w.hostList = append(w.hostList, view.Host{Name: h.name, Address: h.name, Set: set.id, Size: 1})
	}
	set.primary = set.hosts[0]
	set.primary.wasPrimary = true
}

// Run runs the world to its end, with load and faults.
func (w *World) Run() {
	w.After(loadDelay, w.sendCommand)
	for range w.Faults {
		w.After(w.Between(second, w.For*3/4), w.injectFault)
	}
	w.RunFor(w.For + settleTime)
	for _, forwarder := range w.forwarders {
		for id := range forwarder.commands {
			w.Violate("%s: %s has no final answer", forwarder.name, id)
		}
	}
}

// sendCommand sends a command to a forwarder, and has the next one follow.
func (w *World) sendCommand() {
	if w.Now > startTime+w.For {
		return
	}
	w.After(policy.TenthMs(w.Rand.ExpFloat64()/w.Rate*float64(second)), w.sendCommand)
	forwarder := w.forwarders[w.Rand.IntN(len(w.forwarders))]
	if forwarder.up {
		forwarder.receiveCommand()
	}
}

// host returns the host with a name, which there must be.
func (w *World) host(name string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
	return w.hosts[i]
}

// setStanding has discovery list a host with another standing. Planners learn of it each in their time.
func (w *World) setStanding(h *host, standing policy.ListState) {
	for i := range w.hostList {
		if w.hostList[i].Name == h.name {
			w.hostList[i].ListedState, w.hostList[i].BootedAt = standing, h.startedAt
		}
	}
	w.publishList()
	for _, planner := range w.planners {
		planner.fetchList()
	}
}

// publishList makes the list of hosts a new revision.
func (w *World) publishList() {
	w.listHistory = append(w.listHistory, slices.Clone(w.hostList))
}

// revision is that of the newest list.
func (w *World) revision() int64 { return int64(len(w.listHistory)) }

// listAt returns a copy of the list at a revision.
func (w *World) listAt(revision int64) []view.Host { return slices.Clone(w.listHistory[revision-1]) }

// Range of the time that a message takes over the network.
const (
	minNetworkDelay = millisecond / 2
	maxNetworkDelay = 3 * millisecond
)

// afterNetwork runs do once a message sent now has arrived.
func (w *World) afterNetwork(do func()) {
	w.After(w.Between(minNetworkDelay, maxNetworkDelay), do)
}

// inMs is a span in milliseconds, for messages.
func inMs(span policy.TenthMs) int64 { return span / millisecond }
