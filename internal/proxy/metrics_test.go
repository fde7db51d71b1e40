package proxy

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/metrics"
)

// Every counter of the status is exported as a metric, follows the naming conventions of Prometheus, and is documented.
func TestMetricsOfAServingProxy(t *testing.T) {
	sim := newSimulation(1, 3, 9)
	sim.RunFor(4 * second)
	server := sim.proxies[0].server
	server.settings.PortRange = []int{7440, 7455}
	server.membership = server.newMembership()
	for name := range server.status().Counters {
		_, _, ok := counterFamilies.FamilyOf(name)
		require.True(t, ok, "%s has no family", name)
	}
	samples := server.metricSamples()
	answer := httptest.NewRecorder()
	metrics.Handler(metricsNamespace, func() ([]metrics.Sample, bool) { return samples, true }).
		ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, answer.Body.String(), "\nferrypitch_proxy_ready 1\n")
	require.Positive(t, server.counters.statementDurations.Count())
	require.Positive(t, server.counters.hostResponses.Count())
	problems, err := promlint.New(answer.Body).Lint()
	require.NoError(t, err)
	require.Empty(t, problems)
	docs, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	for _, sample := range samples {
		require.Contains(t, string(docs), "`ferrypitch_proxy_"+sample.Family.Name+"`", "the metric is not documented")
	}
}
