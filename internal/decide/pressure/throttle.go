package pressure

import (
	"math"
	"time"
)

// throttle compares what was asked for with what succeeded, both over a short
// past, and lets through somewhat more than that.
type throttle struct {
	asked     float64
	succeeded float64
	at        time.Time
	halfLife  time.Duration
	back      time.Duration
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
	t.asked *= factor
	t.succeeded *= factor
	t.at = now
}

// ask counts a request and fits the memory to how often they come: the half-life
// moves towards the time that the remembered number of requests takes.
func (t *throttle) ask() {
	t.asked++
	held := t.asked * math.Ln2 / remembered
	fitted := time.Duration(float64(t.halfLife) * (1 + fitting*(1/max(held, leastHeld)-1)))
	t.halfLife = min(max(fitted, shortest), longest)
}

// fitting is how far one request moves the half-life, and leastHeld bounds how much it may grow by it.
const (
	fitting   = 0.1
	leastHeld = 0.5
)

// refusal returns the chance with which the next request is refused.
func (t *throttle) refusal() float64 {
	return max(0, (t.asked-headroom*t.succeeded-free)/(t.asked+1))
}
