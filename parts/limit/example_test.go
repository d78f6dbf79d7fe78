package limit_test

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/parts/limit"
)

// An upstream loses all but 12 of its 64 slots: further requests queue inside
// it, so its latency grows with the concurrent requests, and the limit decreases.
func ExampleNewGradient() {
	learner := limit.NewGradient(64)
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	runFor := func(seconds, slots int) {
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			inFlight := learner.Limit()
			latency := 10 * time.Millisecond * time.Duration(max(inFlight, slots)) / time.Duration(slots)
			learner.Learn(now, limit.Sample{Operation: "find", Latency: latency, InFlight: inFlight})
		}
	}
	runFor(10, 64)
	healthy := learner.Limit()
	runFor(10, 12)
	fmt.Println("healthy:", healthy)
	fmt.Println("lower under overload:", learner.Limit() < healthy/2)
	// Output:
	// healthy: 64
	// lower under overload: true
}
