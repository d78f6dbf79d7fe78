package admission

import "time"

// comeBack tells refused requests when to come back.
//
// Refused callers that all hear "one second" return together, and a surge that
// had ended starts anew. Each refusal is therefore given the next free place in
// the time to come, at the pace at which the upstream serves.
type comeBack struct {
	next time.Time
	rand func() float64
}

const (
	// soonest keeps a caller from returning before anything can have changed.
	soonest = 20 * time.Millisecond
	// latest bounds what a caller is told, since after the trouble it still waits that long.
	latest = 2 * time.Second
	// jitterLeast and jitterSpread set the random factor, 0.75 to 1.25.
	jitterLeast  = 0.75
	jitterSpread = 0.5
)

// place returns the time until there should be room, given what waits now and the time between two starts.
func (c *comeBack) place(now time.Time, waiting int, interval time.Duration) time.Duration {
	drained := now.Add(time.Duration(waiting) * interval)
	if c.next.Before(drained) {
		c.next = drained
	}
	c.next = c.next.Add(interval)
	if last := now.Add(latest); c.next.After(last) {
		c.next = last
		return time.Duration(float64(latest) * (1 + c.rand()) / 2)
	}
	wait := time.Duration(float64(c.next.Sub(now)) * (jitterLeast + jitterSpread*c.rand()))
	return min(max(wait, soonest), latest)
}
