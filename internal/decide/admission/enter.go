package admission

import (
	"context"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
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
	if reason := t.closed(); reason != call.None {
		if d, left := g.Leave(time.Now(), t); left {
			d.Reason = reason
			return d
		}
		return <-decided
	}
	for {
		if d, ok := g.await(ctx, t, decided); ok {
			return d
		}
		g.Resume(time.Now())
	}
}

func (t *Ticket) closed() call.Reason {
	if t.Closed == nil {
		return call.None
	}
	return t.Closed()
}

// await waits for the decision until the ticket's latest start or until ctx ends. It returns false when the gate has to look whether the pacer
// allows a start by now.
func (g *Gate) await(ctx context.Context, t *Ticket, decided <-chan Decision) (Decision, bool) {
	wakeAt, resumes := t.StartBy(), false
	var paceChanged <-chan struct{}
	if g.pacer != nil {
		var at time.Time
		if at, paceChanged = g.pacer.resume(time.Now()); !at.IsZero() && at.Before(wakeAt) {
			wakeAt, resumes = at, true
		}
	}
	timer := time.NewTimer(time.Until(wakeAt))
	defer timer.Stop()
	select {
	case d := <-decided:
		return d, true
	case <-paceChanged:
		return Decision{}, false
	case <-ctx.Done():
	case <-timer.C:
		if resumes {
			return Decision{}, false
		}
	}
	if d, left := g.Leave(time.Now(), t); left {
		return d, true
	}
	return <-decided, true
}
