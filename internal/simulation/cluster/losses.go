package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"ferrypitch/internal/simulation/faultplan"
)

// LossOptions describes a run of control-plane members alone that lose disks, processes and places.
type LossOptions struct {
	// Seed determines the schedule, the seeds of each start, and the loopback addresses tried first.
	Seed uint64
	// Members is the number of members, and Losses the number of events before the closing one.
	Members, Losses int
	// Binaries holds the programs. If it is nil, they are built.
	Binaries Binaries
}

// LossResult is the result of such a run.
type LossResult struct {
	Seed uint64
	// Changes counts the configuration changes that were acknowledged.
	Changes int
	// SlowestChange is the longest time until a change was acknowledged while nothing was lost.
	SlowestChange time.Duration
	// RecoveredAfter is the time from the start of the last process after the closing loss until all members read the
	// configuration back; 0 if they did not.
	RecoveredAfter time.Duration
	// SlowestSync is the longest time that a small synced write of this process took meanwhile: a disk that stalls explains much.
	SlowestSync time.Duration
	// Violations describes the violations. Each text begins with its time and the name of the rule.
	Violations []string
}

// Bounds of the deployments with five members and those with three.
const (
	largeCatchUp  = 6 * time.Second
	smallCatchUp  = 4 * time.Second
	largeRecovery = 15 * time.Second
	smallRecovery = 12 * time.Second
	largeAckTime  = 6 * time.Second
	smallAckTime  = 5 * time.Second
	contactTime   = 5 * time.Second // ContactMs

	fewMembers = 3
	// spareAddresses is the number of addresses for replaced members, beside those of the first members.
	spareAddresses = 30
	// seedListLag is how long a member that is gone may still be named as a seed (SeedLagS).
	seedListLag = 3 * time.Second
	syncPause   = 200 * time.Millisecond
)

// lossRun is a running control plane that suffers losses.
type lossRun struct {
	*cluster
	LossOptions
	budget                    int // disks that may be lost at once
	catchUp, recovery, ackMax time.Duration
	events                    *os.File
	operator                  *lossOperator

	randomMu sync.Mutex
	random   *rand.Rand
	eventsMu sync.Mutex

	lossMu      sync.Mutex    // protects the fields below
	slots       []*lossMember // current members
	nextAddress int           // of the next process at an unused address
	gone        []goneAddress
	lastLoss    time.Time
}

// goneAddress is the address of a member that has ended for good.
type goneAddress struct {
	address string
	since   time.Time
}

// RunLosses runs control-plane members through a random schedule of losses, within what the fault budget allows, while an
// operator changes the configuration. It leaves settings, data and logs in dir.
func RunLosses(ctx context.Context, dir string, options LossOptions) (*LossResult, error) {
	network, claim, err := claimLoopbackNetwork(options.Seed)
	if err != nil {
		return nil, err
	}
	defer claim.Close()
	events, err := os.Create(filepath.Join(dir, eventsFile))
	if err != nil {
		return nil, err
	}
	defer func() { _ = events.Close() }() // nothing is buffered
	r := &lossRun{
		cluster:     newCluster(dir, network, size{members: options.Members}, Options{Seed: options.Seed, Logf: func(string, ...any) {}}),
		LossOptions: options,
		catchUp:     largeCatchUp, recovery: largeRecovery, ackMax: largeAckTime,
		events:      events,
		nextAddress: options.Members,
		random:      rand.New(rand.NewPCG(options.Seed, lossRunStream)),
		lastLoss:    time.Now(),
	}
	r.budget = r.faultBudget()
	if options.Members <= fewMembers {
		r.catchUp, r.recovery, r.ackMax = smallCatchUp, smallRecovery, smallAckTime
	}
	r.binaries = options.Binaries
	if r.binaries == nil {
		if r.binaries, err = BuildPrograms(dir); err != nil {
			return nil, err
		}
	}
	r.onViolation = func(violation string) { r.log("VIOLATION %s", violation) }
	return r.run(ctx)
}

// lossRunStream is the stream of the random generator for choices at run time.
const lossRunStream = 23

func (r *lossRun) run(ctx context.Context) (*LossResult, error) {
	defer r.stopMembers()
	if err := r.startMembers(); err != nil {
		return nil, err
	}
	result := &LossResult{Seed: r.Seed}
	var background sync.WaitGroup
	measuring, stopMeasuring := context.WithCancel(ctx)
	background.Go(func() { result.SlowestSync = r.measureSyncs(measuring) })
	r.operator = newLossOperator(r)
	changing, stopChanging := context.WithCancel(ctx)
	background.Go(func() { r.operator.run(changing) })
	err := r.play(ctx, result)
	stopChanging()
	stopMeasuring()
	background.Wait()
	result.Changes, result.SlowestChange = r.operator.summary()
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Violations = r.result.Violations
	return result, err
}

// play carries out the schedule and checks what is left after it.
func (r *lossRun) play(ctx context.Context, result *LossResult) error {
	if !r.operator.awaitChange(ctx, r.recovery) {
		return fmt.Errorf("no change was acknowledged within %v of the start", r.recovery)
	}
	r.checkSeats(ctx, "the start")
	schedule := faultplan.DrawLosses(r.Seed, r.Members, r.budget, r.Losses)
	for _, loss := range schedule.Losses {
		if err := sleep(ctx, loss.Wait); err != nil {
			return err
		}
		if err := r.apply(ctx, loss); err != nil {
			return err
		}
	}
	r.checkSeats(ctx, "the last loss")
	if err := r.applyClosing(ctx, schedule.Closing); err != nil {
		return err
	}
	result.RecoveredAfter = r.checkRecovery(ctx)
	return ctx.Err()
}

