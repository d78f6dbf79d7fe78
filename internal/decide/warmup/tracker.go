package warmup

import "time"

// Tracker tracks the warm-up of one instance.
//
// An instance that restarts is cold at once, but its published entry says so only seconds later, and until then the requests of its
// former incarnation would crash it again. So every sign of a restart makes the instance count as cold until a health check or the time says
// otherwise: a mistake in this direction costs milliseconds of reduced load, one in the other a crash.
type Tracker struct {
	coldUntil time.Time
	// suspectedAt is the time of the last sign of a restart; confirmed means that a health check sent since then was answered.
	suspectedAt time.Time
	confirmed   bool
}

// publicationSlack is how much a published end of the warm-up may be later than the actual one: an instance publishes every few
// seconds, and its entry reaches the daemon some hundred milliseconds later.
const publicationSlack = 2 * time.Second

// Suspect records a sign that the instance may have just started, and stays cold for the given time if it has.
func (t *Tracker) Suspect(now time.Time, warmUp time.Duration) {
	t.suspectedAt, t.confirmed = now, false
	t.extend(now.Add(warmUp))
}

// Publish records the published end of the warm-up. It is a sign of a restart, and Publish returns true, unless a warm-up that ends about
// then is known already.
func (t *Tracker) Publish(coldUntil, now time.Time) bool {
	if !coldUntil.After(now) || !coldUntil.After(t.coldUntil.Add(publicationSlack)) {
		return false
	}
	t.suspectedAt, t.confirmed = now, false
	t.extend(coldUntil)
	return true
}

// Confirm records the remaining warm-up time as the instance stated it in response to a health check sent at the given time.
func (t *Tracker) Confirm(sent time.Time, remaining time.Duration, now time.Time) {
	if sent.Before(t.suspectedAt) {
		return
	}
	t.confirmed = true
	t.coldUntil = now.Add(remaining)
}

// Confirmed reports whether a health check has been answered since the last sign of a restart.
func (t *Tracker) Confirmed() bool { return t.confirmed }

// ColdUntil returns when the warm-up ends as far as it is known; the zero time means that none is known.
func (t *Tracker) ColdUntil() time.Time { return t.coldUntil }

func (t *Tracker) extend(until time.Time) {
	if until.After(t.coldUntil) {
		t.coldUntil = until
	}
}
