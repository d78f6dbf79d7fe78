package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Prefix is before the name of every metric in /metrics.
const Prefix = "foxtailhook"

// Scope gives out the metrics that are described, all with the same tags.
type Scope struct {
	tally tally.Scope
}

// Counter returns the counter of that name.
func (s Scope) Counter(m Metric) tally.Counter { return s.tally.Counter(m.String()) }

// Gauge returns the gauge of that name.
func (s Scope) Gauge(m Metric) tally.Gauge { return s.tally.Gauge(m.String()) }

// Latencies returns the histogram of that name, with LatencyBuckets.
func (s Scope) Latencies(m Metric) tally.Histogram {
	return s.tally.Histogram(m.String(), LatencyBuckets())
}

// Tagged returns a scope with these tags besides.
func (s Scope) Tagged(tags map[string]string) Scope { return Scope{tally: s.tally.Tagged(tags)} }

// Metrics is a scope with the handler that shows it.
type Metrics struct {
	Scope
	Handler http.Handler
	closer  io.Closer
}

const reportEvery = time.Second

// NewMetrics returns metrics named after the product and tagged with the host and availability zone.
func NewMetrics(host, zone string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          Prefix,
		Tags:            map[string]string{"host": host, "zone": zone},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportEvery)
	return &Metrics{Scope: Scope{tally: scope}, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports what is left and stops.
func (m *Metrics) Close() { _ = m.closer.Close() }

// LatencyBuckets are the bounds of latency histograms, 0.25 ms to 8 s.
func LatencyBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)
}
