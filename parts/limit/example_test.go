package limit_test

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/parts/limit"
)

// An upstream keeps 12 of its 64 slots: what is sent beyond them queues inside,
// so that its latency grows with the requests at once, and the limit comes down.
func ExampleNewGradient() {
	learner := limit.NewGradient(64)
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	run := func(seconds, slots int) {
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			inFlight := learner.Limit()
			latency := 10 * time.Millisecond * time.Duration(max(inFlight, slots)) / time.Duration(slots)
			learner.Learn(now, limit.Sample{Operation: "find", Latency: latency, InFlight: inFlight})
		}
	}
	run(10, 64)
	healthy := learner.Limit()
	run(10, 12)
	fmt.Println("healthy:", healthy)
	fmt.Println("lower under overload:", learner.Limit() < healthy/2)
	// Output:
	// healthy: 64
	// lower under overload: true
}
