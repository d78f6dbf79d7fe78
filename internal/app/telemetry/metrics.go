package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Prefix precedes the name of every metric in /metrics.
const Prefix = "foxtailhook"

// Scope returns counters, gauges and histograms for the described metrics, all with the same tags.
type Scope struct {
	tally tally.Scope
}

// Counter returns the counter for the metric.
func (s Scope) Counter(m Metric) tally.Counter { return s.tally.Counter(m.String()) }

// Gauge returns the gauge for the metric.
func (s Scope) Gauge(m Metric) tally.Gauge { return s.tally.Gauge(m.String()) }

// Latencies returns the histogram for the metric, with LatencyBuckets.
func (s Scope) Latencies(m Metric) tally.Histogram {
	return s.tally.Histogram(m.String(), LatencyBuckets())
}

// Tagged returns a scope with the given tags added.
func (s Scope) Tagged(tags map[string]string) Scope { return Scope{tally: s.tally.Tagged(tags)} }

// Metrics is a root scope with the HTTP handler that serves its metrics.
type Metrics struct {
	Scope
	Handler http.Handler
	closer  io.Closer
}

const reportInterval = time.Second

// NewMetrics returns metrics that are prefixed with Prefix and tagged with the host and its availability zone.
func NewMetrics(host, zone string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          Prefix,
		Tags:            map[string]string{"host": host, "zone": zone},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: Scope{tally: scope}, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the remaining values and stops the reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// LatencyBuckets returns the bucket bounds of latency histograms, 0.25 ms to 8 s.
func LatencyBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)
}
