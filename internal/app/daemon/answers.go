package daemon

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// answerKind is the pair of labels by which responses are counted.
type answerKind struct {
	outcome call.Outcome
	reason  call.Reason
}

// kindMetrics holds the metrics of one kind of response.
type kindMetrics struct {
	answers tally.Counter
	seconds tally.Histogram
}

// answerMetrics caches the metrics of every kind of response seen so far, since creating a tagged scope costs five
// allocations each time.
type answerMetrics struct {
	scope telemetry.Scope
	kinds sync.Map // answerKind to *kindMetrics
}

func newAnswerMetrics(scope telemetry.Scope) *answerMetrics { return &answerMetrics{scope: scope} }

// add records one response and how long the request took.
func (m *answerMetrics) add(answer call.Answer, duration time.Duration) {
	count := m.forKind(answerKind{answer.Outcome, answer.Reason})
	count.answers.Inc(1)
	count.seconds.RecordDuration(duration)
}

func (m *answerMetrics) forKind(kind answerKind) *kindMetrics {
	if known, ok := m.kinds.Load(kind); ok {
		return known.(*kindMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"outcome": kind.outcome.String(), "reason": kind.reason.String()})
	stored, _ := m.kinds.LoadOrStore(kind, &kindMetrics{
		answers: scope.Counter(telemetry.Answers),
		seconds: scope.Latencies(telemetry.AnswerSeconds),
	})
	return stored.(*kindMetrics)
}
