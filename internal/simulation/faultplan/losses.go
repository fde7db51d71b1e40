package faultplan

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// LossKind is the kind of a Loss.
type LossKind int

// Kinds of losses.
const (
	LoseDisks      LossKind = iota // processes are killed, and return with empty disks
	Replace                        // a process is killed for good, and one with an empty disk starts at another address
	ReplacePlanned                 // the successor starts first, then the process gets SIGTERM
	KillProcesses                  // processes are killed, and return with their disks
	KillAll                        // the same for all processes at once
	Suspend                        // a process is suspended for some time
	Terminate                      // a process gets SIGTERM, and is restarted with its disk
	ChangeSeeds                    // all processes get other seeds and SIGHUP
	lossKindCount
)

var lossKindNames = [lossKindCount]string{
	LoseDisks:      "disks lost",
	Replace:        "replacement",
	ReplacePlanned: "planned replacement",
	KillProcesses:  "processes killed",
	KillAll:        "all processes killed",
	Suspend:        "suspension",
	Terminate:      "SIGTERM",
	ChangeSeeds:    "other seeds",
}

// lossWeights holds the relative frequency of each kind.
var lossWeights = [lossKindCount]int{
	LoseDisks:      6,
	Replace:        3,
	ReplacePlanned: 2,
	KillProcesses:  4,
	KillAll:        2,
	Suspend:        2,
	Terminate:      2,
	ChangeSeeds:    1,
}

// Loss is an event that takes away members of a control plane or their disks.
type Loss struct {
	// Wait is the time since the loss before, which passes also if that one lasts.
	Wait time.Duration
	Kind LossKind
	// Targets are the affected members, in this order.
	Targets []int
	// LeaderFirst makes the member that leads the first target, in place of the one drawn.
	LeaderFirst bool
	// Gap is the time from one target to the next.
	Gap time.Duration
	// Down is how long a target is down or suspended.
	Down time.Duration
}

// String describes the loss for log messages.
func (l Loss) String() string {
	return fmt.Sprintf("%s of %v, leader first %v, %d ms apart, for %d ms", lossKindNames[l.Kind], l.Targets, l.LeaderFirst,
		l.Gap.Milliseconds(), l.Down.Milliseconds())
}

// ClosingLoss is the last event of a schedule. It strikes right after a change was acknowledged.
type ClosingLoss struct {
	// Delay is the time from the acknowledgement to the loss.
	Delay time.Duration
	// Disks are the members that lose their disks.
	Disks []int
	// AllDown tells that all other members end at the same moment, and keep their disks.
	AllDown bool
	// Down is how long each member is down.
	Down []time.Duration
}

// LossSchedule is a schedule of losses that a control plane must survive.
type LossSchedule struct {
	Losses  []Loss
	Closing ClosingLoss
}

const (
	lossStream     = 22 // stream of the random generator
	maxLossWait    = 2500 * time.Millisecond
	maxLossGap     = 2 * time.Second
	minDown        = 150 * time.Millisecond
	maxDown        = 1500 * time.Millisecond
	maxSuspension  = 2500 * time.Millisecond
	maxClosingWait = 6 * time.Millisecond
)

// DrawLosses returns the schedule for a seed. At most budget members lose their disks in one event.
func DrawLosses(seed uint64, members, budget, count int) LossSchedule {
	random := rand.New(rand.NewPCG(seed, lossStream))
	var schedule LossSchedule
	for range count {
		schedule.Losses = append(schedule.Losses, drawLoss(random, members, budget))
	}
	closing := &schedule.Closing
	closing.Delay = time.Duration(random.Int64N(int64(maxClosingWait)))
	closing.Disks = random.Perm(members)[:budget]
	closing.AllDown = random.IntN(4) > 0
	for range members {
		closing.Down = append(closing.Down, drawDuration(random, minDown, maxDown))
	}
	return schedule
}

func drawLoss(random *rand.Rand, members, budget int) Loss {
	loss := Loss{
		Wait:        drawDuration(random, 0, maxLossWait),
		Kind:        drawLossKind(random),
		LeaderFirst: random.IntN(2) == 0,
		Gap:         drawDuration(random, 0, maxLossGap),
		Down:        drawDuration(random, minDown, maxDown),
	}
	if random.IntN(2) == 0 {
		loss.Gap = 0
	}
	count := 1
	switch loss.Kind {
	case LoseDisks, KillProcesses:
		count += random.IntN(budget)
	case KillAll, ChangeSeeds:
		count, loss.LeaderFirst = members, false
	case Suspend:
		loss.Down = drawDuration(random, minDown, maxSuspension)
	default:
	}
	loss.Targets = random.Perm(members)[:count]
	return loss
}

func drawLossKind(random *rand.Rand) (kind LossKind) {
	total := 0
	for _, weight := range lossWeights {
		total += weight
	}
	for draw := random.IntN(total); draw >= lossWeights[kind]; kind++ {
		draw -= lossWeights[kind]
	}
	return kind
}

func drawDuration(random *rand.Rand, least, limit time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(limit-least)))
}
