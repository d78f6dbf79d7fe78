package traffic

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the one line that a run ends with; sent = whole + refused + unknown.
type Result struct {
	Sent             int     `json:"sent"`
	Whole            int     `json:"whole"`
	Refused          int     `json:"refused"`
	Unknown          int     `json:"unknown"`
	WrongfulRefusals int     `json:"wrongfulRefusals"`
	AfterWithdrawal  int     `json:"afterWithdrawal"`
	AddedP50Ms       float64 `json:"addedP50Ms"`
	AddedP99Ms       float64 `json:"addedP99Ms"`
}

// tally adds up what callers saw.
type tally struct {
	mu      sync.Mutex
	result  Result
	wrong   []string
	reasons map[string]int
	added   *hdrhistogram.Histogram
}

const (
	slowest   = int64(time.Minute / time.Microsecond)
	digits    = 3
	mostWrong = 20
)

func newTally() *tally {
	return &tally{reasons: map[string]int{}, added: hdrhistogram.New(1, slowest, digits)}
}

func (t *tally) do(f func(r *Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.result)
}

func (t *tally) reason(organisation, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reasons[organisation+" "+reason]++
}

func (t *tally) addLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.added.RecordValue(max(d.Microseconds(), 1))
}

// fault notes an answer that breaks a promise.
func (t *tally) fault(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.wrong) < mostWrong {
		t.wrong = append(t.wrong, text)
	}
}

func (t *tally) snapshot() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.AddedP50Ms = float64(t.added.ValueAtQuantile(50)) / 1000
	r.AddedP99Ms = float64(t.added.ValueAtQuantile(99)) / 1000
	return r
}
