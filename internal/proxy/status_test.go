package proxy

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// The status of a serving proxy contains its lease, sessions, hosts and counters, and survives a round trip through JSON.
func TestStatusShowsAServingProxy(t *testing.T) {
	sim := newSimulation(1, 3, 9)
	sim.RunFor(2 * second)
	server := sim.proxies[0].server
	status := server.status()
	require.True(t, status.Ready)
	require.EqualValues(t, 1, status.ConfigVersion)
	require.Positive(t, status.AppliedIndex)
	require.Positive(t, status.LeaseRemainingMs)
	require.Len(t, status.Hosts, 3)
	require.Equal(t, server.services["db"].primary.Host, status.Services["db"].Primary)
	require.Equal(t, "in", status.Hosts[status.Services["db"].Primary].Standing)
	require.Equal(t, len(server.sessions.open), status.Sessions)
	require.Positive(t, status.Counters["statements"])
	require.Positive(t, status.Counters["outcome_answered"])
	for name := range status.Counters {
		require.Regexp(t, regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`), name)
	}
	encoded, err := json.Marshal(status)
	require.NoError(t, err)
	var decoded Status
	require.NoError(t, json.Unmarshal(encoded, &decoded))
	require.Equal(t, status, decoded)
}

// The readiness server answers the platform by the status code, operators in JSON, and all other requests with 404.
func TestReadinessServerAnswersByPath(t *testing.T) {
	sim := newSimulation(1, 1, 0)
	server := sim.proxies[0].server
	go func() { // runs the event loop for one operator request
		<-server.queue.Ready
		for server.step() {
		}
	}()
	for _, question := range []struct {
		method, path string
		ready        bool
		want         int
	}{
		{http.MethodGet, readinessPath, false, http.StatusServiceUnavailable},
		{http.MethodGet, readinessPath, true, http.StatusOK},
		{http.MethodGet, StatusPath, true, http.StatusOK},
		{http.MethodPost, StatusPath, true, http.StatusNotFound},
		{http.MethodGet, "/other", true, http.StatusNotFound},
	} {
		server.ready.Store(question.ready)
		answer := httptest.NewRecorder()
		server.serveReadiness(answer, httptest.NewRequest(question.method, question.path, nil))
		require.Equal(t, question.want, answer.Code, "%s %s", question.method, question.path)
		if question.path == StatusPath && question.want == http.StatusOK {
			var status Status
			require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &status))
			require.Equal(t, "r0", status.Node)
		}
	}
}
