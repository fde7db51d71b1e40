package tierprocess

import (
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/fake/postgres"
	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/simulation/workload"
)

// Result is the result of a run.
type Result struct {
	Config
	// Hosts holds the counts of the simulated hosts.
	Hosts postgres.Stats
	// Counts of commands at the clients; see workload.Tally.
	Sent, Answered, Throttled, Failed, Lost, Extra, Unsent int
	// Violations counts the violations that hosts and clients detected.
	Violations int
	// WrongExecutions counts the acknowledged writes that the hosts did not run exactly once.
	WrongExecutions int
	// MedianMs and P99Ms are latencies in milliseconds, measured from the due times of commands.
	MedianMs, P99Ms float64
	// BehindMs is the longest delay in milliseconds between a command's due time and its sending by the load generator.
	BehindMs float64
	// DiscoveryLines counts the lines that discovery sent to its clients.
	DiscoveryLines int
	// HealthChecksPerSecond is the rate of health checks at all hosts together.
	HealthChecksPerSecond float64
	// Takeovers holds the times of each change of a primary after which a forwarder had a write answered by the new primary.
	Takeovers []TakeoverTimes
	// Forwarder and Planner are the resource usage of the processes of each kind.
	Forwarder, Planner ProcessUsage
}

// TakeoverTimes holds the median and the 99th percentile, over all forwarders, of the time in milliseconds from the promotion of
// a primary to the first write that it answered.
type TakeoverTimes struct {
	MedianMs, P99Ms float64
}

// ProcessUsage is the resource usage of the processes of one kind.
type ProcessUsage struct {
	// CPUSeconds is the mean processor time per process.
	CPUSeconds float64
	// RSSKB is the resident memory in kB of the largest process.
	RSSKB int
}

// buildResult returns the result of a run after the faults have ended. before holds the hosts' counts at the start of the load.
func (r *run) buildResult(tally *workload.Tally, before postgres.Stats, elapsed time.Duration) *Result {
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
		BehindMs:              milliseconds(tally.MaxSendDelay),
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
