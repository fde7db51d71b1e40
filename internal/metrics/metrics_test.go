package metrics

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/stretchr/testify/require"
)

func TestEndpointIsParsedOrRefused(t *testing.T) {
	endpoint, err := ParseEndpoint("9464/metrics")
	require.NoError(t, err)
	require.Equal(t, Endpoint{9464, "/metrics"}, endpoint)
	require.Equal(t, "9464/metrics", endpoint.String())
	for _, bad := range []string{"", "9464", "9464/", "/metrics", "0/m", "65536/m", "-1/m", "x/m", "9464/a b", "9464/a?b", "9464/a#b"} {
		_, err := ParseEndpoint(bad)
		require.Error(t, err, "%q", bad)
	}
}

// An Endpoint flag may be absent, and is rejected if it is given twice.
func TestEndpointIsAFlag(t *testing.T) {
	for arguments, want := range map[string]Endpoint{"": {}, "-metrics=1/a": {1, "/a"}} {
		var endpoint Endpoint
		flags := flag.NewFlagSet("test", flag.ContinueOnError)
		flags.Var(&endpoint, "metrics", "")
		require.NoError(t, flags.Parse(strings.Fields(arguments)))
		require.Equal(t, want, endpoint)
		require.Equal(t, want != Endpoint{}, endpoint.IsSet())
	}
	var endpoint Endpoint
	flags := flag.NewFlagSet("test", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Var(&endpoint, "metrics", "")
	require.ErrorContains(t, flags.Parse([]string{"-metrics=1/a", "-metrics=1/a"}), "metrics: given twice")
}

// exampleSource returns samples of each kind of metric.
func exampleSource() ([]Sample, bool) {
	histogram := &Histogram{}
	for _, duration := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, time.Minute} {
		histogram.Observe(duration)
	}
	counters := Counters{
		Unlabeled: ByStatusName(CounterFamily("calls", "Calls."), CounterFamilyAs("bytes_sent", "sent_bytes_total", "Bytes."), GaugeFamily("open", "Open.")),
		Labeled:   map[string]Family{"error_": {Name: "errors_total", Help: "Errors.", Label: "kind"}},
	}
	samples := counters.Samples(map[string]int64{"calls": 7, "bytes_sent": 9, "open": 2, "error_a": 1, "error_b": 3, "unknown": 1})
	return append(samples, Sample{Family: Family{Name: "wait_seconds", Help: "Waits.", Kind: DurationHistogram}, Histogram: histogram}), true
}

func TestHandlerShowsTheFormat(t *testing.T) {
	handler := Handler("test", exampleSource)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Contains(t, recorder.Header().Get("Content-Type"), "text/plain")
	body := recorder.Body.String()
	for _, line := range []string{
		"# HELP test_calls_total Calls.", "# TYPE test_calls_total counter", "test_calls_total 7",
		"test_sent_bytes_total 9", "# TYPE test_open gauge", "test_open 2",
		`test_errors_total{kind="a"} 1`, `test_errors_total{kind="b"} 3`,
		`test_wait_seconds_bucket{le="0.001"} 2`, `test_wait_seconds_bucket{le="0.005"} 3`, `test_wait_seconds_bucket{le="+Inf"} 4`,
		"test_wait_seconds_sum 60.004", "test_wait_seconds_count 4",
	} {
		require.Contains(t, body, line+"\n")
	}
	require.NotContains(t, body, "unknown")
	problems, err := promlint.New(bytes.NewBufferString(body)).Lint()
	require.NoError(t, err)
	require.Empty(t, problems)

	recorder = httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/metrics", nil))
	require.Equal(t, http.StatusMethodNotAllowed, recorder.Code)
}

// While the process shuts down, the handler returns an empty response with status 200.
func TestHandlerIsEmptyDuringShutdown(t *testing.T) {
	recorder := httptest.NewRecorder()
	Handler("test", func() ([]Sample, bool) { return nil, false }).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Empty(t, recorder.Body.String())
}

// logLines is an io.Writer that sends each log line to a channel.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// If the port is in use, Serve logs an error and retries until its context ends. On a free port it serves until its context ends.
func TestServeRetriesAPortInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	port := taken.Addr().(*net.TCPAddr).Port
	logged := make(logLines, 8)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	log := hclog.New(&hclog.LoggerOptions{Output: logged})
	go func() {
		defer close(done)
		Serve(ctx, "127.0.0.1", Endpoint{port, "/metrics"}, "test", exampleSource, log)
	}()
	require.Contains(t, <-logged, "metrics: the port can't be opened")
	cancel()
	<-done

	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port = free.Addr().(*net.TCPAddr).Port
	require.NoError(t, free.Close())
	ctx, cancel = context.WithCancel(t.Context())
	done = make(chan struct{})
	go func() {
		defer close(done)
		Serve(ctx, "127.0.0.1", Endpoint{port, "/metrics"}, "test", exampleSource, hclog.NewNullLogger())
	}()
	require.Eventually(t, func() bool {
		response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", port))
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, 5*time.Second, 5*time.Millisecond)
	cancel()
	<-done
}
