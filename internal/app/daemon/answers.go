package daemon

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// responseKind is the pair of labels by which responses are counted.
type responseKind struct {
	outcome call.Outcome
	reason  call.Reason
}

// kindMetrics holds the metrics of one kind of response.
type kindMetrics struct {
	responses tally.Counter
	seconds   tally.Histogram
}

// responseMetrics caches the metrics of every kind of response seen so far, since creating a tagged scope costs five
// allocations each time.
type responseMetrics struct {
	scope telemetry.Scope
	kinds sync.Map // responseKind to *kindMetrics
}

func newResponseMetrics(scope telemetry.Scope) *responseMetrics {
	return &responseMetrics{scope: scope}
}

// add records one response and how long the request took.
func (m *responseMetrics) add(answer call.Answer, duration time.Duration) {
	count := m.forKind(responseKind{answer.Outcome, answer.Reason})
	count.responses.Inc(1)
	count.seconds.RecordDuration(duration)
}

func (m *responseMetrics) forKind(kind responseKind) *kindMetrics {
	if known, ok := m.kinds.Load(kind); ok {
		return known.(*kindMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"outcome": kind.outcome.String(), "reason": kind.reason.String()})
	stored, _ := m.kinds.LoadOrStore(kind, &kindMetrics{
		responses: scope.Counter(telemetry.Answers),
		seconds:   scope.Latencies(telemetry.AnswerSeconds),
	})
	return stored.(*kindMetrics)
}
