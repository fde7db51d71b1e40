package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
)

// halvesWorld injects what the fault budget does not bound: the members cut into two halves while all callers and proxies reach both,
// a minority that misses updates while the others go dark, power lost everywhere, and losses that overlap. Disks are lost only as far
// as the budget allows, one of them while halves are cut. Service may rest; nothing acknowledged may be lost or shown older.
type halvesWorld struct {
	*partitionCluster
	disksLeft     int  // that may still be lost
	keepsIdentity bool // a member whose disk is lost keeps its vote: a safeguard that a test removes
	halved        bool
	counts        [halvesFaultKinds]int
}

const halvesFaultKinds = 6

func newHalvesWorld(seed uint64, size int) *halvesWorld {
	c := newPartitionCluster(seed, size, 2, 0.05, noSafeguard)
	return &halvesWorld{partitionCluster: c, disksLeft: max(1, (size-1)/2)}
}

// injectFaults injects one fault after another until a time.
func (w *halvesWorld) injectFaults(until int64) {
	if w.Now > until {
		return
	}
	w.After(w.Between(200, 1800), func() { w.injectFaults(until) })
	kind := w.Rand.IntN(halvesFaultKinds)
	w.counts[kind]++
	m := w.members[w.Rand.IntN(len(w.members))]
	switch kind {
	case 0, 1:
		w.cutIntoHalves(w.Between(500, 6000))
	case 2:
		w.crashFor(m, w.Between(100, 4000))
	case 3:
		w.loseDisk(m)
	case 4:
		w.LogFault("all members lose power")
		for _, other := range w.members {
			w.crashFor(other, w.Between(200, 1500))
		}
	case 5:
		w.leaveMinorityBehind()
	}
}

// cutIntoHalves separates two halves from each other.
func (w *halvesWorld) cutIntoHalves(span int64) {
	if w.halved {
		return
	}
	members := slices.Clone(w.members)
	w.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	one := members[:len(members)/2]
	w.cut(one, members[len(members)/2:], span)
}

// cut separates two sets of members from each other.
func (w *halvesWorld) cut(one, other []*partitionMember, span int64) {
	w.halved = true
	mode := []blockMode{dropFrames, delayFrames}[w.Rand.IntN(2)]
	w.LogFault("%d members are cut off from %d for %d, %s", len(one), len(other), span, mode)
	for _, a := range one {
		for _, b := range other {
			a.blocked[b.ip], b.blocked[a.ip] = mode, mode
		}
	}
	w.After(span, func() {
		w.halved = false
		for _, m := range w.members {
			m.heal()
		}
	})
}

func (w *halvesWorld) crashFor(m *partitionMember, span int64) {
	if !m.Up() {
		return
	}
	w.LogFault("%s loses power for %d", m.ip, span)
	m.crash(true)
	w.After(span, func() {
		if !m.Up() {
			m.start()
		}
	})
}

// loseDisk has a member come back without its data, under a new identity.
func (w *halvesWorld) loseDisk(m *partitionMember) {
	if w.disksLeft == 0 || !m.Up() {
		return
	}
	w.disksLeft--
	w.LogFault("%s loses its disk", m.ip)
	m.crash(true)
	m.disk.Lose()
	if !w.keepsIdentity {
		m.identity = storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%d", m.ip, m.Incarnation()))}
	}
	w.After(w.Between(100, 1500), func() {
		if !m.Up() {
			m.start()
		}
	})
}

// leaveMinorityBehind cuts off a minority, which misses updates; then one of the others loses its disk and the rest go dark, and the
// cut heals.
func (w *halvesWorld) leaveMinorityBehind() {
	if w.halved {
		return
	}
	minority := (len(w.members) - 1) / 2
	span := w.Between(1500, 4000)
	others := w.members[minority:]
	w.cut(w.members[:minority], others, span)
	w.After(span-w.Between(10, 300), func() {
		w.loseDisk(others[0])
		for _, m := range others[1:] {
			w.crashFor(m, w.Between(2000, 6000))
		}
	})
}

// finish ends all faults, and checks that the members serve again in time and that nothing acknowledged is lost.
func (w *halvesWorld) finish() {
	w.calm = true
	for _, m := range w.members {
		clear(m.blocked)
		if !m.Up() {
			m.start()
		}
	}
	w.RunFor(8000)
	before := w.confirmed
	w.RunFor(4000)
	if w.confirmed < before+3 {
		w.Violate("RECOVER: %d updates are confirmed in 4 s, 8 s after the last fault", w.confirmed-before)
	}
	w.checkNothingLost()
}

func TestHalvesAndOverlappingLossesLoseNothing(t *testing.T) {
	t.Parallel()
	var counts [halvesFaultKinds]int
	confirmed := 0
	sizes := []int{3, 3, 5, 6}
	for seed := range partitionSeedCount() {
		w := newHalvesWorld(uint64(seed), sizes[seed%len(sizes)])
		w.After(1500, func() { w.injectFaults(w.StartTime + 12_000) })
		w.RunFor(18_000)
		w.finish()
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, len(w.members), w.report())
		}
		confirmed += w.confirmed
		for kind, count := range w.counts {
			counts[kind] += count
		}
	}
	t.Logf("%d updates confirmed, faults by kind %v", confirmed, counts)
	require.Greater(t, confirmed, 8*partitionSeedCount())
}

// A member that forgets with its disk what it promised, and votes on, is found by something acknowledged that is lost or shown older.
func TestHalvesSimulationDetectsAVoteOfAnEmptyDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(400) {
		w := newHalvesWorld(seed, 3)
		w.keepsIdentity = true
		func() {
			defer func() {
				if p := recover(); p != nil { // an assertion of the log itself
					w.Violate("LOST: %v", p)
				}
			}()
			w.After(1500, func() { w.injectFaults(w.StartTime + 12_000) })
			w.RunFor(18_000)
			w.finish()
		}()
		if len(w.Violations) > 0 {
			t.Logf("detected by seed %d: %s", seed, w.Violations[0])
			return
		}
	}
	require.Fail(t, "400 seeds detected nothing")
}

// Right after an update was acknowledged, as many disks are lost as the budget allows, and all other machines lose power at the same
// moment. What was acknowledged is still there when they are back.
func TestClosingFaultLosesNothingAcknowledged(t *testing.T) {
	t.Parallel()
	struck := 0
	sizes := []int{3, 5, 6}
	for seed := range partitionSeedCount() {
		w := newHalvesWorld(uint64(seed), sizes[seed%len(sizes)])
		w.RunFor(2500 + int64(seed%7)*130)
		acknowledged := w.newestAcknowledged(w.Now)
		for deadline := w.Now + 3000; w.newestAcknowledged(w.Now) == acknowledged && w.Now < deadline; {
			w.RunFor(1)
		}
		w.RunFor(w.Between(0, 6)) // at the very moment of the acknowledgement, and soon after
		if w.newestAcknowledged(w.Now) > acknowledged {
			struck++
		}
		members := slices.Clone(w.members)
		w.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		lost := w.disksLeft
		for _, m := range members[:lost] {
			w.loseDisk(m)
		}
		for _, m := range members[lost:] {
			w.crashFor(m, w.Between(300, 1500))
		}
		for _, p := range w.proxies {
			if p.link != nil {
				p.link.closed = true
			}
			w.After(w.Between(300, 1500), p.start)
		}
		w.RunFor(2000)
		w.finish()
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, len(w.members), w.report())
		}
	}
	require.Greater(t, struck, partitionSeedCount()*3/4)
}
