package admission

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
)

// arriveAtReservation counts the request at the reservation, if there is one.
func (g *Gate) arriveAtReservation(now time.Time, t *Ticket) {
	if g.reservation != nil {
		g.reservation.arrive(now, t, g.holdTimes.meanOf(t.Operation))
	}
}

// holdsBack reports whether long requests hold all slots that they may, so that waiting requests of a lower priority don't start.
func (g *Gate) holdsBack(now time.Time) bool { return g.reservation.full(now, g.limit.Limit()) }

// waitingBelow returns how many requests wait that have a lower priority than the short calls.
func (g *Gate) waitingBelow() int {
	return g.queue.(*queue.FairQueue[*Ticket]).LenBelow(g.reservation.floor())
}

// startable returns how many waiting requests the reservation doesn't hold back.
func (g *Gate) startable(now time.Time) int {
	if !g.holdsBack(now) {
		return g.queue.Len()
	}
	return g.queue.Len() - g.waitingBelow()
}

// precedesWaiting reports whether the arrival may start before all waiting requests. Those that are held back don't delay requests of the
// short calls' priority or a higher one.
func (g *Gate) precedesWaiting(now time.Time, t *Ticket) bool {
	switch {
	case !g.holdsBack(now):
		return g.queue.Len() == 0
	case t.Priority < g.reservation.floor():
		return g.queue.Len() == 0 && t.class != longRequest
	default:
		return g.startable(now) == 0
	}
}

// pop removes the next waiting request that isn't held back, or returns nil.
func (g *Gate) pop(now time.Time) *queue.Item[*Ticket] {
	if !g.reservation.active(now) {
		return g.queue.Pop()
	}
	fair, floor := g.queue.(*queue.FairQueue[*Ticket]), g.reservation.floor()
	if g.holdsBack(now) {
		return fair.PopFrom(floor)
	}
	before := fair.Len() > fair.LenBelow(floor)
	if before && g.reservation.takeDelayedStart() {
		return fair.PopFrom(floor)
	}
	item := fair.Pop()
	if before && item.Priority < floor && item.Value.class == longRequest {
		g.reservation.chargeTurn(g.holdTimes.meanSeconds)
	}
	return item
}

// expectedWaitOf is the expected wait of a request with so many others before it. Long requests have only the slots that they may hold.
func (g *Gate) expectedWaitOf(now time.Time, t *Ticket, ahead int) time.Duration {
	wait, slots := g.expectedWait(now, ahead), g.limit.Limit()
	if t.class != longRequest || g.reservation.reserved(now, slots) == 0 {
		return wait
	}
	others := g.waitingBelow()
	if t.item.Queued() {
		others--
	}
	return max(wait, g.reservation.longWait(now, slots, min(ahead, others)))
}

// inUse returns the slots in use. Reserved ones count while they hold requests back: the upstream is saturated for these.
func (g *Gate) inUse(now time.Time) int {
	if g.holdsBack(now) && g.waitingBelow() > 0 {
		return max(g.running, g.limit.Limit())
	}
	return g.running
}

// Reserved returns how many slots are reserved for short sub-calls.
func (g *Gate) Reserved(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reservation.reserved(now, g.limit.Limit())
}
