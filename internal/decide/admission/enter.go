package admission

import (
	"context"
	"time"
)

// waiter hands the gate's decision to the goroutine that waits for it.
type waiter chan Decision

// Decide never blocks: the channel has room for the one decision.
func (w waiter) Decide(d Decision) { w <- d }

// Enter asks for a slot and waits for it as long as the ticket may: until its latest start, or until ctx ends. The ticket's
// Waiter is set here.
func (g *Gate) Enter(ctx context.Context, t *Ticket) Decision {
	decided := make(waiter, 1)
	t.Waiter = decided
	d := g.Arrive(time.Now(), t)
	if d.Verdict != Wait {
		return d
	}
	timer := time.NewTimer(time.Until(t.StartBy()))
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	case <-timer.C:
	}
	if d, left := g.Leave(time.Now(), t); left {
		return d
	}
	return <-decided
}
