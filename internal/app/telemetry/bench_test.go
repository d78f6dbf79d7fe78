package telemetry

import (
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func logDecision(log *logrus.Logger) {
	log.WithFields(logrus.Fields{
		"decision": "place", "requestId": "0193c1f0-5f3e-7bb4-b0a2-7e8f2f9d3c11", "organisation": "dealer-lublin", "operation": "lookup.find",
		"service": "lookup", "host": "lookup-2", "zone": "b", "attempt": 1, "depth": 0, "budget": 4,
		"outcome": "whole", "reason": "none", "durationUs": int64(3120),
	}).Info("route")
}

func openLog(b *testing.B) *os.File {
	f, err := os.Create(b.TempDir() + "/log")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	return f
}

// BenchmarkDecisionLine measures the cost of logging one decision, directly and through Buffered.
func BenchmarkDecisionLine(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		log := NewLog(openLog(b), logrus.InfoLevel)
		b.ReportAllocs()
		for b.Loop() {
			logDecision(log)
		}
	})
	b.Run("buffered", func(b *testing.B) {
		out := NewBuffered(openLog(b))
		log := NewLog(out, logrus.InfoLevel)
		b.ReportAllocs()
		for b.Loop() {
			logDecision(log)
		}
		if err := out.Close(); err != nil {
			b.Fatal(err)
		}
	})
	b.Run("parallelDirect", func(b *testing.B) {
		log := NewLog(openLog(b), logrus.InfoLevel)
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				logDecision(log)
			}
		})
	})
	b.Run("parallelBuffered", func(b *testing.B) {
		out := NewBuffered(openLog(b))
		log := NewLog(out, logrus.InfoLevel)
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				logDecision(log)
			}
		})
		if err := out.Close(); err != nil {
			b.Fatal(err)
		}
	})
}

// BenchmarkAnswerMetrics measures the cost of counting one response, with a scope that is tagged each time or kept.
func BenchmarkAnswerMetrics(b *testing.B) {
	m := NewMetrics("lookup-1", "a")
	defer m.Close()
	b.Run("taggedEachTime", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			scope := m.Scope.Tagged(map[string]string{"outcome": "whole", "reason": "none"})
			scope.Counter(Answers).Inc(1)
			scope.Latencies(AnswerSeconds).RecordDuration(3 * time.Millisecond)
		}
	})
	b.Run("kept", func(b *testing.B) {
		scope := m.Scope.Tagged(map[string]string{"outcome": "notRun", "reason": "none"})
		counter := scope.Counter(Answers)
		histogram := scope.Latencies(AnswerSeconds)
		b.ReportAllocs()
		for b.Loop() {
			counter.Inc(1)
			histogram.RecordDuration(3 * time.Millisecond)
		}
	})
}
