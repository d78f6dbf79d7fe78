package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Metrics is a tally scope with the handler that shows it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

const reportEvery = time.Second

// NewMetrics returns metrics named after the product and tagged with the host and availability zone.
func NewMetrics(host, zone string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "foxtailhook",
		Tags:            map[string]string{"host": host, "zone": zone},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportEvery)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports what is left and stops.
func (m *Metrics) Close() { _ = m.closer.Close() }

// LatencyBuckets are the bounds of latency histograms, 0.25 ms to 8 s.
func LatencyBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)
}
