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

// newHealthyCluster returns a cluster without faults and its leader.
func newHealthyCluster(t *testing.T) (*cluster, *Server) {
	c := newCluster(1, 3)
	c.runGuarded(3 * unitsPerSecond)
	leader := c.leader()
	require.NotNil(t, leader)
	return c, leader.server
}

// callRepeatedly makes the same call several times concurrently. statuses counts the responses by status, including later ones.
func callRepeatedly(server *Server, path, base string, body []byte, times int) (statuses map[int]int, lastBody *string) {
	statuses, lastBody = map[int]int{}, new(string)
	for range times {
		server.HandleCall(http.MethodPost, path, base, body, func(status int, b []byte) { statuses[status]++; *lastBody = string(b) })
	}
	return statuses, lastBody
}

func configBody(gen int64, routes ...route) []byte {
	return (&update{generation: gen, routes: routes}).body()
}

func TestInvalidBaseVersionIsRejected(t *testing.T) {
	c, server := newHealthyCluster(t)
	for _, base := range []string{" ", "x", "-1", "+1", "1.0", "0x1", "9223372036854775808", strings.Repeat("9", 5000)} {
		for _, path := range []string{"/Config.Replace", "/Config.Amend"} {
			statuses, text := callRepeatedly(server, path, base, configBody(3), 1)
			require.Equal(t, map[int]int{400: 1}, statuses, "%.40q", base)
			require.Contains(t, *text, "X-Base-Version")
			require.Less(t, len(*text), 200)
		}
	}
	for _, base := range []string{"1", "9223372036854775807"} {
		statuses, _ := callRepeatedly(server, "/Config.Replace", base, configBody(3), 1)
		require.Equal(t, map[int]int{412: 1}, statuses, base)
	}
	c.runGuarded(unitsPerSecond)
	require.Zero(t, server.state.Generation)
	require.Zero(t, server.Proposals.Load(), "an invalid update is in the log")
	callRepeatedly(server, "/Config.Replace", "", configBody(3), 1) // a missing base version is 0
	c.runGuarded(unitsPerSecond)
	require.EqualValues(t, 3, server.state.Generation)
	for generation, status := range map[int64]int{3: 200, 5: 412} {
		statuses, _ := callRepeatedly(server, "/Config.Replace", "", configBody(generation), 1)
		require.Equal(t, map[int]int{status: 1}, statuses, "the same update again, and another")
	}
}

func TestInvalidGenerationIsRejected(t *testing.T) {
	c, server := newHealthyCluster(t)
	for _, body := range []string{
		`{"Generation":9223372036854775808,"Routes":[],"Services":[]}`, `{"Generation":-1,"Routes":[],"Services":[]}`,
		`{"Generation":1e99,"Routes":[],"Services":[]}`, `{"Generation":"7","Routes":[],"Services":[]}`,
	} {
		for _, path := range []string{"/Config.Replace", "/Config.Amend"} {
			if path == "/Config.Amend" && server.state.Generation == 0 {
				statuses, _ := callRepeatedly(server, "/Config.Replace", "0", configBody(1), 1)
				c.runGuarded(unitsPerSecond)
				require.Equal(t, map[int]int{200: 1}, statuses)
			}
			statuses, text := callRepeatedly(server, path, fmt.Sprint(server.state.Generation), []byte(body), 1)
			require.Equal(t, map[int]int{400: 1}, statuses, body)
			require.Contains(t, *text, "Generation", body)
		}
	}
	require.EqualValues(t, 1, server.state.Generation)
}

// Exactly one of several updates based on the same version succeeds. If many callers make it, it is one log entry and each caller
// gets success.
func TestOneOfConcurrentUpdatesWins(t *testing.T) {
	c, server := newHealthyCluster(t)
	one, other := configBody(5, route{"a", 1}), configBody(5, route{"a", 2})
	first, _ := callRepeatedly(server, "/Config.Replace", "0", one, 100)
	concurrent, text := callRepeatedly(server, "/Config.Replace", "0", other, 100)
	require.Empty(t, first, "a response before the update is committed")
	c.runGuarded(unitsPerSecond)
	require.Equal(t, map[int]int{200: 100}, first)
	require.Equal(t, map[int]int{412: 100}, concurrent)
	require.Contains(t, *text, "another version")
	require.EqualValues(t, 2, server.Proposals.Load(), "one entry for each update")
	require.Empty(t, server.pendingUpdates.waiting)
	require.Zero(t, server.pendingUpdates.bytes)
	again, _ := callRepeatedly(server, "/Config.Replace", "0", one, 100)
	conflicts, _ := callRepeatedly(server, "/Config.Replace", "0", other, 1)
	require.Equal(t, map[int]int{200: 100}, again)
	require.Equal(t, map[int]int{412: 1}, conflicts)
	for _, m := range c.members {
		require.Equal(t, string(one), string(m.server.state.ConfigBody))
	}
}

