package metrics

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	listenRetryInterval   = 5 * time.Second // delay after a failed attempt to listen
	headerTimeout         = 2 * time.Second
	responseTimeout       = 2 * time.Second
	idleTimeout           = 20 * time.Second
	maxHeaderBytes        = 8 << 10
	maxConcurrentRequests = 2 // further requests are answered with 503
)

// Serve serves a process's metrics until ctx ends. If it cannot listen on the port, it retries, because the process can work
// without serving metrics. It logs the error, with the name of the flag, only once.
func Serve(ctx context.Context, ip string, endpoint Endpoint, namespace string, source Source, log hclog.Logger) {
	address := net.JoinHostPort(ip, strconv.Itoa(endpoint.Port))
	listener := listen(ctx, address, log)
	if listener == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle(endpoint.Path, Handler(namespace, source))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      responseTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	_ = server.Serve(listener) // ends with ctx
}

// listen listens on address and retries until it succeeds. It returns nil if ctx has ended.
func listen(ctx context.Context, address string, log hclog.Logger) net.Listener {
	for logged := false; ctx.Err() == nil; {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			return listener
		}
		if !logged {
			logged = true
			log.Error("metrics: the port can't be opened, and is tried again", "address", address, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listenRetryInterval):
		}
	}
	return nil
}

// Handler returns an HTTP handler that answers GET with the samples of source in the Prometheus text format.
func Handler(namespace string, source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{namespace: namespace, source: source})
	metricsHandler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		ErrorHandling:       promhttp.ContinueOnError,
		MaxRequestsInFlight: maxConcurrentRequests,
		DisableCompression:  true,
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		metricsHandler.ServeHTTP(w, r)
	})
}

// collector is a prometheus.Collector that reads the source for each request.
type collector struct {
	namespace string
	source    Source
}

// Describe implements prometheus.Collector. It describes nothing, because the set of samples may differ between requests.
func (*collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	samples, ok := c.source()
	if !ok {
		return
	}
	for _, sample := range samples {
		metrics <- c.metric(sample)
	}
}

// metric converts a sample to a Prometheus metric.
func (c *collector) metric(sample Sample) prometheus.Metric {
	family := sample.Family
	var labels, values []string
	if family.Label != "" {
		labels, values = []string{family.Label}, []string{sample.LabelValue}
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(c.namespace, "", family.Name), family.Help, labels, nil)
	switch family.Kind {
	case DurationHistogram:
		countByBound, count, sumSeconds := sample.Histogram.cumulative()
		return prometheus.MustNewConstHistogram(desc, count, sumSeconds, countByBound, values...)
	case Gauge:
		return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, sample.Value, values...)
	}
	return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, sample.Value, values...)
}
