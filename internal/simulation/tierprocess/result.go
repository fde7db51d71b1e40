package tierprocess

import (
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/fake/postgres"
	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/simulation/workload"
)

// Result is what came of a run.
type Result struct {
	Config
	// Hosts is the record of the simulated hosts.
	Hosts postgres.Stats
	// The counts of the clients; see workload.Tally.
	Sent, Answered, Throttled, Failed, Lost, Extra, Unsent int
	// Violations counts the rules that were broken, by the record of hosts and clients.
	Violations int
	// WrongExecutions counts the acknowledged writes that did not run exactly once.
	WrongExecutions int
	// MedianMs and P99Ms are latencies in milliseconds, from when a command was due.
	MedianMs, P99Ms float64
	// BehindMs is how late a command was sent at worst, in milliseconds: the load's own delay.
	BehindMs float64
	// DiscoveryLines counts the lines that discovery has sent.
	DiscoveryLines int
	// HealthChecksPerSecond is the health checks at all hosts together.
	HealthChecksPerSecond float64
	// Takeovers is the times of each change of a primary that forwarders have followed.
	Takeovers []TakeoverTimes
	// Forwarder and Planner are what one process takes.
	Forwarder, Planner ProcessUsage
}

// TakeoverTimes is the times in milliseconds from the promotion of a primary until forwarders had a first write answered
// there: half of them, and 99 %.
type TakeoverTimes struct {
	MedianMs, P99Ms float64
}

// ProcessUsage is what one of several like processes takes.
type ProcessUsage struct {
	// CPUSeconds is the mean processor time.
	CPUSeconds float64
	// RSSKB is the resident memory of the largest in kB.
	RSSKB int
}

// result puts together what is known after the faults have ended. before is the hosts' record at the start of the load.
func (r *run) result(tally *workload.Tally, before postgres.Stats, elapsed time.Duration) *Result {
	stats := r.fleet.Hosts.Stats()
	wrongExecutions := r.countWrongExecutions(tally.Acked)
	return &Result{
		Config:                r.Config,
		Hosts:                 stats,
		Sent:                  tally.Sent,
		Answered:              tally.Answered,
		Throttled:             tally.Throttled,
		Failed:                tally.Failed,
		Lost:                  tally.Lost,
		Extra:                 tally.Extra,
		Unsent:                tally.Unsent,
		Violations:            stats.Violations() + tally.Lost + tally.Extra + wrongExecutions,
		WrongExecutions:       wrongExecutions,
		MedianMs:              float64(tally.Latency.ValueAtQuantile(50)) / 1000,
		P99Ms:                 float64(tally.Latency.ValueAtQuantile(99)) / 1000,
		BehindMs:              milliseconds(tally.Behind),
		DiscoveryLines:        r.fleet.Discovery.LinesWritten(),
		HealthChecksPerSecond: float64(stats.HealthChecks-before.HealthChecks) / elapsed.Seconds(),
		Takeovers:             r.takeoverTimes(),
		Forwarder:             usage(r.forwarders),
		Planner:               usage(r.planners),
	}
}

func (r *run) countWrongExecutions(acknowledged []string) int {
	wrong := 0
	for _, id := range acknowledged {
		if r.fleet.Hosts.Executions(id) != 1 {
			wrong++
		}
	}
	return wrong
}

func (r *run) takeoverTimes() []TakeoverTimes {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []TakeoverTimes
	for _, takeover := range r.finished {
		times := slices.Sorted(maps.Values(takeover.firstWrites))
		if n := len(times); n > 0 {
			all = append(all, TakeoverTimes{MedianMs: milliseconds(times[n/2]), P99Ms: milliseconds(times[n*99/100])})
		}
	}
	return all
}

func usage(processes []*program.Process) ProcessUsage {
	var result ProcessUsage
	for _, process := range processes {
		usage := process.Usage()
		result.CPUSeconds += usage.CPU.Seconds() / float64(len(processes))
		result.RSSKB = max(result.RSSKB, usage.ResidentKB)
	}
	return result
}

func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }
