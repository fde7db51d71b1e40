package lossdetect

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/policy"
)

// Hosts with queues whose answers take their time, some slowed in the middle: none that is on its way counts as lost, and
// one that never comes does in good time.
func TestAnAnswerIsLostOnlyWhenOthersOvertookItByFar(t *testing.T) {
	found, waited := 0, policy.Tenth(0)
	for seed := range 300 {
		chance := rand.New(rand.NewPCG(uint64(seed), 11))
		var l Detector
		type out struct{ sent, due policy.Tenth }
		var all []out
		lost := policy.Tenth(0)
		free := make([]policy.Tenth, 4) // when each of a host's slots is free
		for now := policy.Tenth(0); now < 60000; now += 10 {
			if chance.IntN(30) == 0 {
				work := policy.Tenth(40 + chance.ExpFloat64()*60)
				if now > 20000 && now < 40000 {
					work *= 5
				}
				slot := 0
				for i := range free {
					if free[i] < free[slot] {
						slot = i
					}
				}
				free[slot] = max(free[slot], now) + min(work, 600)
				all = append(all, out{now, free[slot]})
				if lost == 0 && now > 8000 {
					lost, all = now, all[:len(all)-1] // its answer never comes
				}
			}
			left := all[:0]
			for _, o := range all {
				if now < o.due {
					require.False(t, l.Lost(o.sent, now), "seed %d: one on its way for %d counts as lost", seed, now-o.sent)
					left = append(left, o)
					continue
				}
				l.ResponseReceived(o.sent, now)
			}
			all = left
			if lost > 0 && l.Lost(lost, now) {
				found, waited, lost = found+1, waited+now-lost, 1<<50
			}
		}
	}
	require.Greater(t, found, 290)
	require.Less(t, waited/policy.Tenth(found), policy.Tenth(5000), "tenths")
}
