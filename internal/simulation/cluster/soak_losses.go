package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	soakLossStream  = 24 // stream of the random generator
	minLossInterval = 1500 * time.Millisecond
	maxLossInterval = 4 * time.Second
	minLossDown     = 150 * time.Millisecond
	maxLossDown     = 1500 * time.Millisecond
)

// diskLosses takes disks of members in a soak test. Other faults go on meanwhile; only the number of disks that are lost at once
// is limited.
type diskLosses struct {
	soak     *soak
	stop     context.CancelFunc
	running  sync.WaitGroup
	count    int                 // number of lost disks
	awaiting map[*node]time.Time // members whose disk was lost and that may have no seat yet, with the time of the loss

	mu     sync.Mutex // protects random
	random *rand.Rand
}

func newDiskLosses(k *soak) *diskLosses {
	return &diskLosses{soak: k, random: rand.New(rand.NewPCG(k.Seed, soakLossStream)), awaiting: map[*node]time.Time{}}
}

// start takes disks in a goroutine of its own until close is called or ctx ends.
func (d *diskLosses) start(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	d.running.Go(func() { d.run(ctx) })
}

func (d *diskLosses) run(ctx context.Context) {
	for sleep(ctx, d.drawDuration(minLossInterval, maxLossInterval)) == nil {
		d.recordSeated(ctx)
		members := d.soak.memberNodes
		if target := members[d.drawIndex(len(members))]; len(d.awaiting) < d.soak.faultBudget() {
			d.lose(target)
		}
	}
}

// lose takes the disk of a member that has one.
func (d *diskLosses) lose(target *node) {
	if _, lost := d.awaiting[target]; lost {
		return
	}
	d.count++
	d.awaiting[target] = time.Now()
	d.soak.log("%s loses its disk", target.name)
	target.loseDisk(d.drawDuration(minLossDown, maxLossDown))
}

// recordSeated removes from awaiting the members that have a seat again and had the time for catching up.
func (d *diskLosses) recordSeated(ctx context.Context) {
	leader := findLeader(ctx, d.soak.memberAddresses())
	if leader == nil {
		return
	}
	for member, lostAt := range d.awaiting {
		report := askMember(ctx, member.address)
		seated := report != nil && slices.Contains(leader.Consensus.Members, report.Consensus.ID)
		isSpare := report != nil && slices.Contains(leader.Consensus.Learners, report.Consensus.ID)
		if (seated || isSpare) && member.isStable(smallCatchUp) && time.Since(lostAt) > smallCatchUp {
			delete(d.awaiting, member)
		}
	}
}

// close carries out the closing loss: once all seats are filled and a change was acknowledged, as many members lose their disks
// as the fault budget allows, and all other processes end at the same moment. It returns once all run again.
func (d *diskLosses) close(ctx context.Context) {
	k := d.soak
	d.stop()
	d.running.Wait()
	k.awaitRecovery(ctx)
	d.awaitSeats(ctx)
	k.operators.change(ctx, 0)
	nodes := slices.Clone(k.memberNodes)
	d.mu.Lock()
	d.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	d.mu.Unlock()
	k.log("closing loss: disks of %d members, all other processes end", k.faultBudget())
	for i, member := range append(nodes, k.proxyNodes...) {
		if i < k.faultBudget() {
			d.count++
			member.loseDisk(d.drawDuration(minLossDown, maxLossDown))
		} else {
			member.kill(d.drawDuration(minLossDown, maxLossDown))
		}
	}
	for _, n := range k.nodes() {
		n.awaitRunning(ctx)
	}
}

// awaitSeats waits until all seats are filled. Exceeding recoveryTime, extended by stalls, is a violation.
func (d *diskLosses) awaitSeats(ctx context.Context) {
	k, began := d.soak, time.Now()
	for {
		problems := unfilledSeats(ctx, k.memberAddresses(), k.faultBudget())
		if len(problems) == 0 || ctx.Err() != nil {
			return
		}
		if time.Since(began) > recoveryTime+k.stalls.since(began) {
			k.violate("SEAT: %v after the recovery: %s", roundMs(time.Since(began)), strings.Join(problems, ", "))
			return
		}
		_ = sleep(ctx, recoverInterval) // the loop ends with the context
	}
}

// drawSeeds returns SeedPeers for the start of a process.
func (d *diskLosses) drawSeeds() []string {
	members := d.soak.memberAddresses()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), maxSeedPeers)]
}

func (d *diskLosses) drawDuration(least, limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return least + time.Duration(d.random.Int64N(int64(limit-least)))
}

func (d *diskLosses) drawIndex(count int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(count)
}
