package limit_test

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/parts/limit"
)

// An upstream of 64 slots begins to queue inside: its latency is five times
// what it was, and the limit comes down.
func ExampleNewGradient() {
	learner := limit.NewGradient(64)
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	run := func(seconds int, latency time.Duration) {
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			learner.Learn(now, limit.Sample{Operation: "find", Latency: latency, InFlight: learner.Limit()})
		}
	}
	run(10, 10*time.Millisecond)
	healthy := learner.Limit()
	run(2, 50*time.Millisecond)
	fmt.Println("healthy:", healthy)
	fmt.Println("lower under overload:", learner.Limit() < healthy)
	// Output:
	// healthy: 64
	// lower under overload: true
}
