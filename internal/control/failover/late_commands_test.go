package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/wire"
)

// lateCommands is a harness in which commands often time out and are executed late while the primary accepts writes.
type lateCommands struct {
	*harness
	seed   uint64
	random *rand.Rand

	acknowledged      uint64           // the greatest position that the primary and a replica have received
	handledPromotions int              // promotions whose effect was scheduled
	revokedAt         map[uint64]int64 // by index of a revocation: when allCaughtUp was first called for it
	behindUntil       [3]int64         // by host: until when it receives no writes
	stalledHost       string           // executes no commands until stalledUntil, then all of them
	stalledUntil      int64
	noDelays          bool // commands are executed in time, except by the stalled host

	delayedCommands, stalledCommands, switchovers int
}

func newLateCommands(t *testing.T, seed uint64) *lateCommands {
	l := &lateCommands{
		harness:      newHarness(t),
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 5)),
		acknowledged: 100,
		revokedAt:    map[uint64]int64{},
	}
	l.now += l.random.Int64N(1200)
	l.allCaughtUp = l.proxiesCaughtUp
	l.lateBy = l.commandDelay
	return l
}

func (l *lateCommands) proxiesCaughtUp(index uint64) bool {
	if l.revokedAt[index] == 0 {
		l.revokedAt[index] = l.now
	}
	return l.now >= l.revokedAt[index]+int64(index*37+l.seed)%900
}

func (l *lateCommands) commandDelay(query HostQuery) int64 {
	delay := 10 + int64(query.Serial*131+l.seed*17)%900
	delayed := []Command{Resume, Pause}[l.seed%2]
	switch {
	case query.Host == l.stalledHost && l.now < l.stalledUntil:
		l.stalledCommands++
		return l.stalledUntil - l.now + delay/3
	case l.noDelays || query.Command != delayed || (query.Serial*7+l.seed)%5 > 2:
		return 0
	}
	l.delayedCommands++
	return delay
}

func (l *lateCommands) step() {
	l.run(testTickMs)
	primary := l.primary()
	for _, id := range []string{"h0", "h1", "h2"} {
		host := l.hosts[id]
		if !host.IsPrimary || id != primary.Host || primary.Revoked && l.proxiesCaughtUp(primary.ChangedIndex) {
			continue
		}
		l.write(id, host)
	}
	for ; l.handledPromotions < len(l.promotions); l.handledPromotions++ {
		hostID := l.promotions[l.handledPromotions].Host
		l.after(100, func() { l.takeEffect(hostID) })
	}
}

// write adds a write at a primary; it is acknowledged once one replica has received it.
func (l *lateCommands) write(id string, primary *fakeHost) {
	primary.ReceivedPosition = wire.Position{Timeline: primary.Timeline, Number: primary.ReceivedPosition.Number + 1}
	for n, other := range []string{"h0", "h1", "h2"} {
		if l.now >= l.behindUntil[n] && l.random.IntN(30) == 0 {
			l.behindUntil[n] = l.now + 30 + l.random.Int64N(400)
		}
		replica := l.hosts[other]
		if other != id && !replica.IsPrimary && replica.PausedTimeline == 0 && l.now >= l.behindUntil[n] {
			replica.ReceivedPosition = primary.ReceivedPosition
			l.acknowledged = primary.ReceivedPosition.Number
		}
	}
}

// takeEffect promotes a host, which must have every acknowledged write. The other hosts follow its log.
func (l *lateCommands) takeEffect(hostID string) {
	promoted := l.hosts[hostID]
	if promoted.IsPrimary {
		return
	}
	require.GreaterOrEqual(l.t, promoted.ReceivedPosition.Number, l.acknowledged, "seed %d: LOST by the promotion of %s", l.seed, hostID)
	position := promoted.ReceivedPosition.Number
	l.promote(hostID)
	for id, host := range l.hosts {
		host.ReceivedPosition.Number = min(host.ReceivedPosition.Number, position)
		if id != hostID && host.Timeline < promoted.Timeline && !host.IsPrimary {
			host.Timeline = promoted.Timeline
		}
	}
}

func (l *lateCommands) runFor(durationMs int64) {
	for until := l.now + durationMs; l.now < until; {
		l.step()
	}
}

// switchOver drains the primary until another host is primary, with occasional changes of the control plane's leader.
func (l *lateCommands) switchOver() {
	oldPrimary := l.primary().Host
	l.stalledHost = fmt.Sprintf("h%d", l.random.IntN(3))
	if l.stalledHost != oldPrimary && l.random.IntN(3) == 0 {
		l.stalledUntil = l.now + 300 + l.random.Int64N(3000)
		l.runFor(l.random.Int64N(1500))
	}
	if l.random.IntN(3) == 0 {
		l.startNextLeader()
	}
	host := l.drain(oldPrimary)
	for until := l.now + 25000; l.now < until && l.primary().Host == oldPrimary; {
		l.step()
		if l.random.IntN(300) == 0 {
			l.startNextLeader()
		}
	}
	if l.primary().Host != oldPrimary {
		l.switchovers++
	}
	host.Draining = false // a new host takes its place
	l.state.Hosts[oldPrimary] = host
}

// Runs three consecutive switchovers. Commands from the end of one sometimes time out and are executed during the next one,
// possibly under another leader. No acknowledged write may be lost, and no replica may stay paused.
func TestLateCommandsLoseNoAcknowledgedWrite(t *testing.T) {
	delayedCommands, stalledCommands, switchovers := 0, 0, 0
	for seed := range uint64(500) {
		l := newLateCommands(t, seed)
		for range 3 {
			l.runFor(200 + l.random.Int64N(1500))
			l.switchOver()
		}
		l.noDelays = true
		l.runFor(9000)
		for id, host := range l.hosts {
			require.False(t, !host.IsPrimary && host.PausedTimeline > 0, "seed %d: %s stays paused", seed, id)
		}
		delayedCommands += l.delayedCommands
		stalledCommands += l.stalledCommands
		switchovers += l.switchovers
	}
	t.Logf("%d delayed commands, %d frozen, %d switchovers", delayedCommands, stalledCommands, switchovers)
	require.Greater(t, delayedCommands, 1000)
	require.Greater(t, stalledCommands, 1000)
	require.Greater(t, switchovers, 1000)
}
