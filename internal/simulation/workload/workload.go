// Package workload generates an open-loop load of commands over the PostgreSQL protocol. Commands are due at times that do
// not depend on the answers, and latencies are measured from these times, so they include the delay caused by a slow router.
// The answers to each command are counted, which detects missing and duplicate answers.
//
// Run starts the clients, each with its own connection to one router. A client sends its commands one at a time; the Tally
// adds up the outcomes of all clients.
package workload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Command groups, with the names that the deployments of tierfleet configure.
const (
	GroupWrite          = "order" // writes, run at most once
	GroupReadYourWrites = "own"   // reads that see the session's last write
	GroupBoundedReads   = "list"  // reads with a staleness bound
)

// Config describes a load.
type Config struct {
	// Routers holds the addresses that clients connect to. Each client uses only one of them.
	Routers []string
	// ReplicaSets holds the replica sets that commands are sent to.
	ReplicaSets []int64
	// Clients is the number of clients, each with one connection, for each router.
	Clients int
	// Rate is the number of commands per second of all clients together.
	Rate float64
	// Duration is the time during which commands become due.
	Duration time.Duration
	// WriteFraction is the fraction of writes among the commands, from 0 to 1.
	WriteFraction float64
	// Sessions is the number of sessions that each client simulates; less than one counts as one.
	Sessions int
	// Timeout is the client timeout of reads. The timeout of writes is three times as long.
	Timeout time.Duration
	// Seed determines the due times and the contents of the commands.
	Seed uint64
	// OnAnswer is called for each answer without an error, from several goroutines but never concurrently. Optional.
	OnAnswer func(router, host, group string, at time.Time)
}

// Tally counts the outcomes of the commands of a load.
type Tally struct {
	Sent      int
	Answered  int // without an error
	Throttled int // rejected with a retryable error
	Failed    int // answered with another error
	// Lost counts the commands without an answer within the client timeout, except those whose router was killed meanwhile.
	Lost int
	// Extra counts the commands with more than one answer, and those with none before the router's ReadyForQuery.
	Extra int
	// Unsent counts the commands that were due while the client could not connect.
	Unsent int
	// MaxSendDelay is the longest delay between a command's due time and its sending.
	MaxSendDelay time.Duration
	// Answers counts the answers without an error by host and group; a key is, for example, "set1-a list".
	Answers map[string]int
	// Latency holds, for commands answered without an error, the time in microseconds from the due time to the answer.
	Latency *hdrhistogram.Histogram
	// Acked holds the ids of the acknowledged writes.
	Acked []string
}

// Range and precision of the latency histogram.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	latencySignificant = 3 // significant digits
)

// Check returns an error unless each command sent has exactly one answer.
func (t *Tally) Check() error {
	if t.Sent != t.Answered+t.Throttled+t.Failed || t.Lost+t.Extra > 0 {
		return fmt.Errorf("%d sent: %d answered, %d throttled, %d failed, %d lost, %d with another number of answers than one",
			t.Sent, t.Answered, t.Throttled, t.Failed, t.Lost, t.Extra)
	}
	return nil
}

// load is the state of a running load.
type load struct {
	Config
	recentlyKilled func(router string) bool // may be nil
	start          time.Time

	mu    sync.Mutex // protects tally
	tally Tally
}

// Run generates a load until its duration is over or ctx ends. The function recentlyKilled reports whether a router was killed
// deliberately, in which case its unanswered commands don't count as lost. It may be nil.
func Run(ctx context.Context, config Config, recentlyKilled func(router string) bool) *Tally {
	l := &load{
		Config:         config,
		recentlyKilled: recentlyKilled,
		start:          time.Now(),
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

// update runs change on the tally while holding its lock.
func (l *load) update(change func(*Tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.tally)
}
