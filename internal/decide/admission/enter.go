package admission

import (
	"context"
	"time"
)

// chanWaiter passes the gate's decision to the goroutine that waits for it.
type chanWaiter chan Decision

// Decide never blocks: the channel has capacity for the one decision.
func (w chanWaiter) Decide(d Decision) { w <- d }

// Enter acquires a slot, and waits for one until the ticket's latest start or until ctx ends. It sets the ticket's Waiter.
func (g *Gate) Enter(ctx context.Context, t *Ticket) Decision {
	decided := make(chanWaiter, 1)
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
