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
	listenRetryInterval = 5 * time.Second // after a port that could not be opened
	headerTimeout       = 2 * time.Second
	answerTimeout       = 2 * time.Second
	idleTimeout         = 20 * time.Second
	maxHeaderBytes      = 8 << 10
	maxRequestsAtOnce   = 2 // more are answered 503
)

// Serve shows a process's figures until ctx ends. A port that can't be opened is tried again, since the process does its work
// without it: the error is logged with the flag's name once.
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
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	_ = server.Serve(listener) // ends with ctx
}

// listen opens the port, as soon as that is possible; nil: ctx has ended.
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

// Handler answers GET with the samples of a source as text.
func Handler(namespace string, source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{namespace: namespace, source: source})
	show := promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		ErrorHandling:       promhttp.ContinueOnError,
		MaxRequestsInFlight: maxRequestsAtOnce,
		DisableCompression:  true,
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		show.ServeHTTP(w, r)
	})
}

// collector is a prometheus.Collector that asks the source anew for each request.
type collector struct {
	namespace string
	source    Source
}

// Describe implements prometheus.Collector. It describes nothing: which samples there are depends on the moment.
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

func (c *collector) metric(sample Sample) prometheus.Metric {
	family := sample.Family
	var labels, values []string
	if family.Label != "" {
		labels, values = []string{family.Label}, []string{sample.LabelValue}
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(c.namespace, "", family.Name), family.Help, labels, nil)
	switch family.Kind {
	case Durations:
		atMost, count, sumSeconds := sample.Histogram.cumulative()
		return prometheus.MustNewConstHistogram(desc, count, sumSeconds, atMost, values...)
	case Gauge:
		return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, sample.Value, values...)
	}
	return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, sample.Value, values...)
}
