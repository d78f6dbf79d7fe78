package traffic

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the totals of a run; Sent = Whole + Refused + Unknown.
type Result struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// WrongfulRefusals counts the refused requests of streams within their rate, except refusals of a withdrawn key, and
	// AfterWithdrawal the whole responses to requests sent with a key withdrawn longer ago than withdrawalGrace.
	WrongfulRefusals int     `json:"wrongfulRefusals"`
	AfterWithdrawal  int     `json:"afterWithdrawal"`
	AddedP50Ms       float64 `json:"addedP50Ms"`
	AddedP99Ms       float64 `json:"addedP99Ms"`
}

// tally collects the results of all requests.
type tally struct {
	mu           sync.Mutex
	result       Result
	violations   []string
	reasons      map[string]int
	addedLatency *hdrhistogram.Histogram
}

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	maxViolations     = 20
)

func newTally() *tally {
	return &tally{reasons: map[string]int{}, addedLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

func (t *tally) update(f func(r *Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.result)
}

func (t *tally) countReason(organisation, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reasons[organisation+" "+reason]++
}

func (t *tally) addLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.addedLatency.RecordValue(max(d.Microseconds(), 1))
}

// recordViolation records a response that breaks a guarantee, up to maxViolations of them.
func (t *tally) recordViolation(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, text)
	}
}

func (t *tally) snapshot() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.AddedP50Ms = float64(t.addedLatency.ValueAtQuantile(50)) / 1000
	r.AddedP99Ms = float64(t.addedLatency.ValueAtQuantile(99)) / 1000
	return r
}
