package control

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// settled is a control plane in which a member leads and all is well.
func settled(t *testing.T) (*world, *Server) {
	w := newWorld(1, 3)
	w.play(3 * second)
	l := w.leader()
	require.NotNil(t, l)
	return w, l.f
}

// replies are the answers to one call made so many times at once, by status.
func replies(f *Server, path, base string, body []byte, times int) (all map[int]int, texts *string) {
	all, texts = map[int]int{}, new(string)
	for range times {
		f.HandleCall(http.MethodPost, path, base, body, func(status int, b []byte) { all[status]++; *texts = string(b) })
	}
	return all, texts
}

func whole(gen int64, routes ...route) []byte { return (&order{gen: gen, routes: routes}).body() }

func TestABaseBeyondReasonIsRefusedByName(t *testing.T) {
	w, f := settled(t)
	for _, base := range []string{" ", "x", "-1", "+1", "1.0", "0x1", "9223372036854775808", strings.Repeat("9", 5000)} {
		for _, path := range []string{"/Config.Replace", "/Config.Amend"} {
			all, text := replies(f, path, base, whole(3), 1)
			require.Equal(t, map[int]int{400: 1}, all, "%.40q", base)
			require.Contains(t, *text, "X-Base-Version")
			require.Less(t, len(*text), 200)
		}
	}
	for _, base := range []string{"1", "9223372036854775807"} {
		all, _ := replies(f, "/Config.Replace", base, whole(3), 1)
		require.Equal(t, map[int]int{412: 1}, all, base)
	}
	w.play(second)
	require.Zero(t, f.state.Generation)
	require.Zero(t, f.Proposals.Load(), "nothing of it came into the log")
	replies(f, "/Config.Replace", "", whole(3), 1) // named or not, the first builds on nothing
	w.play(second)
	require.EqualValues(t, 3, f.state.Generation)
	for generation, status := range map[int64]int{3: 200, 5: 412} {
		all, _ := replies(f, "/Config.Replace", "", whole(generation), 1)
		require.Equal(t, map[int]int{status: 1}, all, "sent again, and another")
	}
}

func TestAGenerationThatOverflowsIsRefusedByName(t *testing.T) {
	w, f := settled(t)
	for _, body := range []string{
		`{"Generation":9223372036854775808,"Routes":[],"Services":[]}`, `{"Generation":-1,"Routes":[],"Services":[]}`,
		`{"Generation":1e99,"Routes":[],"Services":[]}`, `{"Generation":"7","Routes":[],"Services":[]}`,
	} {
		for _, path := range []string{"/Config.Replace", "/Config.Amend"} {
			if path == "/Config.Amend" && f.state.Generation == 0 {
				all, _ := replies(f, "/Config.Replace", "0", whole(1), 1)
				w.play(second)
				require.Equal(t, map[int]int{200: 1}, all)
			}
			all, text := replies(f, path, fmt.Sprint(f.state.Generation), []byte(body), 1)
			require.Equal(t, map[int]int{400: 1}, all, body)
			require.Contains(t, *text, "Generation", body)
		}
	}
	require.EqualValues(t, 1, f.state.Generation)
}

// Of orders on one version one wins; the winner sent again, also by many at once, is one entry, and taken for each.
func TestOfOrdersOnOneVersionOneWins(t *testing.T) {
	w, f := settled(t)
	one, other := whole(5, route{"a", 1}), whole(5, route{"a", 2})
	first, _ := replies(f, "/Config.Replace", "0", one, 100)
	beside, text := replies(f, "/Config.Replace", "0", other, 100)
	require.Empty(t, first, "nothing is told before the log has it")
	w.play(second)
	require.Equal(t, map[int]int{200: 100}, first)
	require.Equal(t, map[int]int{412: 100}, beside)
	require.Contains(t, *text, "another version")
	require.EqualValues(t, 2, f.Proposals.Load(), "one entry for each order")
	require.Empty(t, f.pendingUpdates.waiting)
	require.Zero(t, f.pendingUpdates.bytes)
	again, _ := replies(f, "/Config.Replace", "0", one, 100)
	lost, _ := replies(f, "/Config.Replace", "0", other, 1)
	require.Equal(t, map[int]int{200: 100}, again)
	require.Equal(t, map[int]int{412: 1}, lost)
	for _, m := range w.members {
		require.Equal(t, string(one), string(m.f.state.ConfigBody))
	}
}

