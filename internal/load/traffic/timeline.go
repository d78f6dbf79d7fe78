package traffic

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	wire "github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Second is what became of the requests sent in one second of a run.
type Second struct {
	// At is the second's number after the start, from 0.
	At      int
	Sent    int
	Whole   int
	Refused int
	Unknown int
	// P50, P90, P99 and Max are latencies of the whole answers, as callers saw them.
	P50 time.Duration
	P90 time.Duration
	P99 time.Duration
	Max time.Duration
}

// timeline sorts answers by the second in which their requests were sent, so
// that a second in which all wait shows as slow, and not as one without answers.
type timeline struct {
	mu      sync.Mutex
	begun   time.Time
	seconds []*moment
}

type moment struct {
	Second
	latency *hdrhistogram.Histogram
}

func (t *timeline) add(sent time.Time, outcome string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.moment(int(sent.Sub(t.begun) / time.Second))
	m.Sent++
	switch outcome {
	case call.Whole.String():
		m.Whole++
		_ = m.latency.RecordValue(min(max(took.Microseconds(), 1), slowest))
	case call.NotRun.String():
		m.Refused++
	default:
		m.Unknown++
	}
}

func (t *timeline) moment(at int) *moment {
	for len(t.seconds) <= at {
		m := &moment{latency: hdrhistogram.New(1, slowest, digits)}
		m.At = len(t.seconds)
		t.seconds = append(t.seconds, m)
	}
	return t.seconds[at]
}

// Timeline returns what became of the requests, second by second; it is complete when Run has returned.
func (r *Runner) Timeline() []Second {
	r.timeline.mu.Lock()
	defer r.timeline.mu.Unlock()
	all := make([]Second, len(r.timeline.seconds))
	for i, m := range r.timeline.seconds {
		all[i] = m.summary()
	}
	return all
}

func (m *moment) summary() Second {
	at := func(quantile float64) time.Duration {
		return time.Duration(m.latency.ValueAtQuantile(quantile)) * time.Microsecond
	}
	s := m.Second
	s.P50, s.P90, s.P99, s.Max = at(50), at(90), at(99), at(100)
	return s
}

// outcomeOf returns the outcome that an answer names; no answer has none.
func outcomeOf(res *http.Response, err error) string {
	if err != nil {
		return ""
	}
	return res.Header.Get(wire.HeaderOutcome)
}
