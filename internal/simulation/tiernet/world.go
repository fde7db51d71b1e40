// Package tiernet simulates the planners and forwarders of the older router in one goroutine, with seeded network delays and
// faults. The simulation runs the real cores of both programs and the real decision module, which take the time as an
// argument. Hosts and discovery are simulated. All times are virtual.
//
// A World schedules commands and faults. A command arrives at a forwarder, whose decision module dispatches it to a host. The
// host's answer, role and position go back to the module and, in reports, to the planners. Planners also probe hosts, and send
// changes of their view to the forwarders. Meanwhile the world checks that
//   - each command has one final answer, within its client timeout,
//   - no write runs twice,
//   - no read misses what it must see,
//   - no command is sent to a host that is drained or removed, and
//   - no cold host is overloaded.
//
// World.Violations lists the violations of these rules, and World.FaultLog the injected faults.
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
	startTime = 1000 * second // virtual time at the start of a world
	// loadDelay is the time until the first command.
	loadDelay = 500 * millisecond
	// settleTime is how long a world runs after its last command. It is longer than the longest client timeout.
	settleTime = 4 * second
)

// Size describes the system and the load of a world.
type Size struct {
	Forwarders int
	Planners   int
	// Sets is the number of replica sets. Each has Members hosts.
	Sets    int
	Members int
	// Rate is the number of commands per second at all forwarders together.
	Rate float64
	// Duration is the time during which commands arrive.
	Duration policy.TenthMs
	// Faults is the number of faults injected during the first three quarters of Duration.
	Faults int
}

// SinkFunc returns the sink for the trace of one incarnation of a forwarder.
type SinkFunc func(forwarder string, incarnation int, deployment policy.Deployment) record.Sink

// World is the state of one simulation run.
type World struct {
	Size
	*scheduler.Scheduler
	hosts       []*host
	sets        []*replicaSet
	planners    []*plannerProcess
	forwarders  []*forwarderProcess
	hostList    []view.Host               // the current discovery list
	listHistory [][]view.Host             // by revision, starting at 1
	executions  map[string]int            // number of runs of each write, by command id
	lastCommits map[string]policy.TenthMs // position of the last acknowledged write, by session
	newSink     SinkFunc                  // nil if forwarders write no traces

	// Numbers of received commands and of final answers by kind.
	Received, Answered, Throttled, Failed int
	// Probes counts the health checks of planners.
	Probes int
	// FirstWriteTimes holds the times from an election to a forwarder's first write answered by the new primary.
	FirstWriteTimes []policy.TenthMs
	// PrimaryViewTimes holds the times from an election until a forwarder's view has the new primary.
	PrimaryViewTimes []policy.TenthMs
}

// New returns the initial world for a seed. Forwarders write no traces.
func New(seed uint64, size Size) *World { return NewWithTraces(seed, size, nil) }

// NewWithTraces returns the initial world for a seed. Forwarders write traces of their decision modules to the sinks that
// newSink returns; if newSink is nil, they write none.
func NewWithTraces(seed uint64, size Size, newSink SinkFunc) *World {
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
		forwarder := &forwarderProcess{w: w, name: "f" + strconv.Itoa(i), partitionedFrom: map[int]bool{}}
		w.forwarders = append(w.forwarders, forwarder)
		forwarder.start()
	}
	return w
}

// addSet adds a replica set. Its first host is the primary.
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

// Run runs the whole simulation with load and faults, and checks that every command has a final answer.
func (w *World) Run() {
	w.After(loadDelay, w.sendCommand)
	for range w.Faults {
		w.After(w.Between(second, w.Duration*3/4), w.injectFault)
	}
	w.RunFor(w.Duration + settleTime)
	for _, forwarder := range w.forwarders {
		for id := range forwarder.commands {
			w.RecordViolation("%s: %s has no final answer", forwarder.name, id)
		}
	}
}

// sendCommand sends a command to a random forwarder, and schedules the next command.
func (w *World) sendCommand() {
	if w.Now > startTime+w.Duration {
		return
	}
	w.After(policy.TenthMs(w.Rand.ExpFloat64()/w.Rate*float64(second)), w.sendCommand)
	forwarder := w.forwarders[w.Rand.IntN(len(w.forwarders))]
	if forwarder.up {
		forwarder.receiveCommand()
	}
}

// host returns the host with a name, which must exist.
func (w *World) host(name string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
	return w.hosts[i]
}

// setListState has discovery list a host in another state. Each planner receives the new list after its own delay.
func (w *World) setListState(h *host, standing policy.ListState) {
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

// publishList publishes the current list of hosts as a new revision.
func (w *World) publishList() {
	w.listHistory = append(w.listHistory, slices.Clone(w.hostList))
}

// revision returns the newest revision of the list.
func (w *World) revision() int64 { return int64(len(w.listHistory)) }

// listAt returns a copy of the list at a revision.
func (w *World) listAt(revision int64) []view.Host { return slices.Clone(w.listHistory[revision-1]) }

// Range of the network delay of a message.
const (
	minNetworkDelay = millisecond / 2
	maxNetworkDelay = 3 * millisecond
)

// afterNetwork calls do after a random network delay.
func (w *World) afterNetwork(do func()) {
	w.After(w.Between(minNetworkDelay, maxNetworkDelay), do)
}

// inMs returns a span in milliseconds, for messages.
func inMs(span policy.TenthMs) int64 { return span / millisecond }