// apply carries out a loss and returns once all affected processes run again.
func (r *lossRun) apply(ctx context.Context, loss faultplan.Loss) error {
	targets := r.targets(ctx, loss)
	withinBudget := loss.Kind != faultplan.KillAll && loss.Kind != faultplan.ChangeSeeds
	if withinBudget {
		if err := r.awaitBudget(ctx, targets); err != nil {
			return err
		}
	}
	r.log("%s; now %v", loss, targets)
	var affected sync.WaitGroup
	errs := make([]error, len(targets))
	for i, slot := range targets {
		member := r.members()[slot]
		member.lost()
		affected.Go(func() {
			_ = sleep(ctx, time.Duration(i)*loss.Gap) // a loss that has begun is carried out
			r.recordLoss()
			errs[i] = r.lose(ctx, slot, member, loss)
			r.members()[slot].returned()
			r.recordLoss()
		})
	}
	affected.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// lose carries out a loss at one member.
func (r *lossRun) lose(ctx context.Context, slot int, member *lossMember, loss faultplan.Loss) error {
	switch loss.Kind {
	case faultplan.LoseDisks:
		member.process.Kill()
		if err := member.emptyDisk(); err != nil {
			return err
		}
		return r.restartAfter(ctx, member, loss.Down)
	case faultplan.Replace:
		member.process.Kill()
		r.forget(member)
		_ = sleep(ctx, loss.Down) // a loss that has begun is carried out
		return r.startSuccessor(slot)
	case faultplan.ReplacePlanned:
		if err := r.startSuccessor(slot); err != nil {
			return err
		}
		_ = sleep(ctx, loss.Down) // as above
		member.process.Stop()
		r.forget(member)
		return nil
	case faultplan.Suspend:
		member.suspend(ctx, loss.Down)
		return nil
	case faultplan.Terminate:
		member.process.Stop()
		return r.restartAfter(ctx, member, loss.Down)
	case faultplan.ChangeSeeds:
		return member.reload(r.drawSeeds())
	default:
		member.process.Kill()
		return r.restartAfter(ctx, member, loss.Down)
	}
}

// targets returns the members that a loss affects.
func (r *lossRun) targets(ctx context.Context, loss faultplan.Loss) []int {
	targets := slices.Clone(loss.Targets)
	leader := -1
	if loss.LeaderFirst {
		leader = r.leaderSlot(ctx)
	}
	if leader < 0 || targets[0] == leader {
		return targets
	}
	if i := slices.Index(targets, leader); i > 0 {
		targets[i] = targets[0]
	}
	targets[0] = leader
	return targets
}

// awaitBudget waits until the loss of the targets does not exceed the fault budget. A member counts as lost for the time that it
// has for catching up after its return.
func (r *lossRun) awaitBudget(ctx context.Context, targets []int) error {
	for {
		lost := len(targets)
		for slot, member := range r.members() {
			if !slices.Contains(targets, slot) && member.countsAsLost(r.catchUp) {
				lost++
			}
		}
		if lost <= r.budget {
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// applyClosing takes the disks of as many members as the budget allows, right after a change was acknowledged, and ends all other
// processes at the same moment. It waits until members that have returned no longer count as lost.
func (r *lossRun) applyClosing(ctx context.Context, closing faultplan.ClosingLoss) error {
	if err := r.awaitBudget(ctx, closing.Disks); err != nil {
		return err
	}
	if !r.operator.awaitChange(ctx, r.recovery) {
		r.violate("ACK: no change was acknowledged within %v before the closing loss", r.recovery)
	}
	_ = sleep(ctx, closing.Delay) // ctx is checked below
	r.log("closing loss: disks of %v, all down %v", closing.Disks, closing.AllDown)
	r.recordLoss()
	var affected sync.WaitGroup
	errs := make([]error, r.Members)
	for slot, member := range r.members() {
		emptied := slices.Contains(closing.Disks, slot)
		if !emptied && !closing.AllDown {
			continue
		}
		affected.Go(func() {
			member.process.Kill()
			if emptied {
				errs[slot] = member.emptyDisk()
			}
			if errs[slot] == nil {
				errs[slot] = r.restartAfter(ctx, member, closing.Down[slot])
			}
		})
	}
	affected.Wait()
	r.recordLoss()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// recordLoss records that something was lost or has returned just now.
func (r *lossRun) recordLoss() {
	r.lossMu.Lock()
	defer r.lossMu.Unlock()
	r.lastLoss = time.Now()
}

// calmSince returns since when nothing was lost and the machines count as being in contact.
func (r *lossRun) calmSince() time.Time {
	r.lossMu.Lock()
	defer r.lossMu.Unlock()
	return r.lastLoss.Add(contactTime)
}

// measureSyncs writes and syncs a small file until ctx ends and returns the longest time that this took.
func (r *lossRun) measureSyncs(ctx context.Context) (slowest time.Duration) {
	file, err := os.Create(filepath.Join(r.dir, "sync"))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }() // nobody reads the file
	for sleep(ctx, syncPause) == nil {
		began := time.Now()
		if _, err := file.WriteAt([]byte{1}, 0); err != nil || file.Sync() != nil {
			return slowest
		}
		slowest = max(slowest, time.Since(began))
	}
	return slowest
}

// log writes a line to the event log.
func (r *lossRun) log(format string, args ...any) {
	r.eventsMu.Lock()
	defer r.eventsMu.Unlock()
	fmt.Fprintf(r.events, "%s %7.3f s: %s\n", time.Now().Format("15:04:05.000"), time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
