package pressure

import (
	"math"
	"time"
)

// throttle compares what was asked for with what succeeded, both over a short
// past, and lets through somewhat more than that.
//
// All counts fade. What was let through and has no answer yet is taken to end as
// the answered requests did: taken for failures, a burst at an idle service would
// be refused in part on the word of a refusal long past.
type throttle struct {
	succeeded  float64
	failed     float64
	turned     float64
	unanswered float64
	at         time.Time
	halfLife   time.Duration
	back       time.Duration
	// failedAt is when the last failure came, and streak counts the successes since.
	failedAt time.Time
	streak   int
}

const (
	// headroom is how much more than the recent successes is let through. It
	// bounds the work that may fail deep down while overload lasts, and finds
	// out that it has ended: successes then double each memory time. With less
	// of it, failures that have nothing to do with how much is sent, two in
	// five of them, would close a door for good.
	headroom = 2
	// shortest and longest bound the half-life of the memory. A long one keeps
	// doors shut after the trouble; a short one forgets rare requests before
	// they add up to anything.
	shortest = 120 * time.Millisecond
	longest  = time.Second
	// remembered is the number of requests whose time the half-life covers between these bounds.
	remembered = 6
	// free is what may be asked for without any success, so that rare work is
	// never refused here and a service that was down is found again.
	free = 2
	// sure is how many failures must be remembered for a door to refuse all that
	// is in excess. With fewer it refuses in proportion: requests turned away at
	// the door are no evidence that those behind them would fail, and would else
	// keep it shut after the trouble for as long as callers come.
	sure = 1
	// proven is how many successes in a row, with no failure for a half-life,
	// end the door. While overload lasts, half of what a door lets through
	// fails, so that such a row comes by chance once in 16; the half-life keeps
	// answers that came together, from work taken in before, from ending it.
	proven = 4
	// leastBack and mostBack bound when a refused caller is told to come back.
	leastBack = 20 * time.Millisecond
	mostBack  = 2 * time.Second
)

func (t *throttle) decay(now time.Time) {
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(t.halfLife))
	t.succeeded *= factor
	t.failed *= factor
	t.turned *= factor
	t.unanswered *= factor
	t.at = now
}

// asked is all that was asked for.
func (t *throttle) asked() float64 { return t.succeeded + t.failed + t.turned + t.unanswered }

// fit moves the half-life towards the time that the remembered number of requests takes.
func (t *throttle) fit() {
	held := t.asked() * math.Ln2 / remembered
	fitted := time.Duration(float64(t.halfLife) * (1 + fitting*(1/max(held, leastHeld)-1)))
	t.halfLife = min(max(fitted, shortest), longest)
}

// fitting is how far one request moves the half-life, and leastHeld bounds how much it may grow by it.
const (
	fitting   = 0.1
	leastHeld = 0.5
)

// answer takes in how a request that was let through ended, with 0 to 1 of it failed.
func (t *throttle) answer(now time.Time, failed float64) {
	t.unanswered = max(0, t.unanswered-1)
	t.failed += failed
	t.succeeded += 1 - failed
	if failed > 0 {
		t.failedAt, t.streak = now, 0
		return
	}
	t.streak++
}

// refusal returns the chance with which the next request is refused.
func (t *throttle) refusal() float64 {
	failing := t.failed / (t.failed + t.succeeded + 1)
	succeeding := t.succeeded + t.unanswered*(1-failing)
	asked := t.asked()
	excess := (asked - headroom*succeeding - free) / (asked + 1)
	return max(0, excess) * min(1, t.failed/sure)
}

// over reports whether the trouble has passed: nearly all that is asked for
// succeeds again, or nothing has failed for a while and what was let through succeeded.
func (t *throttle) over(now time.Time) bool {
	if asked := t.asked(); asked > free && t.succeeded >= asked*settled {
		return true
	}
	return t.streak >= proven && now.Sub(t.failedAt) >= t.halfLife
}

// settled allows for requests that are asked for and not yet answered.
const settled = 0.9
