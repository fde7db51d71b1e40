package control

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// runLeaderLoss has the member that leads lost in a way, and gives how long it takes until an order that is sent at that moment, or
// at any in the half second after, is confirmed at the majority's side: to one that goes on after a refusal with a pause
// that grows, and after a second of silence.
func runLeaderLoss(seed uint64, kind string) (took, led int64) {
	w := newPartitionCluster(seed, 3, 0, 0, noSafeguard)
	w.calm = true
	w.RunFor(1500)
	w.operatorsStopped = true
	w.RunFor(1500 + w.Between(0, 400))
	var lost *partitionMember
	for _, m := range w.members {
		if m.server.leading {
			lost = m
		}
	}
	if lost == nil {
		return -1, -1
	}
	at := w.Now
	switch kind {
	case "killed", "powered off":
		lost.crash(kind == "powered off")
	case "frozen":
		lost.freeze(20000)
	default:
		for _, o := range w.members {
			if o == lost {
				continue
			}
			if kind != "hears nobody" {
				lost.blocked[o.ip] = dropFrames
			}
			if kind != "is not heard" {
				o.blocked[lost.ip] = dropFrames
			}
		}
	}
	var watch func()
	watch = func() {
		for _, m := range w.members {
			if m != lost && m.server.leading && led == 0 {
				led = w.Now - at
			}
		}
		if led == 0 {
			w.After(5, watch)
		}
	}
	watch()
	var send func(turn int)
	base := int64(0)
	body := []byte{}
	begun := int64(0)
	send = func(turn int) {
		m := w.members[w.Rand.IntN(3)]
		for m == lost {
			m = w.members[w.Rand.IntN(3)]
		}
		over := false
		again := func() {
			if !over {
				over = true
				w.After(50+50*int64(min(turn, 8)), func() { send(turn + 1) })
			}
		}
		m.call(http.MethodPost, "/Config.Replace", fmt.Sprint(base), body, func(status int, _ []byte) {
			switch {
			case over:
			case status == http.StatusOK:
				over = true
				if took == 0 {
					took = w.Now - begun
				}
			default:
				again()
			}
		})
		w.After(1000, again)
	}
	w.After(w.Between(0, 500), func() {
		for _, m := range w.members {
			if m != lost {
				base = max(base, m.server.state.Generation)
			}
		}
		begun = w.Now
		body = []byte(fmt.Sprintf(`{"Generation":%d,"Routes":[{"Name":"x","Host":"h","PathPrefix":"/","Kind":"leader","DeadlineMs":500,"TargetMs":100,"Priority":1,"Service":"db","MaxTries":1}],"Services":[{"Name":"db","MaxConns":5}]}`, base+1000))
		send(0)
	})
	w.RunFor(8000)
	return took, led
}

// An order that is sent as the member that leads is lost goes on at the majority's side.
func TestUpdatesContinueAfterLeaderLoss(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"killed", "powered off", "frozen", "cut off", "is not heard", "hears nobody"} {
		var all, leds []int64
		for seed := range uint64(60) {
			took, led := runLeaderLoss(seed, kind)
			if took < 0 {
				continue
			}
			require.Positive(t, took, "%s, seed %d: never confirmed", kind, seed)
			all, leds = append(all, took), append(leds, led)
		}
		slices.Sort(all)
		slices.Sort(leds)
		bound := map[string]int64{"hears nobody": 2000}[kind] // it must find out that it leads nobody first
		if bound == 0 {
			bound = 1200
		}
		require.Less(t, all[len(all)-1], bound, kind)
		require.Less(t, all[len(all)/2], bound*3/4, kind)
		t.Logf("%s: confirmed after %d ms, at most %d; another leads after %d, at most %d (%d losses)", kind, all[len(all)/2], all[len(all)-1],
			leds[len(leds)/2], leds[len(leds)-1], len(all))
	}
}
