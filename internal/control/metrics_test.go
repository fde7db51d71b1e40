package control

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/metrics"
)

// Every counter in the status is exported as a metric, follows the naming conventions of the format, and is documented.
func TestMetricsOfALeader(t *testing.T) {
	_, leader, _ := newHealthyPartitionCluster(t)
	server := leader.server
	server.environment.DroppedFrames = func() int64 { return 1 }
	sendHeartbeat(leader, "h1", "10.9.0.1:1", 1)
	for name := range server.counters() {
		_, _, ok := counterFamilies.FamilyOf(name)
		require.True(t, ok, "%s has no family", name)
	}
	samples := server.metricSamples()
	recorder := httptest.NewRecorder()
	metrics.Handler(metricsNamespace, func() ([]metrics.Sample, bool) { return samples, true }).
		ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, recorder.Body.String(), "\nferrypitch_control_holds_lease 1\n")
	problems, err := promlint.New(recorder.Body).Lint()
	require.NoError(t, err)
	require.Empty(t, problems)
	docs, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	for _, sample := range samples {
		require.Contains(t, string(docs), "`ferrypitch_control_"+sample.Family.Name+"`", "it is not documented")
	}
}
