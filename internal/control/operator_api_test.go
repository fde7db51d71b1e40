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

// newHealthyCluster is a control plane in which a member leads and all is well.
func newHealthyCluster(t *testing.T) (*cluster, *Server) {
	w := newCluster(1, 3)
	w.runGuarded(3 * unitsPerSecond)
	l := w.leader()
	require.NotNil(t, l)
	return w, l.server
}

// callRepeatedly are the answers to one call made so many times at once, by status.
func callRepeatedly(f *Server, path, base string, body []byte, times int) (all map[int]int, texts *string) {
	all, texts = map[int]int{}, new(string)
	for range times {
		f.HandleCall(http.MethodPost, path, base, body, func(status int, b []byte) { all[status]++; *texts = string(b) })
	}
	return all, texts
}

func configBody(gen int64, routes ...route) []byte {
	return (&update{generation: gen, routes: routes}).body()
}

func TestInvalidBaseVersionIsRejected(t *testing.T) {
	w, f := newHealthyCluster(t)
	for _, base := range []string{" ", "x", "-1", "+1", "1.0", "0x1", "9223372036854775808", strings.Repeat("9", 5000)} {
		for _, path := range []string{"/Config.Replace", "/Config.Amend"} {
			all, text := callRepeatedly(f, path, base, configBody(3), 1)
			require.Equal(t, map[int]int{400: 1}, all, "%.40q", base)
			require.Contains(t, *text, "X-Base-Version")
			require.Less(t, len(*text), 200)
		}
	}
	for _, base := range []string{"1", "9223372036854775807"} {
		all, _ := callRepeatedly(f, "/Config.Replace", base, configBody(3), 1)
		require.Equal(t, map[int]int{412: 1}, all, base)
	}
	w.runGuarded(unitsPerSecond)
	require.Zero(t, f.state.Generation)
	require.Zero(t, f.Proposals.Load(), "nothing of it came into the log")
	callRepeatedly(f, "/Config.Replace", "", configBody(3), 1) // named or not, the first builds on nothing
	w.runGuarded(unitsPerSecond)
	require.EqualValues(t, 3, f.state.Generation)
	for generation, status := range map[int64]int{3: 200, 5: 412} {
		all, _ := callRepeatedly(f, "/Config.Replace", "", configBody(generation), 1)
		require.Equal(t, map[int]int{status: 1}, all, "sent again, and another")
	}
}

func TestInvalidGenerationIsRejected(t *testing.T) {
	w, f := newHealthyCluster(t)
	for _, body := range []string{
		`{"Generation":9223372036854775808,"Routes":[],"Services":[]}`, `{"Generation":-1,"Routes":[],"Services":[]}`,
		`{"Generation":1e99,"Routes":[],"Services":[]}`, `{"Generation":"7","Routes":[],"Services":[]}`,
	} {
		for _, path := range []string{"/Config.Replace", "/Config.Amend"} {
			if path == "/Config.Amend" && f.state.Generation == 0 {
				all, _ := callRepeatedly(f, "/Config.Replace", "0", configBody(1), 1)
				w.runGuarded(unitsPerSecond)
				require.Equal(t, map[int]int{200: 1}, all)
			}
			all, text := callRepeatedly(f, path, fmt.Sprint(f.state.Generation), []byte(body), 1)
			require.Equal(t, map[int]int{400: 1}, all, body)
			require.Contains(t, *text, "Generation", body)
		}
	}
	require.EqualValues(t, 1, f.state.Generation)
}

// Of orders on one version one wins; the winner sent again, also by many at once, is one entry, and taken for each.
func TestOneOfConcurrentUpdatesWins(t *testing.T) {
	w, f := newHealthyCluster(t)
	one, other := configBody(5, route{"a", 1}), configBody(5, route{"a", 2})
	first, _ := callRepeatedly(f, "/Config.Replace", "0", one, 100)
	beside, text := callRepeatedly(f, "/Config.Replace", "0", other, 100)
	require.Empty(t, first, "nothing is told before the log has it")
	w.runGuarded(unitsPerSecond)
	require.Equal(t, map[int]int{200: 100}, first)
	require.Equal(t, map[int]int{412: 100}, beside)
	require.Contains(t, *text, "another version")
	require.EqualValues(t, 2, f.Proposals.Load(), "one entry for each order")
	require.Empty(t, f.pendingUpdates.waiting)
	require.Zero(t, f.pendingUpdates.bytes)
	again, _ := callRepeatedly(f, "/Config.Replace", "0", one, 100)
	lost, _ := callRepeatedly(f, "/Config.Replace", "0", other, 1)
	require.Equal(t, map[int]int{200: 100}, again)
	require.Equal(t, map[int]int{412: 1}, lost)
	for _, m := range w.members {
		require.Equal(t, string(one), string(m.server.state.ConfigBody))
	}
}

