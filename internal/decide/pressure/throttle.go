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
	back      time.Duration
}

const (
	// headroom is how much more than the recent successes is let through. It
	// bounds the work that may fail deep down while overload lasts, and finds
	// out that it has ended: successes then double each memory time. With less
	// of it, failures that have nothing to do with how much is sent, two in
	// five of them, would close a door for good.
	headroom = 2
	// halfLife is the memory of the throttle; a longer one keeps doors shut after the trouble.
	halfLife = 120 * time.Millisecond
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
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	t.asked *= factor
	t.succeeded *= factor
	t.at = now
}

// refusal returns the chance with which the next request is refused.
func (t *throttle) refusal() float64 {
	return max(0, (t.asked-headroom*t.succeeded-free)/(t.asked+1))
}
