package traffic

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	wire "github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Second holds the results of the requests sent in one second of a run.
type Second struct {
	// At is the number of the second after the start, from 0.
	At      int
	Sent    int
	Whole   int
	Refused int
	Unknown int
	// P50, P90, P99 and Max are latencies of whole responses, as callers saw them.
	P50 time.Duration
	P90 time.Duration
	P99 time.Duration
	Max time.Duration
}

// timeline groups responses by the second in which their requests were sent, so that a second in which all requests wait
// shows high latencies instead of no responses.
type timeline struct {
	mu      sync.Mutex
	start   time.Time
	seconds []*secondStats
}

type secondStats struct {
	Second
	latency *hdrhistogram.Histogram
}

func (t *timeline) add(sent time.Time, outcome string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.statsAt(int(sent.Sub(t.start) / time.Second))
	stats.Sent++
	switch outcome {
	case call.Whole.String():
		stats.Whole++
		_ = stats.latency.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	case call.NotRun.String():
		stats.Refused++
	default:
		stats.Unknown++
	}
}

func (t *timeline) statsAt(second int) *secondStats {
	for len(t.seconds) <= second {
		stats := &secondStats{latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		stats.At = len(t.seconds)
		t.seconds = append(t.seconds, stats)
	}
	return t.seconds[second]
}

// Timeline returns the results for each second; it is complete once Run has returned.
func (r *Runner) Timeline() []Second {
	r.timeline.mu.Lock()
	defer r.timeline.mu.Unlock()
	all := make([]Second, len(r.timeline.seconds))
	for i, stats := range r.timeline.seconds {
		all[i] = stats.summary()
	}
	return all
}

func (stats *secondStats) summary() Second {
	latencyAt := func(quantile float64) time.Duration {
		return time.Duration(stats.latency.ValueAtQuantile(quantile)) * time.Microsecond
	}
	s := stats.Second
	s.P50, s.P90, s.P99, s.Max = latencyAt(50), latencyAt(90), latencyAt(99), latencyAt(100)
	return s
}

// outcomeOf returns the outcome that the response states, or "" without a response.
func outcomeOf(res *http.Response, err error) string {
	if err != nil {
		return ""
	}
	return res.Header.Get(wire.HeaderOutcome)
}
