package admission

import (
	"math"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// requestClass is how the reservation counts a request.
type requestClass uint8

const (
	// otherRequest is neither of the others.
	otherRequest requestClass = iota
	// shortCall is a sub-call whose target is longer than its own hold time.
	shortCall
	// longRequest is a request of a lower priority than the short calls, whose mean hold time exceeds their target.
	longRequest
)

// reservation reserves slots for short sub-calls by limiting how many slots long requests of a lower priority hold.
//
// Designed for an upstream whose slots are mostly held by long requests. Short calls that arrive together have to wait until enough of these end
// and miss their target, and a fair queue can't prevent that: it orders only the requests that wait. Methods that may be called without a
// reservation accept nil, which reserves nothing.
type reservation struct {
	current, previous shortWindow
	windowStart       time.Time
	lastArrival       time.Time
	// activeShort is the number of short calls that run or wait, longRunning the number of slots that long requests hold.
	activeShort, longRunning int
	// shortSeconds and longSeconds are the smoothed hold times of short calls and of long requests.
	shortSeconds, longSeconds float64
	// delayedStarts is the number of starts before lower priorities have their next turn.
	delayedStarts int
}

// shortWindow describes the short calls that arrived in one window.
type shortWindow struct {
	// peak is the maximum number of short calls at the same time; 0 means that none arrived.
	peak int
	// target is the lowest target latency and priority the lowest priority.
	target   time.Duration
	priority call.Priority
}

const (
	// reservationWindow is the length of the windows in which the peak is measured. Without a short call for as long, no slot is reserved.
	reservationWindow = time.Second
	// minReserved is the minimum number of reserved slots: with one, two calls that arrive together would block each other.
	minReserved = 2
	// reservedDivisor divides the slots: at most one in four is reserved, so that long requests are never starved.
	reservedDivisor = 4
	// minShortSeconds is the least hold time of short calls in the calculation. It avoids a division by zero, and bounds how many of them are
	// expected to run in one slot.
	minShortSeconds = 0.005
	// maxTurnCost bounds the cost of a long request's turn relative to the mean: lower priorities would starve where hold times differ widely.
	maxTurnCost = 32
)

// arrive classifies the request and counts it if it is a short call. The mean is the hold time of its operation, 0 if it is unknown.
func (r *reservation) arrive(now time.Time, t *Ticket, mean time.Duration) {
	recent := r.recent()
	switch {
	case t.SubcallTarget > 0 && mean < t.SubcallTarget:
		t.class = shortCall
		r.activeShort++
		r.record(now, t)
	case recent.peak > 0 && t.Priority < recent.priority && mean > recent.target:
		t.class = longRequest
	default:
		t.class = otherRequest
	}
}

// record counts the arrival of a short call in its window.
func (r *reservation) record(now time.Time, t *Ticket) {
	r.lastArrival = now
	switch age := now.Sub(r.windowStart); {
	case age >= 2*reservationWindow:
		r.previous, r.current, r.windowStart = shortWindow{}, shortWindow{}, now
	case age >= reservationWindow:
		r.previous, r.current, r.windowStart = r.current, shortWindow{}, now
	}
	r.current = r.current.merge(shortWindow{peak: r.activeShort, target: t.SubcallTarget, priority: t.Priority})
}

// recent describes the short calls of the last two windows in which any arrived. It is kept while none arrive, so that long requests that start
// meanwhile are counted in longRunning.
func (r *reservation) recent() shortWindow { return r.previous.merge(r.current) }

func (w shortWindow) merge(other shortWindow) shortWindow {
	switch {
	case w.peak == 0:
		return other
	case other.peak == 0:
		return w
	default:
		return shortWindow{peak: max(w.peak, other.peak), target: min(w.target, other.target), priority: min(w.priority, other.priority)}
	}
}

// start counts the start of a request.
func (r *reservation) start(t *Ticket) {
	if r != nil && t.class == longRequest {
		r.longRunning++
	}
}

// end counts the end of a run and learns from it.
func (r *reservation) end(t *Ticket, now time.Time, result Result) {
	if r == nil {
		return
	}
	if t.class == longRequest {
		r.longRunning--
	}
	if !result.Withdrawn && !result.Shed {
		r.learn(t.class, now.Sub(t.startedAt).Seconds())
	}
	r.leave(t)
}

func (r *reservation) learn(class requestClass, heldSeconds float64) {
	switch class {
	case shortCall:
		r.shortSeconds = smoothed(r.shortSeconds, heldSeconds)
	case longRequest:
		r.longSeconds = smoothed(r.longSeconds, heldSeconds)
	}
}

// smoothed returns the mean after one more value; a mean of 0 is unknown.
func smoothed(mean, next float64) float64 {
	if mean == 0 {
		return next
	}
	return mean + (next-mean)*holdTimeWeight
}

// leave counts a request that is over or was refused.
func (r *reservation) leave(t *Ticket) {
	if r != nil && t.class == shortCall {
		r.activeShort--
	}
	t.class = otherRequest
}

// active reports whether short calls arrive that may miss their target by waiting for long requests to end.
func (r *reservation) active(now time.Time) bool {
	if r == nil || r.lastArrival.IsZero() || now.Sub(r.lastArrival) >= reservationWindow {
		return false
	}
	return r.longSeconds > r.recent().target.Seconds()
}

// reserved returns how many of the slots are reserved. Long requests that end free slots too, and each slot runs several short calls one after the
// other before the target of the last is missed; only the part of the peak that this doesn't serve needs slots of its own.
func (r *reservation) reserved(now time.Time, slots int) int {
	if !r.active(now) {
		return 0
	}
	recent := r.recent()
	slack := recent.target.Seconds() - r.shortSeconds
	freed := slack / r.longSeconds * float64(slots)
	unserved := float64(recent.peak) - freed
	if unserved <= 0 {
		return 0
	}
	rounds := max(slack/max(r.shortSeconds, minShortSeconds), 1)
	return min(max(int(math.Ceil(unserved/rounds)), minReserved), slots/reservedDivisor)
}

// chargeTurn delays the next turn of a long request that started although short calls wait. The fair queue gives lower priorities one start in
// LowerPriorityInterval; where a long request holds its slot many times as long as the mean, that would be most of the slots.
func (r *reservation) chargeTurn(meanSeconds float64) {
	cost := min(r.longSeconds/meanSeconds, maxTurnCost)
	r.delayedStarts = int((cost - 1) * queue.LowerPriorityInterval)
}

// takeDelayedStart counts a start before the next turn of lower priorities, or returns false if it is their turn.
func (r *reservation) takeDelayedStart() bool {
	if r.delayedStarts <= 0 {
		return false
	}
	r.delayedStarts--
	return true
}

// full reports whether long requests hold all slots that they may hold.
func (r *reservation) full(now time.Time, slots int) bool {
	if r == nil {
		return false
	}
	reserved := r.reserved(now, slots)
	return reserved > 0 && r.longRunning >= slots-reserved
}

// floor returns the priority below which requests are held back while the reservation is full.
func (r *reservation) floor() call.Priority { return r.recent().priority }

// longWait returns the expected wait of a long request with so many others before it.
func (r *reservation) longWait(now time.Time, slots, ahead int) time.Duration {
	usable := max(slots-r.reserved(now, slots), 1)
	return time.Duration(float64(ahead) * r.longSeconds / float64(usable) * float64(time.Second))
}
