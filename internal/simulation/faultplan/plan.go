// Package faultplan generates random schedules of faults, signals and configuration changes for a running system. Events come
// in series: several events of one kind, in sequence or at almost the same time, each for a different target. Series may
// overlap. The seed, the size of the system and the time span determine the schedule.
package faultplan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind int

// Kinds of faults, signals and changes.
const (
	Stop           Kind = iota // SIGTERM; the process is restarted some time after its exit
	StopTwice                  // SIGTERM, and a second SIGTERM while the process shuts down
	Kill                       // SIGKILL, then a restart
	Freeze                     // SIGSTOP, then SIGCONT
	Reload                     // changed settings, with or without SIGHUP
	BreakSettings              // invalid settings and SIGHUP, then the valid settings again
	ChangeConfig               // a call of Replace or Amend
	RaceConfig                 // concurrent changes by two operators on the same base version
	InvalidConfig              // a configuration that the control plane must reject
	CrashPrimary               // the primary is down for some time
	CrashReplica               // a replica is down for some time
	ReplacePrimary             // the primary drains and leaves, and a new host starts at its address
	ReplaceReplica             // the same with a replica
	JoinHost                   // a new host joins
	kindCount
)

var kindNames = [kindCount]string{
	Stop:           "stop",
	StopTwice:      "stop twice",
	Kill:           "kill",
	Freeze:         "freeze",
	Reload:         "reload",
	BreakSettings:  "break settings of",
	ChangeConfig:   "change configuration",
	RaceConfig:     "race of two configurations",
	InvalidConfig:  "invalid configuration",
	CrashPrimary:   "crash of the primary",
	CrashReplica:   "crash of a replica",
	ReplacePrimary: "replacement of the primary",
	ReplaceReplica: "replacement of a replica",
	JoinHost:       "another host",
}

// Target is the kind of process that an event applies to.
type Target int

// Targets of events.
const (
	NoTarget Target = iota // no process; the event applies to the configuration or to a database host, depending on its kind
	Member
	Proxy
)

// Event is one fault, signal or change in a schedule.
type Event struct {
	// At is the time of the event since the start of the schedule.
	At time.Duration
	// Kind is the kind of the event.
	Kind Kind
	// Target and TargetIndex select the process that the event applies to.
	Target      Target
	TargetIndex int
	// Duration is how long a process or host is down, frozen or draining, or the delay before a second signal.
	Duration time.Duration
	// Variant selects one of the variants that some kinds of events have.
	Variant int
}

// String describes the event for log messages.
func (e Event) String() string {
	text := fmt.Sprintf("%7.3f s: %s", e.At.Seconds(), kindNames[e.Kind])
	switch e.Target {
	case Member:
		text += fmt.Sprintf(" member %d", e.TargetIndex)
	case Proxy:
		text += fmt.Sprintf(" proxy %d", e.TargetIndex)
	case NoTarget:
	}
	return fmt.Sprintf("%s, %d ms, variant %d", text, e.Duration.Milliseconds(), e.Variant)
}

// System is the number of processes of each kind in the system.
type System struct{ Members, Proxies int }

// randomStream is the stream of the random generator. The seed and the stream determine all random choices.
const randomStream = 21

const (
	seriesInterval       = 900 * time.Millisecond // mean time between the starts of two series
	maxSeries            = 4                      // maximum number of events in a series in a small system
	proxiesPerExtraEvent = 12                     // number of proxies per additional event in a series
	variants             = 1 << 16
)

// maxDurations bounds, by kind, how much longer than minDuration an event may last. minDuration is the shortest duration.
var maxDurations = [kindCount]time.Duration{
	Stop:           1500 * time.Millisecond,
	StopTwice:      1500 * time.Millisecond,
	Kill:           1500 * time.Millisecond,
	Freeze:         2500 * time.Millisecond,
	Reload:         500 * time.Millisecond,
	BreakSettings:  800 * time.Millisecond,
	CrashPrimary:   4 * time.Second,
	CrashReplica:   4 * time.Second,
	ReplacePrimary: 4 * time.Second,
	ReplaceReplica: 4 * time.Second,
}

const minDuration = 100 * time.Millisecond

// weights holds the relative frequency of each kind of series.
var weights = [kindCount]int{
	Stop:           8,
	StopTwice:      3,
	Kill:           5,
	Freeze:         5,
	Reload:         3,
	BreakSettings:  2,
	ChangeConfig:   6,
	RaceConfig:     3,
	InvalidConfig:  3,
	CrashPrimary:   3,
	CrashReplica:   2,
	ReplacePrimary: 2,
	ReplaceReplica: 2,
	JoinHost:       1,
}

// Draw returns the schedule for a seed in order of time. Every event ends within the span, except that a process may take
// longer to shut down.
func Draw(seed uint64, system System, span time.Duration) []Event {
	g := &generator{random: rand.New(rand.NewPCG(seed, randomStream)), system: system, span: span}
	for start := g.drawInterval(); start < span; start += g.drawInterval() {
		g.drawSeries(start)
	}
	slices.SortStableFunc(g.events, func(a, b Event) int { return int(a.At - b.At) })
	return g.events
}

type generator struct {
	random *rand.Rand
	system System
	span   time.Duration
	events []Event
}

// drawInterval returns a random time from one series to the next.
func (g *generator) drawInterval() time.Duration { return g.randomDuration(2 * seriesInterval) }

func (g *generator) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(limit))) + 1
}

// drawSeries adds a series of events of one kind. They are separated by a constant gap, which may be close to zero, and apply
// to processes in turn.
func (g *generator) drawSeries(start time.Duration) {
	kind, target := g.drawKind()
	count := 1 + g.random.IntN(maxSeries)
	first, targets := 0, 1
	switch target {
	case Member:
		targets = g.system.Members
	case Proxy:
		targets = g.system.Proxies
		count += g.random.IntN(1 + targets/proxiesPerExtraEvent)
	case NoTarget:
		if kind >= CrashPrimary {
			count = 1 // more than one would leave no host running
		}
	}
	first = g.random.IntN(targets)
	gap := g.randomDuration([]time.Duration{5 * time.Millisecond, 300 * time.Millisecond, time.Second}[g.random.IntN(3)])
	for i := range count {
		event := Event{
			At:          start + time.Duration(i)*gap,
			Kind:        kind,
			Target:      target,
			TargetIndex: (first + i) % targets,
			Duration:    minDuration,
			Variant:     g.random.IntN(variants),
		}
		if limit := maxDurations[kind]; limit > 0 {
			event.Duration += g.randomDuration(limit)
		}
		if event.At+event.Duration < g.span {
			g.events = append(g.events, event)
		}
	}
}

// drawKind returns a random kind, and whether the series applies to members, proxies or neither.
func (g *generator) drawKind() (kind Kind, target Target) {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	for draw := g.random.IntN(total); draw >= weights[kind]; kind++ {
		draw -= weights[kind]
	}
	if kind >= ChangeConfig {
		return kind, NoTarget
	}
	if g.random.IntN(2) == 0 {
		return kind, Member
	}
	return kind, Proxy
}
