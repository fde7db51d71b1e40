// Package workload sends an open-loop load of commands over PostgreSQL's protocol: commands are due at times that the
// answers do not delay, and latencies count from those times, so that a slow router shows in them. The answers to each command
// are counted, which shows a missing answer as well as a second one.
//
// Run starts the clients, each with a connection of its own to one router. A client sends the commands that are due one at a
// time; the Tally adds up what all of them saw.
package workload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Groups of commands, as the deployments of tierfleet know them.
const (
	GroupWrite    = "order" // writes, run at most once
	GroupOwnReads = "own"   // reads that see the session's last write
	GroupReads    = "list"  // reads with a staleness bound
)

// Config describes a load.
type Config struct {
	// Routers is the addresses that clients connect to; each client stays with one.
	Routers []string
	// ReplicaSets is the replica sets that commands are for.
	ReplicaSets []int64
	// Clients is how many connections each router has.
	Clients int
	// Rate is the commands a second over all clients.
	Rate float64
	// Duration is how long commands are due.
	Duration time.Duration
	// WriteFraction is the fraction of commands that write, from 0 to 1.
	WriteFraction float64
	// Sessions is how many sessions each client plays; at least one.
	Sessions int
	// Timeout is the client timeout of reads. That of writes is three times as long.
	Timeout time.Duration
	// Seed decides when commands are due and what they are.
	Seed uint64
	// OnAnswer is called for each answer without an error, by several goroutines one at a time. Optional.
	OnAnswer func(router, host, group string, at time.Time)
}

// Tally counts what came of a load.
type Tally struct {
	Sent      int
	Answered  int // without an error
	Throttled int // rejected for now
	Failed    int // answered with another error
	// Lost counts the commands without an answer within the client timeout, unless their router was killed meanwhile.
	Lost int
	// Extra counts the commands with more than one answer, or with none before the router was ready for the next one.
	Extra int
	// Unsent counts the commands that were due while the client could not connect.
	Unsent int
	// Behind is how late a command was sent at worst, from when it was due.
	Behind time.Duration
	// Answers counts the answers by host and group, as in "set1-a list".
	Answers map[string]int
	// Latency is the time in microseconds from when a command was due to its answer, of those answered without an error.
	Latency *hdrhistogram.Histogram
	// Acked is the ids of the writes that were answered without an error.
	Acked []string
}

// Range and precision of latencies.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	latencySignificant = 3 // digits
)

// Check returns an error unless each command sent has exactly one answer.
func (t *Tally) Check() error {
	if t.Sent != t.Answered+t.Throttled+t.Failed || t.Lost+t.Extra > 0 {
		return fmt.Errorf("%d sent: %d answered, %d throttled, %d failed, %d lost, %d with another number of answers than one",
			t.Sent, t.Answered, t.Throttled, t.Failed, t.Lost, t.Extra)
	}
	return nil
}

// load is a load that runs.
type load struct {
	Config
	killed func(router string) bool // may be nil
	start  time.Time

	mu    sync.Mutex // protects the tally
	tally Tally
}

// Run sends a load until its time is over or ctx ends. killed reports that a router was ended on purpose, so that the
// commands it had are not lost; it may be nil.
func Run(ctx context.Context, terms Config, killed func(router string) bool) *Tally {
	l := &load{
		Config: terms,
		killed: killed,
		start:  time.Now(),
		tally: Tally{
			Answers: map[string]int{},
			Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificant),
		},
	}
	var clients sync.WaitGroup
	for i := range l.clientCount() {
		clients.Go(func() { l.newClient(i).run(ctx) })
	}
	clients.Wait()
	return &l.tally
}

func (l *load) clientCount() int { return len(l.Routers) * l.Clients }

// update changes the tally under its lock.
func (l *load) update(change func(*Tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.tally)
}
