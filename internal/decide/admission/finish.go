package admission

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// latestStart returns when the run must begin at the latest to have ended by the ticket's FinishBy with near certainty, or false if it has none.
func (g *Gate) latestStart(t *Ticket) (time.Time, bool) {
	if t.FinishBy.IsZero() {
		return time.Time{}, false
	}
	return t.FinishBy.Add(-g.holdTimes.upperBound(t.Operation, t.UsualTime)), true
}

// LatestStart returns when the run must begin at the latest to have ended by the ticket's FinishBy with near certainty; the ticket must have one.
func (g *Gate) LatestStart(t *Ticket) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	latest, _ := g.latestStart(t)
	return latest
}

// Outlasts reports whether a run that begins now may go on beyond the ticket's FinishBy.
func (g *Gate) Outlasts(now time.Time, t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outlasts(now, t)
}

// outlasts is Outlasts with mu locked.
func (g *Gate) outlasts(now time.Time, t *Ticket) bool {
	latest, bounded := g.latestStart(t)
	return bounded && now.After(latest)
}

// lateReason returns the reason of the refusal of a ticket that has waited too long.
func (g *Gate) lateReason(now time.Time, t *Ticket) call.Reason {
	if latest, bounded := g.latestStart(t); bounded && !now.Before(latest) {
		return call.WouldOutlast
	}
	return g.shortage(now)
}