func TestLargeUpdates(t *testing.T) {
	c, server := newHealthyCluster(t)
	var routes []route
	for i := range 2000 {
		routes = append(routes, route{fmt.Sprint("r", i), i%9 + 1})
	}
	all, _ := callRepeatedly(server, "/Config.Replace", "0", configBody(1, routes...), 100)
	c.runGuarded(3 * unitsPerSecond)
	require.Equal(t, map[int]int{200: 100}, all)
	require.EqualValues(t, 1, server.Proposals.Load())
	for _, m := range c.members {
		require.Len(t, m.server.state.Config().Routes, 2000)
	}
	largest := func(gen int64) []byte { // a body of the maximum length
		b := configBody(gen)
		return append(b, bytes.Repeat([]byte(" "), 4<<20-len(b))...)
	}
	var statuses [9]map[int]int
	for i := range statuses { // the total size of pending updates is limited
		statuses[i], _ = callRepeatedly(server, "/Config.Replace", "1", largest(int64(10+i)), 2)
	}
	require.Equal(t, map[int]int{429: 2}, statuses[8])
	c.runGuarded(10 * unitsPerSecond)
	require.Equal(t, map[int]int{200: 2}, statuses[0])
	for _, conflicts := range statuses[1:8] {
		require.Equal(t, map[int]int{412: 2}, conflicts)
	}
	require.EqualValues(t, 10, server.state.Generation)
	require.Zero(t, server.pendingUpdates.bytes)

	request := httptest.NewRequest(http.MethodPost, "/Config.Replace", bytes.NewReader(append(largest(20), ' ')))
	recorder := httptest.NewRecorder()
	(&apiHandler{server: server}).ServeHTTP(recorder, request)
	require.Equal(t, http.StatusRequestEntityTooLarge, recorder.Code)
}

// When leadership is lost, the outcome of pending updates is reported as unknown, because they may still be committed.
func TestPendingUpdateIsUnknownAfterLostLeadership(t *testing.T) {
	c, server := newHealthyCluster(t)
	leader := c.leader()
	for _, other := range c.members {
		c.block(leader.ip, other.ip, 4*unitsPerSecond)
		c.block(other.ip, leader.ip, 4*unitsPerSecond)
	}
	statuses, _ := callRepeatedly(server, "/Config.Replace", "0", configBody(5), 3)
	c.runGuarded(3 * unitsPerSecond)
	require.Equal(t, map[int]int{503: 3}, statuses)
	require.Empty(t, server.pendingUpdates.waiting)
	require.Zero(t, server.pendingUpdates.bytes)
	newLeader := c.leader()
	require.NotNil(t, newLeader)
	statuses, _ = callRepeatedly(newLeader.server, "/Config.Replace", "0", configBody(5), 1)
	c.runGuarded(4 * unitsPerSecond)
	require.Equal(t, map[int]int{200: 1}, statuses)
}

// Leader time advances with real time while there is a leader, and stops while there is none. All clocks run at the same rate
// here because leader time follows the leader's clock.
func TestLeaderTimeNeverExceedsElapsedTime(t *testing.T) {
	c, _ := newHealthyCluster(t)
	for _, m := range c.members {
		m.clockRate = 1
		m.crash(false)
		m.start()
	}
	c.runGuarded(2 * unitsPerSecond)
	generation := int64(0)
	leaderTimeMs := func() int64 {
		statuses, _ := callRepeatedly(c.leader().server, "/Config.Replace", fmt.Sprint(generation), configBody(generation+1), 1)
		c.runGuarded(unitsPerSecond)
		require.Equal(t, map[int]int{200: 1}, statuses)
		generation++
		return c.leader().server.state.LeaderTimeMs
	}
	before := leaderTimeMs()
	c.runGuarded(60 * unitsPerSecond)
	after := leaderTimeMs()
	require.InDelta(t, before+61_000, after, 100)
	for _, m := range c.members { // no leader for a minute
		m.crash(true)
		c.After(60*unitsPerSecond, m.start)
	}
	c.runGuarded(70 * unitsPerSecond)
	require.InDelta(t, after, leaderTimeMs(), 10_000, "a minute without a leader is counted")
	require.LessOrEqual(t, c.leader().server.state.LeaderTimeMs, (c.Now-c.StartTime)/unitsPerMs)
}

// An entry of another term at the index of a proposal must not complete it. Such an entry may be applied before the proposing
// member learns that it has lost leadership.
func TestEntryOfAnotherTermDoesNotCompleteProposal(t *testing.T) {
	for seed := range uint64(150) {
		c := newCluster(seed, 3)
		c.runGuarded(3 * unitsPerSecond)
		leader := c.leader()
		require.NotNil(t, leader, "seed %d", seed)
		duration := c.Between(800*unitsPerMs, 2200*unitsPerMs)
		for _, other := range c.members {
			c.block(leader.ip, other.ip, duration)
			c.block(other.ip, leader.ip, duration)
		}
		statuses, bodies := [3]map[int]int{}, [3][]byte{}
		for i := range statuses {
			bodies[i] = configBody(int64(5 + i))
			statuses[i], _ = callRepeatedly(leader.server, "/Config.Replace", "0", bodies[i], 1)
		}
		c.runGuarded(6 * unitsPerSecond)
		for i := range statuses {
			require.True(t, statuses[i][200] == 0 || string(bodies[i]) == string(c.leader().server.state.ConfigBody), "seed %d: %v", seed, statuses[i])
		}
	}
}