func TestGreatOrders(t *testing.T) {
	w, f := settled(t)
	var routes []route
	for i := range 2000 {
		routes = append(routes, route{fmt.Sprint("r", i), i%9 + 1})
	}
	all, _ := replies(f, "/Config.Replace", "0", whole(1, routes...), 100)
	w.play(3 * second)
	require.Equal(t, map[int]int{200: 100}, all)
	require.EqualValues(t, 1, f.Proposals.Load())
	for _, m := range w.members {
		require.Len(t, m.f.state.Config().Routes, 2000)
	}
	great := func(gen int64) []byte { // of the longest
		b := whole(gen)
		return append(b, bytes.Repeat([]byte(" "), 4<<20-len(b))...)
	}
	var told [9]map[int]int
	for i := range told { // the bodies that wait are bounded
		told[i], _ = replies(f, "/Config.Replace", "1", great(int64(10+i)), 2)
	}
	require.Equal(t, map[int]int{429: 2}, told[8])
	w.play(10 * second)
	require.Equal(t, map[int]int{200: 2}, told[0])
	for _, lost := range told[1:8] {
		require.Equal(t, map[int]int{412: 2}, lost)
	}
	require.EqualValues(t, 10, f.state.Generation)
	require.Zero(t, f.pendingUpdates.bytes)

	r := httptest.NewRequest(http.MethodPost, "/Config.Replace", bytes.NewReader(append(great(20), ' ')))
	a := httptest.NewRecorder()
	(&apiHandler{server: f}).ServeHTTP(a, r)
	require.Equal(t, http.StatusRequestEntityTooLarge, a.Code)
}

// Where the lead is lost, whoever waits for an order has no clear answer, and it may be taken all the same.
func TestAnOrderUnderWayWhenTheLeadIsLostHasNoClearAnswer(t *testing.T) {
	w, f := settled(t)
	l := w.leader()
	for _, o := range w.members {
		w.part(l.ip, o.ip, 4*second)
		w.part(o.ip, l.ip, 4*second)
	}
	all, _ := replies(f, "/Config.Replace", "0", whole(5), 3)
	w.play(3 * second)
	require.Equal(t, map[int]int{503: 3}, all)
	require.Empty(t, f.pendingUpdates.waiting)
	require.Zero(t, f.pendingUpdates.bytes)
	now := w.leader()
	require.NotNil(t, now)
	all, _ = replies(now.f, "/Config.Replace", "0", whole(5), 1)
	w.play(4 * second)
	require.Equal(t, map[int]int{200: 1}, all)
}

// Led time is what the log has of the time that passed: nearly all while one leads, none while nobody does.
func TestLedTimeNeverRunsAheadOfTime(t *testing.T) {
	w, _ := settled(t)
	gen := int64(0)
	led := func() int64 {
		all, _ := replies(w.leader().f, "/Config.Replace", fmt.Sprint(gen), whole(gen+1), 1)
		w.play(second)
		require.Equal(t, map[int]int{200: 1}, all)
		gen++
		return w.leader().f.state.LedTimeMs
	}
	before := led()
	w.play(60 * second)
	after := led()
	require.InDelta(t, before+61_000, after, 100)
	for _, m := range w.members { // nobody leads for a minute
		m.crash(true)
		w.After(60*second, m.start)
	}
	w.play(70 * second)
	require.InDelta(t, after, led(), 10_000, "a minute without a leader is no led time")
	require.LessOrEqual(t, w.leader().f.state.LedTimeMs, (w.Now-w.Zero)/milli)
}

// An entry of another view may come to the place of an order while its member does not yet know that it leads no more.
func TestWhatStandsInAnOrdersPlaceIsNotTakenForIt(t *testing.T) {
	for seed := range uint64(150) {
		w := newWorld(seed, 3)
		w.play(3 * second)
		l := w.leader()
		require.NotNil(t, l, "seed %d", seed)
		cut := w.Between(800*milli, 2200*milli)
		for _, o := range w.members {
			w.part(l.ip, o.ip, cut)
			w.part(o.ip, l.ip, cut)
		}
		told, bodies := [3]map[int]int{}, [3][]byte{}
		for i := range told {
			bodies[i] = whole(int64(5 + i))
			told[i], _ = replies(l.f, "/Config.Replace", "0", bodies[i], 1)
		}
		w.play(6 * second)
		for i := range told {
			require.True(t, told[i][200] == 0 || string(bodies[i]) == string(w.leader().f.state.ConfigBody), "seed %d: %v", seed, told[i])
		}
	}
}