func TestLargeUpdates(t *testing.T) {
	w, f := newHealthyCluster(t)
	var routes []route
	for i := range 2000 {
		routes = append(routes, route{fmt.Sprint("r", i), i%9 + 1})
	}
	all, _ := callRepeatedly(f, "/Config.Replace", "0", configBody(1, routes...), 100)
	w.runGuarded(3 * unitsPerSecond)
	require.Equal(t, map[int]int{200: 100}, all)
	require.EqualValues(t, 1, f.Proposals.Load())
	for _, m := range w.members {
		require.Len(t, m.server.state.Config().Routes, 2000)
	}
	great := func(gen int64) []byte { // of the longest
		b := configBody(gen)
		return append(b, bytes.Repeat([]byte(" "), 4<<20-len(b))...)
	}
	var told [9]map[int]int
	for i := range told { // the bodies that wait are bounded
		told[i], _ = callRepeatedly(f, "/Config.Replace", "1", great(int64(10+i)), 2)
	}
	require.Equal(t, map[int]int{429: 2}, told[8])
	w.runGuarded(10 * unitsPerSecond)
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
func TestPendingUpdateIsUnknownAfterLostLeadership(t *testing.T) {
	w, f := newHealthyCluster(t)
	l := w.leader()
	for _, o := range w.members {
		w.block(l.ip, o.ip, 4*unitsPerSecond)
		w.block(o.ip, l.ip, 4*unitsPerSecond)
	}
	all, _ := callRepeatedly(f, "/Config.Replace", "0", configBody(5), 3)
	w.runGuarded(3 * unitsPerSecond)
	require.Equal(t, map[int]int{503: 3}, all)
	require.Empty(t, f.pendingUpdates.waiting)
	require.Zero(t, f.pendingUpdates.bytes)
	now := w.leader()
	require.NotNil(t, now)
	all, _ = callRepeatedly(now.server, "/Config.Replace", "0", configBody(5), 1)
	w.runGuarded(4 * unitsPerSecond)
	require.Equal(t, map[int]int{200: 1}, all)
}

// Led time is what the log has of the time that passed: nearly all while one leads, none while nobody does.
func TestLedTimeNeverExceedsElapsedTime(t *testing.T) {
	w, _ := newHealthyCluster(t)
	gen := int64(0)
	led := func() int64 {
		all, _ := callRepeatedly(w.leader().server, "/Config.Replace", fmt.Sprint(gen), configBody(gen+1), 1)
		w.runGuarded(unitsPerSecond)
		require.Equal(t, map[int]int{200: 1}, all)
		gen++
		return w.leader().server.state.LedTimeMs
	}
	before := led()
	w.runGuarded(60 * unitsPerSecond)
	after := led()
	require.InDelta(t, before+61_000, after, 100)
	for _, m := range w.members { // nobody leads for a minute
		m.crash(true)
		w.After(60*unitsPerSecond, m.start)
	}
	w.runGuarded(70 * unitsPerSecond)
	require.InDelta(t, after, led(), 10_000, "a minute without a leader is no led time")
	require.LessOrEqual(t, w.leader().server.state.LedTimeMs, (w.Now-w.Zero)/unitsPerMs)
}

// An entry of another view may come to the place of an order while its member does not yet know that it leads no more.
func TestEntryOfAnotherTermDoesNotCompleteProposal(t *testing.T) {
	for seed := range uint64(150) {
		w := newCluster(seed, 3)
		w.runGuarded(3 * unitsPerSecond)
		l := w.leader()
		require.NotNil(t, l, "seed %d", seed)
		cut := w.Between(800*unitsPerMs, 2200*unitsPerMs)
		for _, o := range w.members {
			w.block(l.ip, o.ip, cut)
			w.block(o.ip, l.ip, cut)
		}
		told, bodies := [3]map[int]int{}, [3][]byte{}
		for i := range told {
			bodies[i] = configBody(int64(5 + i))
			told[i], _ = callRepeatedly(l.server, "/Config.Replace", "0", bodies[i], 1)
		}
		w.runGuarded(6 * unitsPerSecond)
		for i := range told {
			require.True(t, told[i][200] == 0 || string(bodies[i]) == string(w.leader().server.state.ConfigBody), "seed %d: %v", seed, told[i])
		}
	}
}
