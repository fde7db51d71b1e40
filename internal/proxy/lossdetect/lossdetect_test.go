package lossdetect

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/policy"
)

// Times of the simulation, in tenths of a millisecond.
const (
	end      = 60000
	step     = 10
	lossFrom = 8000 // the first response after this never arrives
	never    = 1 << 50
)

type request struct{ sentAt, dueAt policy.TenthMs }

// host executes requests in four slots. It is five times as slow between times 20000 and 40000.
type host struct {
	seed        int
	random      *rand.Rand
	slotFreeAt  [4]policy.TenthMs
	outstanding []request
	lostSentAt  policy.TenthMs // when the request whose response is lost was sent; 0: not yet
	detector    Detector
}

// send executes a request. For the request whose response is lost, it only records the time.
func (h *host) send(now policy.TenthMs) {
	work := policy.TenthMs(40 + h.random.ExpFloat64()*60)
	if now > 20000 && now < 40000 {
		work *= 5
	}
	slot := 0
	for i := range h.slotFreeAt {
		if h.slotFreeAt[i] < h.slotFreeAt[slot] {
			slot = i
		}
	}
	h.slotFreeAt[slot] = max(h.slotFreeAt[slot], now) + min(work, 600)
	if h.lostSentAt == 0 && now > lossFrom {
		h.lostSentAt = now
		return
	}
	h.outstanding = append(h.outstanding, request{now, h.slotFreeAt[slot]})
}

// receive passes the responses that are due to the detector, and checks that none of the others is considered lost.
func (h *host) receive(t *testing.T, now policy.TenthMs) {
	var remaining []request
	for _, r := range h.outstanding {
		if now < r.dueAt {
			require.False(t, h.detector.Lost(r.sentAt, now), "seed %d: a response outstanding for %d is considered lost", h.seed, now-r.sentAt)
			remaining = append(remaining, r)
			continue
		}
		h.detector.ResponseReceived(r.sentAt, now)
	}
	h.outstanding = remaining
}

// Hosts queue requests and are slow for a part of the run. A response that is merely outstanding must not be considered lost, and
// one that never arrives must be detected in more than 290 of 300 runs, after less than 500 ms on average.
func TestOnlyAResponseThatOthersOvertookByFarIsLost(t *testing.T) {
	detected, waited := 0, policy.TenthMs(0)
	for seed := range 300 {
		h := &host{seed: seed, random: rand.New(rand.NewPCG(uint64(seed), 11))}
		for now := policy.TenthMs(0); now < end; now += step {
			if h.random.IntN(30) == 0 {
				h.send(now)
			}
			h.receive(t, now)
			if h.lostSentAt > 0 && h.detector.Lost(h.lostSentAt, now) {
				detected++
				waited += now - h.lostSentAt
				h.lostSentAt = never
			}
		}
	}
	require.Greater(t, detected, 290)
	require.Less(t, waited/policy.TenthMs(detected), policy.TenthMs(5000), "tenths of a millisecond")
}
